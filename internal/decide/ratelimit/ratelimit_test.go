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

const noLimit = -1

// notice returns a notice of an incarnation of a server, with times in seconds.
func notice(incarnation int64, perSecond, requested, received float64) ratelimit.Notice {
	return ratelimit.Notice{
		Server: backend.Instance{ID: "s", Incarnation: incarnation}, Limited: perSecond != noLimit, PerSecond: max(0, perSecond),
		RequestedAt: seconds(requested), ReceivedAt: seconds(received),
	}
}

// singleGateway is the Ranking of a gateway without peers.
func singleGateway(string, uint64) ratelimit.Rank { return ratelimit.Rank{Total: 1} }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

var _ = Describe("the limit that a server states", func() {
	var table *ratelimit.Table
	BeforeEach(func() { table = ratelimit.New(singleGateway) })
	limit := func() float64 {
		l, ok := table.Limit("s")
		if !ok {
			return noLimit
		}
		return l
	}

	It("applies while the server states it", func() {
		Expect(table.Add(0, notice(1, noLimit, 0, 1))).To(Equal(ratelimit.Unchanged))
		Expect(table.Len()).To(BeZero())
		Expect(table.Add(0, notice(1, 4.2, 1, 2))).To(Equal(ratelimit.Begun))
		Expect(table.Add(0, notice(1, 4.2, 2, 3))).To(Equal(ratelimit.Unchanged))
		Expect(table.Add(0, notice(1, 3.8, 3, 4))).To(Equal(ratelimit.Changed))
		Expect(limit()).To(Equal(3.8))
		Expect(table.Add(0, notice(1, noLimit, 4, 5))).To(Equal(ratelimit.Ended))
		Expect(limit()).To(Equal(float64(noLimit)))
		Expect(table.Add(0, notice(1, 5, 5, 6))).To(Equal(ratelimit.Begun))
	})

	// Guards against responses that were in flight when the limit began ending it.
	It("is not ended by a response that may have been sent before it", func() {
		table.Add(0, notice(1, 4.2, 1, 2))
		Expect(table.Add(0, notice(1, noLimit, 1.9, 3))).To(Equal(ratelimit.Unchanged))
		Expect(limit()).To(Equal(4.2))
		Expect(table.Add(0, notice(1, noLimit, 2, 3))).To(Equal(ratelimit.Ended))
	})

	// Guards against a delayed notice restoring a limit that has ended.
	It("is not restored by a response that was sent before it ended", func() {
		table.Add(0, notice(1, 4.2, 1, 2))
		table.Add(0, notice(1, noLimit, 3, 4))
		Expect(table.Add(0, notice(1, 4.2, 2, 3))).To(Equal(ratelimit.Unchanged))
		Expect(limit()).To(Equal(float64(noLimit)))
		Expect(table.Add(0, notice(1, 4.2, 2, 3.5))).To(Equal(ratelimit.Begun))
	})

	It("is the stricter one of two with overlapping intervals", func() {
		table.Add(0, notice(1, 4.2, 1, 3))
		Expect(table.Add(0, notice(1, 5, 2, 4))).To(Equal(ratelimit.Unchanged))
		Expect(table.Add(0, notice(1, 3.8, 2, 4))).To(Equal(ratelimit.Changed))
		Expect(limit()).To(Equal(3.8))
	})

	// Guards against responses that never state a limit, such as those to prefill-only
	// requests, ending one that authenticated responses state.
	It("is ended with a delay by a response without authentication code", func() {
		table.Add(0, notice(1, 4.2, 1, 2))
		unauthenticated := notice(1, noLimit, 2.5, 3)
		unauthenticated.Unauthenticated = true
		Expect(table.Add(0, unauthenticated)).To(Equal(ratelimit.Unchanged))
		unauthenticated = notice(1, noLimit, 4, 5)
		unauthenticated.Unauthenticated = true
		Expect(table.Add(0, unauthenticated)).To(Equal(ratelimit.Ended))
	})

	// Guards against a limit that outlives the incarnation of the server that stated it.
	It("applies to one incarnation of the server", func() {
		table.Add(0, notice(2, 4.2, 1, 2))
		Expect(table.Add(0, notice(1, 1, 5, 6))).To(Equal(ratelimit.Unchanged))
		Expect(limit()).To(Equal(4.2))
		Expect(table.Add(0, notice(3, noLimit, 1, 2))).To(Equal(ratelimit.Ended))
		Expect(limit()).To(Equal(float64(noLimit)))
		Expect(table.Add(0, notice(4, 6, 1, 2))).To(Equal(ratelimit.Begun))
		Expect(table.Add(0, notice(5, 7, 1, 2))).To(Equal(ratelimit.Begun))
		Expect(limit()).To(Equal(7.0))
	})

	// Guards against a datagram to all gateways for each response of a server whose limit
	// drifts.
	It("counts as unchanged while it differs little from the last reported one", func() {
		table.Add(0, notice(1, 4, 0, 1))
		reported := 0
		for n := 1; n < 100; n++ {
			perSecond := 4 - 0.02*float64(n)
			if table.Add(0, notice(1, perSecond, float64(n), float64(n+1))) != ratelimit.Unchanged {
				reported++
			}
			Expect(limit()).To(Equal(perSecond))
		}
		Expect(reported).To(BeNumerically("<=", 15))
	})

	It("is pruned after it has ended or the server was removed", func() {
		known := func(string) bool { return true }
		removed := func(string) bool { return false }
		table.Add(0, notice(1, 4.2, 1, 2))
		table.Prune(time.Hour, known)
		Expect(table.Len()).To(Equal(1))
		table.Prune(seconds(10), removed)
		Expect(table.Len()).To(Equal(1))
		table.Prune(time.Hour, removed)
		Expect(table.Len()).To(BeZero())
		table.Add(0, notice(1, 4.2, 1, 2))
		table.Add(0, notice(1, noLimit, 2, 3))
		table.Prune(seconds(4), known)
		Expect(table.Len()).To(Equal(1))
		table.Prune(seconds(60), known)
		Expect(table.Len()).To(BeZero())
	})

	It("is stored for a bounded number of servers", func() {
		for n := range 10_000 {
			added := notice(1, 1, float64(n), float64(n+1))
			added.Server.ID = fmt.Sprint(n)
			table.Add(0, added)
		}
		Expect(table.Len()).To(BeNumerically("<=", 4_096))
		_, ok := table.Limit("9999")
		Expect(ok).To(BeTrue())
	})

	// Guards against gateways that disagree although they received the same notices.
	It("is the same for any order of notices whose intervals do not overlap", func() {
		for seed := range uint64(200) {
			r := rand.New(rand.NewPCG(seed, 0))
			var notices []ratelimit.Notice
			for n := range 8 {
				perSecond := float64(r.IntN(4) + 1)
				if r.IntN(3) == 0 {
					perSecond = noLimit
				}
				notices = append(notices, notice(1, perSecond, float64(2*n), float64(2*n+1)))
			}
			last := notices[len(notices)-1]
			r.Shuffle(len(notices), func(i, j int) { notices[i], notices[j] = notices[j], notices[i] })
			table = ratelimit.New(singleGateway)
			// Nothing is stored for a server that never stated a limit.
			table.Add(0, notice(1, 1, -2, -1))
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
