package quarantine_test

import (
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/quarantine"
)

// crashed returns the crash of a server under prompts with segments that none completed with.
func crashed(server string, s float64, fresh ...quarantine.Segment) quarantine.Crash {
	return quarantine.Crash{Instance: backend.Instance{ID: server, Incarnation: 1}, ObservedAt: at(s), Fresh: fresh}
}

// blamed returns the segments for which a prompt is rejected, nil if it is not.
func blamed(s *quarantine.Segments, now float64, prompt ...quarantine.Segment) []quarantine.Segment {
	b, _ := s.Blamed(at(now), prompt)
	return b.Segments
}

var _ = Describe("a prompt segment under which servers crash", func() {
	const owner, topic, fatal, other = 1, 2, 3, 4

	It("is blamed after three crashes, for ten minutes", func() {
		s := quarantine.NewSegments()
		for i := range 3 {
			Expect(blamed(s, 9, fatal)).To(BeNil())
			Expect(s.Add(at(9), crashed(strconv.Itoa(i), float64(i), fatal))).To(BeTrue())
			Expect(s.Add(at(9), crashed(strconv.Itoa(i), float64(i), fatal))).To(BeFalse())
		}
		Expect(blamed(s, 9, other, fatal)).To(Equal([]quarantine.Segment{fatal}))
		Expect(blamed(s, 9, other)).To(BeNil())
		b, _ := s.Blamed(at(9), []quarantine.Segment{fatal})
		Expect(b.RetryAfter(at(9))).To(Equal(10*time.Minute - 9*time.Second))
		Expect(blamed(s, 600, fatal)).To(BeNil())
	})

	// Guards against sound prompts that are rejected for what they share with fatal ones.
	It("is blamed together with those that can't be told apart, and only for prompts with all", func() {
		s := quarantine.NewSegments()
		for i := range 3 {
			s.Add(at(9), crashed(strconv.Itoa(i), float64(i), owner, topic, fatal))
		}
		Expect(blamed(s, 9, owner, topic, fatal)).To(Equal([]quarantine.Segment{owner, topic, fatal}))
		Expect(blamed(s, 9, owner, topic)).To(BeNil())
		Expect(s.Complete(at(9), []quarantine.Segment{owner, topic})).To(ConsistOf(quarantine.Segment(owner), quarantine.Segment(topic)))
		Expect(blamed(s, 9, fatal)).To(Equal([]quarantine.Segment{fatal}))
	})

	It("comes last if prompts have completed with it before", func() {
		s := quarantine.NewSegments()
		s.Complete(at(0), []quarantine.Segment{owner})
		for i := range 3 {
			c := crashed(strconv.Itoa(i), float64(i), topic, fatal)
			c.Reused = []quarantine.Segment{other}
			c.Fresh = append(c.Fresh, owner)
			s.Add(at(9), c)
		}
		Expect(blamed(s, 9, owner, topic, fatal, other)).To(Equal([]quarantine.Segment{topic, fatal}))
		Expect(blamed(s, 9, owner, other)).To(BeNil())
	})

	// Guards against a segment that turns fatal after prompts have completed with it.
	It("is blamed after five crashes though prompts have completed with it before", func() {
		s := quarantine.NewSegments()
		for i := range 5 {
			Expect(blamed(s, 9, fatal)).To(BeNil())
			c := crashed(strconv.Itoa(i), float64(i))
			c.Reused = []quarantine.Segment{fatal}
			s.Add(at(9), c)
		}
		Expect(blamed(s, 9, fatal)).To(Equal([]quarantine.Segment{fatal}))
	})

	// Guards against segments that are blamed because their prompts ran where a fatal one did.
	It("explains crashes that are then no evidence against others", func() {
		s := quarantine.NewSegments()
		for i := range 8 {
			c := crashed(strconv.Itoa(i), float64(i), fatal)
			if i%2 == 0 {
				c.Fresh = append(c.Fresh, other)
			}
			s.Add(at(9), c)
		}
		Expect(blamed(s, 9, fatal)).To(Equal([]quarantine.Segment{fatal}))
		Expect(blamed(s, 9, other)).To(BeNil())
		for i := range 3 {
			s.Add(at(9), crashed("later"+strconv.Itoa(i), 8+0.2*float64(i), other))
		}
		Expect(blamed(s, 9, other)).To(Equal([]quarantine.Segment{other}))
		Expect(blamed(s, 9, fatal)).To(Equal([]quarantine.Segment{fatal}))
	})

	// Guards against segments that are blamed for a rack that is lost.
	It("counts servers that are lost together once", func() {
		s := quarantine.NewSegments()
		for i := range 6 {
			s.Add(at(1), crashed(strconv.Itoa(i), 0.01*float64(i), fatal))
		}
		Expect(blamed(s, 1, fatal)).To(BeNil())
		Expect(s.Suspected([]quarantine.Segment{fatal})).To(BeTrue())
		s.Complete(at(2), []quarantine.Segment{fatal})
		Expect(s.Suspected([]quarantine.Segment{fatal})).To(BeFalse())
	})

	It("is announced while the crash is recent, and for as long as it is blamed", func() {
		s := quarantine.NewSegments()
		s.Add(at(0), crashed("alone", 0, other))
		for i := range 3 {
			s.Add(at(1), crashed(strconv.Itoa(i), 0.2*float64(i), fatal))
		}
		Expect(s.PendingAnnouncements(at(1), 10)).To(HaveLen(4))
		Expect(s.PendingAnnouncements(at(60), 10)).To(HaveLen(3))
		Expect(s.PendingAnnouncements(at(61), 10)).To(BeEmpty())
	})

	// Guards against evidence that is lost when all gateways are killed.
	It("is restored from a snapshot", func() {
		s := quarantine.NewSegments()
		s.Add(at(1), crashed("alone", 0, other))
		Expect(s.Version()).To(BeZero())
		for i := range 3 {
			c := crashed(strconv.Itoa(i), 0.2*float64(i), fatal)
			c.Reused = []quarantine.Segment{owner}
			s.Add(at(1), c)
		}
		Expect(s.Version()).NotTo(BeZero())
		later := quarantine.NewSegments()
		later.Restore(at(-5), s.Snapshot(at(1)))
		Expect(blamed(later, -5, fatal)).To(Equal([]quarantine.Segment{fatal}))
		Expect(blamed(later, -5, owner, other)).To(BeNil())
		b, _ := later.Blamed(at(-5), []quarantine.Segment{fatal})
		Expect(b.Restored).To(BeTrue())
		Expect(later.Complete(at(2), []quarantine.Segment{owner, fatal})).To(HaveLen(2))
		Expect(later.Snapshot(at(2))).To(BeEmpty())
	})

	// Guards against unbounded memory, and against blame that is lost to later crashes.
	It("is bounded, and crashes that explain blame are kept", func() {
		s := quarantine.NewSegments()
		for i := range 3 {
			s.Add(at(1), crashed("fatal"+strconv.Itoa(i), 0.2*float64(i), fatal))
		}
		for i := range 300 {
			var many []quarantine.Segment
			for n := range 500 {
				many = append(many, quarantine.Segment(1000*i+n+100))
			}
			fresh, _ := s.Split(many)
			s.Add(at(2), crashed("other"+strconv.Itoa(i), 1+0.001*float64(i), fresh...))
		}
		Expect(blamed(s, 2, fatal)).To(Equal([]quarantine.Segment{fatal}))
		Expect(len(s.PendingAnnouncements(at(2), 1000))).To(BeNumerically("<=", 64))
	})
})
