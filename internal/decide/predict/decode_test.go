package predict_test

import (
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
)

// decodeParams are the true inter-event time coefficients of a simulated engine.
type decodeParams struct {
	perEvent, perContext, perAge float64 // ms; a token; a second of age
}

// took returns a time between two events, with 10% noise.
func (s decodeParams) took(rng *rand.Rand, r predict.DecodeBatch, slowdown float64) time.Duration {
	ms := s.perEvent + s.perContext*r.PromptTokens + s.perAge*r.TotalAge.Seconds()
	ms *= slowdown * (1 + 0.1*rng.NormFloat64())
	return time.Duration(max(0.1, ms) * float64(time.Millisecond))
}

// randomBatch returns a load between idle and full.
func randomBatch(rng *rand.Rand) predict.DecodeBatch {
	return predict.DecodeBatch{
		PromptTokens: rng.Float64() * 300_000,
		TotalAge:     time.Duration(rng.Float64() * 300 * float64(time.Second)),
	}
}

func trainDecode(s *predict.DecodeModel, params decodeParams, rng *rand.Rand, events int) {
	for range events {
		r := randomBatch(rng)
		s.Observe(r, 1, params.took(rng, r, 1))
	}
}

// maxDecodeError returns the largest relative error of the model's estimates.
func maxDecodeError(s *predict.DecodeModel, params decodeParams, rng *rand.Rand) float64 {
	worst := 0.0
	for range 50 {
		r := randomBatch(rng)
		actual := params.perEvent + params.perContext*r.PromptTokens + params.perAge*r.TotalAge.Seconds()
		worst = max(worst, math.Abs(predict.ToMillis(s.InterEventTime(r))/actual-1))
	}
	return worst
}

var _ = Describe("DecodeModel", func() {
	// Guards against answers cut by their deadline: engines of one generation take 30 ms
	// per event and twice that when full, those of another a tenth or ten times as long,
	// and long answers go to slow engines when all are assumed to be equally fast.
	DescribeTable("estimates the inter-event time of engines of any speed to within 15% after 300 events",
		func(params decodeParams) {
			rng := rand.New(rand.NewPCG(21, 22))
			s := predict.NewDecodeModel()
			trainDecode(s, params, rng, 300)
			Expect(maxDecodeError(s, params, rng)).To(BeNumerically("<", 0.15))
		},
		Entry("contexts double the time", decodeParams{30, 1e-4, 0.1}),
		Entry("ten times as fast", decodeParams{3, 1e-5, 0.01}),
		Entry("ten times as slow", decodeParams{300, 1e-3, 1}),
		Entry("contexts dominate", decodeParams{3, 2e-4, 0.2}),
		Entry("contexts add nothing", decodeParams{40, 0, 0}),
	)

	// All engines of a service are replaced by slower ones.
	It("adapts to engines that change their speed", func() {
		rng := rand.New(rand.NewPCG(23, 24))
		s := predict.NewDecodeModel()
		trainDecode(s, decodeParams{30, 1e-4, 0.1}, rng, 1_000)
		trainDecode(s, decodeParams{90, 3e-4, 0.3}, rng, 3_000)
		Expect(maxDecodeError(s, decodeParams{90, 3e-4, 0.3}, rng)).To(BeNumerically("<", 0.15))
	})

	// Guards against estimates that are too long after a stall: an engine stalls for
	// seconds, and then all its streams get their next event.
	It("is not distorted by stalled streams", func() {
		rng := rand.New(rand.NewPCG(25, 26))
		s := predict.NewDecodeModel()
		params := decodeParams{30, 1e-4, 0.1}
		trainDecode(s, params, rng, 500)
		for range 20 {
			s.Observe(randomBatch(rng), 1, 5*time.Second)
		}
		Expect(maxDecodeError(s, params, rng)).To(BeNumerically("<", 0.15))
	})

	It("never estimates a shorter time for more contexts", func() {
		rng := rand.New(rand.NewPCG(27, 28))
		s := predict.NewDecodeModel()
		for range 1_000 {
			s.Observe(randomBatch(rng), 1, time.Duration(rng.IntN(int(time.Second))))
			r := randomBatch(rng)
			Expect(s.InterEventTime(r)).To(BeNumerically(">=", 0))
			Expect(s.InterEventTime(r.Plus(r))).To(BeNumerically(">=", s.InterEventTime(r)))
		}
	})
})

var _ = Describe("LengthModel", func() {
	// hint returns a caller's length hint in tokens, of which an event carries many: right
	// at the median, with a log standard deviation of 0.5.
	hint := func(rng *rand.Rand, events, tokensPerEvent int) int {
		return int(float64(events*tokensPerEvent) * math.Exp(0.5*rng.NormFloat64()))
	}

	// Guards against mistaking tokens for events: callers hint in tokens, gateways count
	// events, and every answer, or none, would seem to miss its deadline.
	DescribeTable("estimates the events per hinted token and the spread of hints",
		func(tokensPerEvent int) {
			rng := rand.New(rand.NewPCG(29, 30))
			var l predict.LengthModel
			for range 300 {
				events := 20 + rng.IntN(180)
				l.Observe(hint(rng, events, tokensPerEvent), events)
			}
			const interEvent = 50 * time.Millisecond
			expected := l.RemainingTime(predict.Answer{HintTokens: 100 * tokensPerEvent}, interEvent)
			Expect(expected.Seconds()).To(BeNumerically("~", 5, 0.8))
			Expect(l.MissProbability(predict.Answer{HintTokens: 100 * tokensPerEvent}, interEvent, 5*time.Second)).To(BeNumerically("~", 0.5, 0.15))
			Expect(l.MissProbability(predict.Answer{HintTokens: 100 * tokensPerEvent}, interEvent, 10*time.Second)).To(BeNumerically("~", 0.08, 0.06))
			Expect(l.MissProbability(predict.Answer{HintTokens: 100 * tokensPerEvent}, interEvent, 20*time.Second)).To(BeNumerically("<", 0.02))
		},
		Entry("one token per event", 1),
		Entry("55 tokens per event", 55),
	)

	It("reports an answer as late once its deadline has passed", func() {
		var l predict.LengthModel
		Expect(l.MissProbability(predict.Answer{HintTokens: 10}, time.Millisecond, 0)).To(Equal(1.0))
		Expect(l.MissSensitivity(predict.Answer{HintTokens: 10}, time.Millisecond, 0)).To(BeZero())
	})

	It("ignores answers without a hint or without events", func() {
		var l predict.LengthModel
		for range 100 {
			l.Observe(0, 10)
			l.Observe(10, 0)
		}
		Expect(l.Calibrated()).To(BeFalse())
	})
})

var _ = Describe("remaining time of an answer", func() {
	// trained returns a model of answers with one event per hinted token and a log standard
	// deviation of 0.5.
	trained := func() *predict.LengthModel {
		rng := rand.New(rand.NewPCG(41, 42))
		var l predict.LengthModel
		for range 300 {
			events := 20 + rng.IntN(180)
			l.Observe(int(float64(events)*math.Exp(0.5*rng.NormFloat64())), events)
		}
		return &l
	}
	const interEvent = 50 * time.Millisecond

	It("shrinks with the events done", func() {
		l := trained()
		Expect(l.RemainingTime(predict.Answer{HintTokens: 100, EventsDone: 80}, interEvent)).To(BeNumerically("<", l.RemainingTime(predict.Answer{HintTokens: 100}, interEvent)/2))
		half := predict.Answer{HintTokens: 200, EventsDone: 100}
		Expect(l.MissProbability(half, interEvent, 12*time.Second)).To(BeNumerically("<", 0.2))
		Expect(l.MissProbability(half, interEvent, time.Second)).To(BeNumerically(">", 0.8))
	})

	// An answer that is longer than its hint must still have a finite estimate.
	It("is always positive and finite", func() {
		l := trained()
		for done := 0; done < 100_000; done = 2*done + 1 {
			a := predict.Answer{HintTokens: 50, EventsDone: done}
			Expect(l.RemainingTime(a, interEvent)).To(BeNumerically(">=", interEvent))
			Expect(l.MissProbability(a, interEvent, 5*time.Second)).To(And(BeNumerically(">=", 0), BeNumerically("<=", 1)))
			Expect(math.IsNaN(l.MissSensitivity(a, interEvent, 5*time.Second))).To(BeFalse())
			Expect(l.MissProbability(a, interEvent, 0)).To(Equal(1.0))
		}
	})
})
