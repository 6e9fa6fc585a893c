package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/ratelimit"
)

func TestRateLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ratelimit")
}

const none = -1

// said is what start n of a server said between two moments, in seconds.
func said(n int64, perSecond, sent, heard float64) ratelimit.Notice {
	return ratelimit.Notice{
		Server: backend.Instance{ID: "s", Incarnation: n}, Limited: perSecond != none, PerSecond: max(0, perSecond),
		RequestedAt: seconds(sent), ReceivedAt: seconds(heard),
	}
}

// alone is the ranking of a gateway without others.
func alone(string, uint64) ratelimit.Rank { return ratelimit.Rank{Total: 1} }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

var _ = Describe("what a server says of its limit", func() {
	var table *ratelimit.Table
	BeforeEach(func() { table = ratelimit.New(alone) })
	limit := func() float64 {
		l, ok := table.Limit("s")
		if !ok {
			return none
		}
		return l
	}

	It("holds for as long as it says so", func() {
		Expect(table.Add(0, said(1, none, 0, 1))).To(Equal(ratelimit.Unchanged))
		Expect(table.Len()).To(BeZero())
		Expect(table.Add(0, said(1, 4.2, 1, 2))).To(Equal(ratelimit.Begun))
		Expect(table.Add(0, said(1, 4.2, 2, 3))).To(Equal(ratelimit.Unchanged))
		Expect(table.Add(0, said(1, 3.8, 3, 4))).To(Equal(ratelimit.Changed))
		Expect(limit()).To(Equal(3.8))
		Expect(table.Add(0, said(1, none, 4, 5))).To(Equal(ratelimit.Ended))
		Expect(limit()).To(Equal(float64(none)))
		Expect(table.Add(0, said(1, 5, 5, 6))).To(Equal(ratelimit.Begun))
	})

	// Guards against answers that were on their way when a limit was named ending it.
	It("is not taken back by an answer that it may have given before", func() {
		table.Add(0, said(1, 4.2, 1, 2))
		Expect(table.Add(0, said(1, none, 1.9, 3))).To(Equal(ratelimit.Unchanged))
		Expect(limit()).To(Equal(4.2))
		Expect(table.Add(0, said(1, none, 2, 3))).To(Equal(ratelimit.Ended))
	})

	// Guards against late news bringing back a limit that has ended.
	It("is not brought back by an answer that it gave before", func() {
		table.Add(0, said(1, 4.2, 1, 2))
		table.Add(0, said(1, none, 3, 4))
		Expect(table.Add(0, said(1, 4.2, 2, 3))).To(Equal(ratelimit.Unchanged))
		Expect(limit()).To(Equal(float64(none)))
		Expect(table.Add(0, said(1, 4.2, 2, 3.5))).To(Equal(ratelimit.Begun))
	})

	It("is the stricter of two limits that it may have named in either order", func() {
		table.Add(0, said(1, 4.2, 1, 3))
		Expect(table.Add(0, said(1, 5, 2, 4))).To(Equal(ratelimit.Unchanged))
		Expect(table.Add(0, said(1, 3.8, 2, 4))).To(Equal(ratelimit.Changed))
		Expect(limit()).To(Equal(3.8))
	})

	// Guards against answers that never name a limit, as those to reads, ending one that
	// others name.
	It("is ended late by an answer without authentication code", func() {
		table.Add(0, said(1, 4.2, 1, 2))
		weak := said(1, none, 2.5, 3)
		weak.Unauthenticated = true
		Expect(table.Add(0, weak)).To(Equal(ratelimit.Unchanged))
		weak = said(1, none, 4, 5)
		weak.Unauthenticated = true
		Expect(table.Add(0, weak)).To(Equal(ratelimit.Ended))
	})

	// Guards against a limit that outlives the start of the server that named it.
	It("concerns one start of the server", func() {
		table.Add(0, said(2, 4.2, 1, 2))
		Expect(table.Add(0, said(1, 1, 5, 6))).To(Equal(ratelimit.Unchanged))
		Expect(limit()).To(Equal(4.2))
		Expect(table.Add(0, said(3, none, 1, 2))).To(Equal(ratelimit.Ended))
		Expect(limit()).To(Equal(float64(none)))
		Expect(table.Add(0, said(4, 6, 1, 2))).To(Equal(ratelimit.Begun))
		Expect(table.Add(0, said(5, 7, 1, 2))).To(Equal(ratelimit.Begun))
		Expect(limit()).To(Equal(7.0))
	})

	// Guards against a datagram to all for each answer of a server whose limit drifts.
	It("is no news while it differs by little from what was news last", func() {
		table.Add(0, said(1, 4, 0, 1))
		news := 0
		for n := 1; n < 100; n++ {
			perSecond := 4 - 0.02*float64(n)
			if table.Add(0, said(1, perSecond, float64(n), float64(n+1))) != ratelimit.Unchanged {
				news++
			}
			Expect(limit()).To(Equal(perSecond))
		}
		Expect(news).To(BeNumerically("<=", 15))
	})

	It("is forgotten once it has ended or the server is gone", func() {
		here := func(string) bool { return true }
		gone := func(string) bool { return false }
		table.Add(0, said(1, 4.2, 1, 2))
		table.Prune(time.Hour, here)
		Expect(table.Len()).To(Equal(1))
		table.Prune(seconds(10), gone)
		Expect(table.Len()).To(Equal(1))
		table.Prune(time.Hour, gone)
		Expect(table.Len()).To(BeZero())
		table.Add(0, said(1, 4.2, 1, 2))
		table.Add(0, said(1, none, 2, 3))
		table.Prune(seconds(4), here)
		Expect(table.Len()).To(Equal(1))
		table.Prune(seconds(60), here)
		Expect(table.Len()).To(BeZero())
	})

	It("is kept of a bounded number of servers", func() {
		for n := range 10_000 {
			notice := said(1, 1, float64(n), float64(n+1))
			notice.Server.ID = fmt.Sprint(n)
			table.Add(0, notice)
		}
		Expect(table.Len()).To(BeNumerically("<=", 4_096))
		_, ok := table.Limit("9999")
		Expect(ok).To(BeTrue())
	})

	// Guards against gateways that believe different things once they were told the same.
	It("ends up the same in any order of notices that do not overlap", func() {
		for seed := range uint64(200) {
			r := rand.New(rand.NewPCG(seed, 0))
			var notices []ratelimit.Notice
			for n := range 8 {
				perSecond := float64(r.IntN(4) + 1)
				if r.IntN(3) == 0 {
					perSecond = none
				}
				notices = append(notices, said(1, perSecond, float64(2*n), float64(2*n+1)))
			}
			last := notices[len(notices)-1]
			r.Shuffle(len(notices), func(i, j int) { notices[i], notices[j] = notices[j], notices[i] })
			table = ratelimit.New(alone)
			// Of a server that never named a limit nothing is kept.
			table.Add(0, said(1, 1, -2, -1))
			for _, n := range notices {
				table.Add(0, n)
			}
			got, ok := table.Limit("s")
			Expect(ok).To(Equal(last.Limited), "seed %d", seed)
			if ok {
				Expect(got).To(Equal(last.PerSecond), "seed %d", seed)
			}
		}
	})
})
