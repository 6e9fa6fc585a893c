package contention_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/contention"
)

func TestContention(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "contention")
}

var start = time.Unix(1_000_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// state returns the state after reports at these times, in milliseconds.
func state(now int, reports ...contention.Report) *contention.State {
	s, usual := &contention.State{}, &contention.Usual{}
	for _, r := range reports {
		s.Add(at(now), r, usual)
	}
	return s
}

var _ = Describe("contention", func() {
	It("loses its weight within 300 ms", func() {
		s := state(0, contention.Report{Factor: 2, At: at(0)})
		Expect(s.At(at(0)).Now()).To(BeNumerically("~", 1.91, 0.01), "relative to the mean so far")
		Expect(s.At(at(150)).Now()).To(BeNumerically("~", 1.455, 0.01))
		Expect(s.At(at(300)).Now()).To(BeEquivalentTo(1))
		Expect(s.At(at(150)).Over(time.Second)).To(BeNumerically("~", 1+0.91*0.0375, 0.01))
		Expect(s.At(at(0)).Over(300 * time.Millisecond)).To(BeNumerically("~", 1.455, 0.01))
	})

	// Guards against an old factor that comes back with a late datagram, and against a
	// clock error that makes a report valid for ever.
	It("ignores reports that are late, older than the last one or invalid", func() {
		last := contention.Report{Factor: 1, At: at(500)}
		for _, r := range []contention.Report{
			{Factor: 2.5, At: at(400)},
			{Factor: 0, At: at(600)},
			{Factor: -1, At: at(600)},
			{Factor: math.NaN(), At: at(600)},
			{Factor: math.Inf(1), At: at(600)},
			{Factor: 2.5, At: at(300)},
		} {
			Expect(state(600, last, r).Last()).To(Equal(last))
		}
		Expect(state(1000, contention.Report{Factor: 2.5, At: at(600)}).Last()).To(BeZero())
		Expect(state(0, contention.Report{Factor: 1e9, At: at(5_000)}).Last()).To(Equal(contention.Report{Factor: contention.Max, At: at(0)}))
	})

	// Guards against estimates that are too low while nothing is reported: samples without a
	// report include the mean contention.
	It("is relative to the mean of all servers", func() {
		usual, contended, free := &contention.Usual{}, &contention.State{}, &contention.State{}
		for ms := range 2_000 {
			s, factor := free, 1.0
			if ms%4 == 0 {
				s, factor = contended, 3
			}
			s.Add(at(ms), contention.Report{Factor: factor, At: at(ms)}, usual)
		}
		Expect(usual.Factor()).To(BeNumerically("~", 1.5, 0.05))
		Expect(contended.At(at(1_996)).Now()).To(BeNumerically("~", 2, 0.1))
		Expect(free.At(at(1_999)).Now()).To(BeNumerically("~", 0.67, 0.03))
	})

	It("survives a byte in a message", func() {
		Expect(contention.Decode(contention.Encode(0))).To(BeZero())
		for _, factor := range []float64{0.5, 1, 2.5, 8} {
			Expect(contention.Decode(contention.Encode(factor))).To(BeNumerically("~", factor, 0.02))
		}
		Expect(contention.Encode(math.NaN())).To(BeZero())
		Expect(contention.Decode(1)).To(Equal(contention.Min))
	})
})
