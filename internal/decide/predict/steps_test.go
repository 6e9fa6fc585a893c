package predict_test

import (
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
)

// stepSheet is the pace of an engine as it really is.
type stepSheet struct {
	perEvent, perContext, perAge float64 // ms; a token; a second of age
}

// took is the time between two events, with a tenth of chance.
func (s stepSheet) took(rng *rand.Rand, r predict.DecodeBatch, slowness float64) time.Duration {
	ms := s.perEvent + s.perContext*r.PromptTokens + s.perAge*r.TotalAge.Seconds()
	ms *= slowness * (1 + 0.1*rng.NormFloat64())
	return time.Duration(max(0.1, ms) * float64(time.Millisecond))
}

// someRunning is an engine that is nearly idle, full, or between.
func someRunning(rng *rand.Rand) predict.DecodeBatch {
	return predict.DecodeBatch{
		PromptTokens: rng.Float64() * 300_000,
		TotalAge:     time.Duration(rng.Float64() * 300 * float64(time.Second)),
	}
}

func teachSteps(s *predict.DecodeModel, sheet stepSheet, rng *rand.Rand, events int) {
	for range events {
		r := someRunning(rng)
		s.Observe(r, 1, sheet.took(rng, r, 1))
	}
}

// worstStep is the largest part by which Steps are off the sheet.
func worstStep(s *predict.DecodeModel, sheet stepSheet, rng *rand.Rand) float64 {
	off := 0.0
	for range 50 {
		r := someRunning(rng)
		real := sheet.perEvent + sheet.perContext*r.PromptTokens + sheet.perAge*r.TotalAge.Seconds()
		off = max(off, math.Abs(predict.ToMillis(s.InterEventTime(r))/real-1))
	}
	return off
}

var _ = Describe("Steps", func() {
	// Engines of one generation take 30 ms an event and twice that when full, those
	// of another a tenth or ten times as long. Believed to be alike, long answers
	// are sent where their deadline cuts them.
	DescribeTable("learns engines of any pace to within 15% in three hundred events",
		func(sheet stepSheet) {
			rng := rand.New(rand.NewPCG(21, 22))
			s := predict.NewDecodeModel()
			teachSteps(s, sheet, rng, 300)
			Expect(worstStep(s, sheet, rng)).To(BeNumerically("<", 0.15))
		},
		Entry("contexts double it", stepSheet{30, 1e-4, 0.1}),
		Entry("ten times as fast", stepSheet{3, 1e-5, 0.01}),
		Entry("ten times as slow", stepSheet{300, 1e-3, 1}),
		Entry("contexts are all", stepSheet{3, 2e-4, 0.2}),
		Entry("contexts are nothing", stepSheet{40, 0, 0}),
	)

	// All engines of a service are replaced by others.
	It("follows engines that change their pace", func() {
		rng := rand.New(rand.NewPCG(23, 24))
		s := predict.NewDecodeModel()
		teachSteps(s, stepSheet{30, 1e-4, 0.1}, rng, 1_000)
		teachSteps(s, stepSheet{90, 3e-4, 0.3}, rng, 3_000)
		Expect(worstStep(s, stepSheet{90, 3e-4, 0.3}, rng)).To(BeNumerically("<", 0.15))
	})

	// An engine stands still for seconds, and then the next event of each of its
	// streams comes.
	It("is not moved by streams that stalled", func() {
		rng := rand.New(rand.NewPCG(25, 26))
		s := predict.NewDecodeModel()
		sheet := stepSheet{30, 1e-4, 0.1}
		teachSteps(s, sheet, rng, 500)
		for range 20 {
			s.Observe(someRunning(rng), 1, 5*time.Second)
		}
		Expect(worstStep(s, sheet, rng)).To(BeNumerically("<", 0.15))
	})

	It("never believes that more contexts take less time", func() {
		rng := rand.New(rand.NewPCG(27, 28))
		s := predict.NewDecodeModel()
		for range 1_000 {
			s.Observe(someRunning(rng), 1, time.Duration(rng.IntN(int(time.Second))))
			r := someRunning(rng)
			Expect(s.InterEventTime(r)).To(BeNumerically(">=", 0))
			Expect(s.InterEventTime(r.Plus(r))).To(BeNumerically(">=", s.InterEventTime(r)))
		}
	})
})

var _ = Describe("Lengths", func() {
	// hint is a caller's estimate of an answer, in tokens of which an event holds
	// many: right at the median, off by half.
	hint := func(rng *rand.Rand, events, tokensPerEvent int) int {
		return int(float64(events*tokensPerEvent) * math.Exp(0.5*rng.NormFloat64()))
	}

	// Callers count tokens and gateways see events. Mistaken for each other, every
	// answer seems to miss its deadline, or none.
	DescribeTable("learns how many events a hint means, and how far hints are off",
		func(tokensPerEvent int) {
			rng := rand.New(rand.NewPCG(29, 30))
			var l predict.LengthModel
			for range 300 {
				events := 20 + rng.IntN(180)
				l.Observe(hint(rng, events, tokensPerEvent), events)
			}
			const between = 50 * time.Millisecond
			expected := l.RemainingTime(predict.Answer{HintTokens: 100 * tokensPerEvent}, between)
			Expect(expected.Seconds()).To(BeNumerically("~", 5, 0.8))
			Expect(l.MissProbability(predict.Answer{HintTokens: 100 * tokensPerEvent}, between, 5*time.Second)).To(BeNumerically("~", 0.5, 0.15))
			Expect(l.MissProbability(predict.Answer{HintTokens: 100 * tokensPerEvent}, between, 10*time.Second)).To(BeNumerically("~", 0.08, 0.06))
			Expect(l.MissProbability(predict.Answer{HintTokens: 100 * tokensPerEvent}, between, 20*time.Second)).To(BeNumerically("<", 0.02))
		},
		Entry("of one token", 1),
		Entry("of fifty-five tokens", 55),
	)

	It("says that an answer misses a deadline that has passed", func() {
		var l predict.LengthModel
		Expect(l.MissProbability(predict.Answer{HintTokens: 10}, time.Millisecond, 0)).To(Equal(1.0))
		Expect(l.MissSensitivity(predict.Answer{HintTokens: 10}, time.Millisecond, 0)).To(BeZero())
	})

	It("takes nothing from answers without a hint or events", func() {
		var l predict.LengthModel
		for range 100 {
			l.Observe(0, 10)
			l.Observe(10, 0)
		}
		Expect(l.Calibrated()).To(BeFalse())
	})
})

var _ = Describe("the rest of an answer", func() {
	// taught knows answers of hint events, off by half.
	taught := func() *predict.LengthModel {
		rng := rand.New(rand.NewPCG(41, 42))
		var l predict.LengthModel
		for range 300 {
			events := 20 + rng.IntN(180)
			l.Observe(int(float64(events)*math.Exp(0.5*rng.NormFloat64())), events)
		}
		return &l
	}
	const between = 50 * time.Millisecond

	It("is what its length leaves", func() {
		l := taught()
		Expect(l.RemainingTime(predict.Answer{HintTokens: 100, EventsDone: 80}, between)).To(BeNumerically("<", l.RemainingTime(predict.Answer{HintTokens: 100}, between)/2))
		half := predict.Answer{HintTokens: 200, EventsDone: 100}
		Expect(l.MissProbability(half, between, 12*time.Second)).To(BeNumerically("<", 0.2))
		Expect(l.MissProbability(half, between, time.Second)).To(BeNumerically(">", 0.8))
	})

	// An answer longer than its caller expected has an end nevertheless.
	It("is never nothing, nor without end", func() {
		l := taught()
		for done := 0; done < 100_000; done = 2*done + 1 {
			a := predict.Answer{HintTokens: 50, EventsDone: done}
			Expect(l.RemainingTime(a, between)).To(BeNumerically(">=", between))
			Expect(l.MissProbability(a, between, 5*time.Second)).To(And(BeNumerically(">=", 0), BeNumerically("<=", 1)))
			Expect(math.IsNaN(l.MissSensitivity(a, between, 5*time.Second))).To(BeFalse())
			Expect(l.MissProbability(a, between, 0)).To(Equal(1.0))
		}
	})
})
