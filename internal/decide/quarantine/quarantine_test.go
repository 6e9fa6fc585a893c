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

func ended(f request.Fingerprint, server string, s float64) quarantine.Evidence {
	return quarantine.Evidence{Request: f, Instance: backend.Instance{ID: server, Incarnation: 1}, SentAt: at(s - 0.1), ObservedAt: at(s)}
}

func well(f request.Fingerprint, s float64) quarantine.Evidence {
	return quarantine.Evidence{Request: f, ObservedAt: at(s)}
}

var _ = Describe("a request under which servers ended", func() {
	It("is refused once three have", func() {
		l := quarantine.New()
		for i := range 3 {
			Expect(l.Status(at(9), 1).Quarantined).To(BeFalse())
			Expect(l.Add(at(9), ended(1, strconv.Itoa(i), float64(i)))).To(BeTrue())
		}
		s := l.Status(at(9), 1)
		Expect(s.Quarantined).To(BeTrue())
		Expect(s.Terminations).To(HaveLen(3))
		Expect(s.RetryAfter).To(Equal(10*time.Minute - 9*time.Second))
		Expect(l.Status(at(9), 2)).To(Equal(quarantine.Status{}))
	})

	// A server that starts again under its id is another one, and one that several
	// gateways saw ending is not.
	It("counts each start of a server once", func() {
		l := quarantine.New()
		e := ended(1, "a", 0)
		Expect(l.Add(at(0), e)).To(BeTrue())
		Expect(l.Add(at(1), e)).To(BeFalse())
		again := ended(1, "a", 1)
		again.Instance.Incarnation = 2
		Expect(l.Add(at(1), again)).To(BeTrue())
		Expect(l.Status(at(1), 1).Terminations).To(HaveLen(2))
	})

	// Up to a hundred requests run at a server that ends. Those that end well elsewhere
	// were not the reason, whatever comes late of what was seen before.
	It("is cleared by a good end, also against older evidence", func() {
		l := quarantine.New()
		l.Add(at(0), ended(1, "a", 0))
		l.Add(at(1), ended(1, "b", 1))
		Expect(l.Add(at(2), well(1, 2))).To(BeTrue())
		Expect(l.Status(at(2), 1).Suspected()).To(BeFalse())
		Expect(l.Add(at(3), ended(1, "c", 1.5))).To(BeFalse())
		Expect(l.Add(at(3), ended(1, "c", 2.5))).To(BeTrue())
	})

	// A rack is lost with all that runs there, and callers everywhere send the same.
	It("is not held against those that were lost together", func() {
		l := quarantine.New()
		for i := range 6 {
			l.Add(at(1), ended(1, strconv.Itoa(i), 0.01*float64(i)))
		}
		Expect(l.Status(at(1), 1).Quarantined).To(BeFalse())
		Expect(l.Status(at(1), 1).Suspected()).To(BeTrue())
	})

	// Guards against a rack that was lost under it, with all that is noted of a request,
	// keeping later ends from being noted.
	It("is refused once three have ended after a rack was lost under it", func() {
		l := quarantine.New()
		for i := range 12 {
			l.Add(at(1), ended(1, "rack"+strconv.Itoa(i), 0.01*float64(i)))
		}
		for i := range 3 {
			l.Add(at(9), ended(1, "later"+strconv.Itoa(i), 1+float64(i)))
		}
		Expect(l.Status(at(9), 1).Quarantined).To(BeTrue())
	})

	It("is let in again when the evidence is old", func() {
		l := quarantine.New()
		for i := range 3 {
			l.Add(at(1), ended(1, strconv.Itoa(i), 0.2*float64(i)))
		}
		Expect(l.Status(at(599), 1).Quarantined).To(BeTrue())
		Expect(l.Status(at(600), 1).Quarantined).To(BeFalse())
		Expect(l.PendingAnnouncements(at(601), 100)).To(BeEmpty())
		Expect(l.Len()).To(BeZero())
		Expect(l.Add(at(700), ended(1, "old", 0))).To(BeFalse())
	})
})

var _ = Describe("evidence", func() {
	// Datagrams are lost, come late and twice; whatever their order, gateways that got
	// the same evidence refuse the same requests.
	It("merges to the same in any order", func() {
		for seed := range uint64(50) {
			rng := rand.New(rand.NewPCG(seed, 45))
			var all []quarantine.Evidence
			for range 40 {
				f, s := request.Fingerprint(rng.IntN(4)), rng.Float64()*20
				if rng.IntN(8) == 0 {
					all = append(all, well(f, s))
					continue
				}
				server := rng.IntN(6)
				// An instance ends once.
				all = append(all, ended(f, strconv.Itoa(server), 5+float64(server)))
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

	It("is told again while it is fresh, and longer where servers ended twice", func() {
		l := quarantine.New()
		l.Add(at(0), ended(1, "a", 0))
		l.Add(at(0), ended(2, "a", 0))
		l.Add(at(0), ended(2, "b", 0))
		l.Add(at(0), well(3, 0))
		Expect(l.PendingAnnouncements(at(1), 100)).To(HaveLen(4))
		Expect(l.PendingAnnouncements(at(1), 2)).To(ConsistOf(ended(2, "a", 0), ended(2, "b", 0)))
		Expect(l.PendingAnnouncements(at(60), 100)).To(ConsistOf(ended(2, "a", 0), ended(2, "b", 0)))
	})

	// A caller sends many different requests, and each ends a server. Those that are
	// known to end several stay known.
	It("is bounded, and drops what is least suspicious", func() {
		l := quarantine.New()
		for i := range 3 {
			l.Add(at(1), ended(1<<40, strconv.Itoa(i), 0.2*float64(i)))
		}
		for f := range request.Fingerprint(10_000) {
			l.Add(at(1), ended(f, "a", 1))
		}
		Expect(l.Len()).To(BeNumerically("<=", 2_048))
		Expect(l.Status(at(1), 1<<40).Quarantined).To(BeTrue())
		for n := range 100 {
			l.Add(at(1), ended(1<<40, "more"+strconv.Itoa(n), 1))
		}
		Expect(len(l.Status(at(1), 1<<40).Terminations)).To(BeNumerically("<=", 8))
	})
})
