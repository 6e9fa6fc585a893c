package quarantine_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/quarantine"
	"pistachioroad.dev/pistachioroad/internal/request"
)

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantine")
}

var start = time.Unix(1_000_000_000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func terminated(f request.Fingerprint, server string, s float64) quarantine.Evidence {
	return quarantine.Evidence{Request: f, Instance: backend.Instance{ID: server, Incarnation: 1}, SentAt: at(s - 0.1), ObservedAt: at(s)}
}

func completed(f request.Fingerprint, s float64) quarantine.Evidence {
	return quarantine.Evidence{Request: f, ObservedAt: at(s)}
}

var _ = Describe("a request whose servers terminated", func() {
	It("is quarantined after three terminations", func() {
		l := quarantine.New()
		for i := range 3 {
			Expect(l.Status(at(9), 1).Quarantined).To(BeFalse())
			Expect(l.Add(at(9), terminated(1, strconv.Itoa(i), float64(i)))).To(BeTrue())
		}
		s := l.Status(at(9), 1)
		Expect(s.Quarantined).To(BeTrue())
		Expect(s.Terminations).To(HaveLen(3))
		Expect(s.RetryAfter).To(Equal(10*time.Minute - 9*time.Second))
		Expect(l.Status(at(9), 2)).To(Equal(quarantine.Status{}))
	})

	// A server that restarts under the same id is a new instance; one termination that
	// several gateways observed counts once.
	It("counts each instance of a server once", func() {
		l := quarantine.New()
		e := terminated(1, "a", 0)
		Expect(l.Add(at(0), e)).To(BeTrue())
		Expect(l.Add(at(1), e)).To(BeFalse())
		restarted := terminated(1, "a", 1)
		restarted.Instance.Incarnation = 2
		Expect(l.Add(at(1), restarted)).To(BeTrue())
		Expect(l.Status(at(1), 1).Terminations).To(HaveLen(2))
	})

	// Guards against quarantining the other requests, up to a hundred, that ran at a
	// terminated server: completion elsewhere clears them, also of older evidence that
	// arrives later.
	It("is cleared by completion, also of older evidence that arrives later", func() {
		l := quarantine.New()
		l.Add(at(0), terminated(1, "a", 0))
		l.Add(at(1), terminated(1, "b", 1))
		Expect(l.Add(at(2), completed(1, 2))).To(BeTrue())
		Expect(l.Status(at(2), 1).Suspected()).To(BeFalse())
		Expect(l.Add(at(3), terminated(1, "c", 1.5))).To(BeFalse())
		Expect(l.Add(at(3), terminated(1, "c", 2.5))).To(BeTrue())
	})

	// Guards against quarantining a request that callers everywhere send, when a rack
	// is lost with everything that runs there.
	It("is not quarantined for servers that were lost together", func() {
		l := quarantine.New()
		for i := range 6 {
			l.Add(at(1), terminated(1, strconv.Itoa(i), 0.01*float64(i)))
		}
		Expect(l.Status(at(1), 1).Quarantined).To(BeFalse())
		Expect(l.Status(at(1), 1).Suspected()).To(BeTrue())
	})

	// Guards against a harmless request that is at three servers in turn while these crash within a
	// moment for another reason.
	It("counts terminations within a moment once", func() {
		l := quarantine.New()
		for i := range 3 {
			e := terminated(1, strconv.Itoa(i), 0.07*float64(i))
			e.SentAt = e.ObservedAt.Add(-10 * time.Millisecond)
			l.Add(at(1), e)
		}
		Expect(l.Status(at(1), 1).Terminations).To(HaveLen(2))
		Expect(l.Status(at(1), 1).Quarantined).To(BeFalse())
	})

	// Guards against a request that is sent on while its attempts overlap: each of them keeps its
	// server busy for seconds before it terminates.
	It("is quarantined after four terminations at different times of attempts that overlapped", func() {
		l := quarantine.New()
		for i := range 4 {
			Expect(l.Status(at(5), 1).Quarantined).To(BeFalse())
			e := terminated(1, strconv.Itoa(i), 3+0.5*float64(i))
			e.SentAt = at(0.2 * float64(i))
			l.Add(at(5), e)
		}
		s := l.Status(at(5), 1)
		Expect(s.Quarantined).To(BeTrue())
		Expect(s.Terminations).To(HaveLen(4))
		Expect(s.RetryAfter).To(Equal(10*time.Minute - 2*time.Second))
	})

	// Guards against later terminations being dropped: the loss of a rack fills the
	// record of a request.
	It("is quarantined after three further terminations when a rack was lost before", func() {
		l := quarantine.New()
		for i := range 12 {
			l.Add(at(1), terminated(1, "rack"+strconv.Itoa(i), 0.01*float64(i)))
		}
		for i := range 3 {
			l.Add(at(9), terminated(1, "later"+strconv.Itoa(i), 1+float64(i)))
		}
		Expect(l.Status(at(9), 1).Quarantined).To(BeTrue())
	})

	It("is admitted again when the evidence has expired", func() {
		l := quarantine.New()
		for i := range 3 {
			l.Add(at(1), terminated(1, strconv.Itoa(i), 0.2*float64(i)))
		}
		Expect(l.Status(at(599), 1).Quarantined).To(BeTrue())
		Expect(l.Status(at(600), 1).Quarantined).To(BeFalse())
		Expect(l.PendingAnnouncements(at(601), 100)).To(BeEmpty())
		Expect(l.Len()).To(BeZero())
		Expect(l.Add(at(700), terminated(1, "old", 0))).To(BeFalse())
	})
})

var _ = Describe("evidence", func() {
	// Guards against gateways that quarantine different requests although they received
	// the same evidence: datagrams arrive late, twice and in any order.
	It("merges to the same result in any order", func() {
		for seed := range uint64(50) {
			rng := rand.New(rand.NewPCG(seed, 45))
			var all []quarantine.Evidence
			for range 40 {
				f, s := request.Fingerprint(rng.IntN(4)), rng.Float64()*20
				if rng.IntN(8) == 0 {
					all = append(all, completed(f, s))
					continue
				}
				server := rng.IntN(6)
				// An instance terminates once.
				all = append(all, terminated(f, strconv.Itoa(server), 5+float64(server)))
			}
			var lists []*quarantine.List
			for range 2 {
				l := quarantine.New()
				rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
				for _, e := range all {
					l.Add(at(21), e)
					if rng.IntN(3) == 0 {
						l.Add(at(21), e)
					}
				}
				lists = append(lists, l)
			}
			for f := range request.Fingerprint(4) {
				Expect(lists[0].Status(at(21), f)).To(Equal(lists[1].Status(at(21), f)), "seed %d", seed)
			}
		}
	})

	// Guards against attempts that overlapped and count as sequential because each gateway that
	// passes evidence on makes its times a little later.
	It("does not drift when it is passed on many times", func() {
		from, to := quarantine.New(), quarantine.New()
		for i := range 3 {
			e := terminated(1, strconv.Itoa(i), 0.3*float64(i))
			e.SentAt = at(0)
			from.Add(at(1), e)
		}
		for range 500 {
			for _, e := range from.PendingAnnouncements(at(1), 100) {
				e.SentAt, e.ObservedAt = e.SentAt.Add(5*time.Millisecond), e.ObservedAt.Add(5*time.Millisecond)
				to.Add(at(1), e)
			}
			from, to = to, from
		}
		Expect(from.Status(at(1), 1).Quarantined).To(BeFalse())
		Expect(to.Status(at(1), 1).Quarantined).To(BeFalse())
	})

	It("is announced while it is recent, and longer for requests with two terminations", func() {
		l := quarantine.New()
		l.Add(at(0), terminated(1, "a", 0))
		l.Add(at(0), terminated(2, "a", 0))
		l.Add(at(0), terminated(2, "b", 0))
		l.Add(at(0), completed(3, 0))
		Expect(l.PendingAnnouncements(at(1), 100)).To(HaveLen(4))
		Expect(l.PendingAnnouncements(at(1), 2)).To(ConsistOf(terminated(2, "a", 0), terminated(2, "b", 0)))
		Expect(l.PendingAnnouncements(at(60), 100)).To(ConsistOf(terminated(2, "a", 0), terminated(2, "b", 0)))
	})

	// Guards against evidence that never reaches a gateway that missed it, because repeats of other
	// evidence take all the room.
	It("is repeated in turn", func() {
		l := quarantine.New()
		for f := range request.Fingerprint(40) {
			l.Add(at(0), terminated(f, "a", 0))
			l.Add(at(0), terminated(f, "b", 0))
		}
		repeated := map[request.Fingerprint]bool{}
		for second := range 10 {
			for _, e := range l.PendingAnnouncements(at(float64(10+2*second)), 8) {
				repeated[e.Request] = true
			}
		}
		Expect(repeated).To(HaveLen(40))
	})

	// Guards against evidence that is lost when all gateways are killed, and against a reader whose
	// clock is behind that takes it for later than what it sees itself.
	It("is restored from a snapshot, never as later than now", func() {
		l := quarantine.New()
		Expect(l.Version()).To(BeZero())
		for i := range 3 {
			l.Add(at(1), terminated(1<<63+1, strconv.Itoa(i), 0.3*float64(i)))
		}
		l.Add(at(1), terminated(2, "single", 0))
		Expect(l.Version()).NotTo(BeZero())
		s := l.Snapshot(at(1))
		Expect(s.Requests).To(HaveLen(1))
		later, behind := quarantine.New(), quarantine.New()
		later.Restore(at(2), s)
		Expect(later.Status(at(2), 1<<63+1).Quarantined).To(BeTrue())
		Expect(later.Status(at(2), 1<<63+1).Terminations).To(HaveLen(3))
		behind.Restore(at(-5), s)
		Expect(behind.Status(at(-5), 1<<63+1).Quarantined).To(BeTrue())
		for _, e := range behind.Status(at(-5), 1<<63+1).Terminations {
			Expect(e.ObservedAt.After(at(-5))).To(BeFalse())
		}
		Expect(later.Add(at(3), completed(1<<63+1, 3))).To(BeTrue())
		Expect(later.Snapshot(at(3)).Requests).To(BeEmpty())
	})

	// Guards against unbounded memory when a caller sends many different requests that
	// each crash a server. Requests with several terminations stay recorded.
	It("is bounded, and the least suspected request is evicted", func() {
		l := quarantine.New()
		for i := range 3 {
			l.Add(at(1), terminated(1<<40, strconv.Itoa(i), 0.2*float64(i)))
		}
		for f := range request.Fingerprint(10_000) {
			l.Add(at(1), terminated(f, "a", 1))
		}
		Expect(l.Len()).To(BeNumerically("<=", 2_048))
		Expect(l.Status(at(1), 1<<40).Quarantined).To(BeTrue())
		for n := range 100 {
			l.Add(at(1), terminated(1<<40, "more"+strconv.Itoa(n), 1))
		}
		Expect(len(l.Status(at(1), 1<<40).Terminations)).To(BeNumerically("<=", 8))
	})
})
