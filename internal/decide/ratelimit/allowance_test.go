package ratelimit_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/ratelimit"
)

var _ = Describe("requests of a gateway to a server with a limit", func() {
	var (
		table *ratelimit.Table
		rank  ratelimit.Rank
	)
	BeforeEach(func() {
		rank = ratelimit.Rank{Total: 1}
		table = ratelimit.New(func(string, uint64) ratelimit.Rank { return rank })
	})
	// sent returns how many of the requests that arrive every 10 ms from one time to another
	// are allowed.
	sent := func(from, to float64) int {
		n := 0
		for now := seconds(from); now < seconds(to); now += 10 * time.Millisecond {
			if table.Allows(now, "s") {
				table.Take(now, "s")
				n++
			}
		}
		return n
	}

	It("are all allowed without a limit", func() {
		Expect(sent(0, 1)).To(Equal(100))
		Expect(table.RetryAfter(0, "s")).To(BeZero())
	})

	It("are limited as soon as the server states a limit", func() {
		table.Add(seconds(1), notice(1, 4, 0, 1))
		Expect(sent(1, 1.24)).To(BeZero())
		Expect(sent(1.24, 11)).To(BeNumerically("~", 40, 1))
		table.Add(seconds(11), notice(1, 2, 10, 11))
		Expect(sent(11, 21)).To(BeNumerically("~", 20, 1))
	})

	// Guards against a burst of the requests that were allowed but not sent before.
	It("do not accumulate tokens while none is sent", func() {
		table.Add(0, notice(1, 4, -1, 0))
		Expect(sent(60, 60.2)).To(Equal(1))
	})

	It("are allowed at a share of the limit for the senders, and not for other gateways", func() {
		rank = ratelimit.Rank{Position: 7, Total: 40}
		table.Add(0, notice(1, 4.2, -1, 0))
		Expect(sent(0, 9.5)).To(BeNumerically("~", 5, 1))
		rank.Position = 8
		table.UpdateRanks(seconds(9.5))
		Expect(sent(9.5, 10)).To(BeZero())
	})

	// Guards against exceeding the limit by too many senders while the gateways do not yet
	// know the same set of gateways.
	It("are not allowed for a while when the gateway replaces another sender", func() {
		rank = ratelimit.Rank{Position: 3, Total: 40}
		table.Add(0, notice(1, 1, -1, 0))
		Expect(sent(0, 4)).To(BeZero())
		rank.Position = 2
		table.UpdateRanks(seconds(4))
		Expect(sent(4, 8)).To(BeZero())
		table.Add(seconds(8), notice(1, 1, 7, 8))
		Expect(sent(8, 16)).To(BeNumerically("~", 3, 1))
	})

	// Guards against a gateway using the whole limit before it has discovered the others.
	It("are not allowed while the other gateways are unknown", func() {
		rank = ratelimit.Rank{}
		table.Add(0, notice(1, 100, -1, 0))
		Expect(sent(0, 4)).To(BeZero())
		Expect(table.RetryAfter(seconds(4), "s")).To(Equal(10 * time.Millisecond))
	})

	// Guards against a server that never receives a request again after a limit of zero.
	It("are still allowed at the minimum rate at a limit of zero", func() {
		table.Add(0, notice(1, 0, -1, 0))
		n := 0
		for at := 0.0; at < 40; at += 4 {
			n += sent(at, at+4)
			table.Add(seconds(at+4), notice(1, 0, at+3, at+4))
		}
		Expect(n).To(BeNumerically("~", 10, 1))
	})

	// Guards against a limited server that receives nothing because its senders are gone or
	// have no requests, and against all gateways probing it at the same time.
	It("are allowed from another gateway after a long time without a response", func() {
		maxRound := uint64(0)
		table = ratelimit.New(func(_ string, round uint64) ratelimit.Rank {
			maxRound = max(maxRound, round)
			return ratelimit.Rank{Position: int(3 * ((round + 1) % 2)), Total: 40}
		})
		table.Add(0, notice(1, 1, -1, 0))
		Expect(sent(0, 10)).To(BeZero())
		Expect(sent(10, 12)).To(Equal(2))
		Expect(maxRound).To(Equal(uint64(1)))
		table.Add(seconds(12), notice(1, 1, 11, 12))
		Expect(sent(12, 20)).To(BeZero())
	})

	// Guards against a burst to a server that was overloaded until recently.
	It("increase gradually after the limit has ended", func() {
		table.Add(0, notice(1, 4, -1, 0))
		Expect(sent(0, 4)).To(BeNumerically("~", 16, 1))
		table.Add(seconds(4), notice(1, noLimit, 3, 4))
		Expect(sent(4, 4.5)).To(BeNumerically("<=", 4))
		Expect(sent(4.5, 5.5)).To(BeNumerically("<=", 20))
		Expect(sent(7.1, 8.1)).To(Equal(100))
	})

	It("are allowed again after the returned retry time", func() {
		table.Add(0, notice(1, 4, -1, 0))
		Expect(table.RetryAfter(0, "s")).To(Equal(250 * time.Millisecond))
		Expect(table.RetryAfter(seconds(0.2), "s")).To(BeNumerically("~", 50*time.Millisecond, time.Millisecond))
		rank.Position = 9
		rank.Total = 10
		table.UpdateRanks(0)
		Expect(table.RetryAfter(seconds(1), "s")).To(Equal(250 * time.Millisecond))
	})
})

var _ = Describe("the ranks of gateways", func() {
	It("are unique, consistent, and different for each server", func() {
		var names []string
		for n := range 40 {
			names = append(names, fmt.Sprint("g-", n))
		}
		seen := map[int]bool{}
		first := map[string]bool{}
		for _, own := range names {
			r := ratelimit.RankAmong(own, names, "s", 0)
			Expect(r.Total).To(Equal(40))
			seen[r.Position] = true
			for n := range 20 {
				if ratelimit.RankAmong(own, names, fmt.Sprint("s-", n), 0).Position == 0 {
					first[own] = true
				}
			}
		}
		Expect(seen).To(HaveLen(40))
		Expect(len(first)).To(BeNumerically(">", 10))
		Expect(ratelimit.RankAmong("other", names, "s", 0)).To(Equal(ratelimit.Rank{Position: 40, Total: 40}))
	})
})
