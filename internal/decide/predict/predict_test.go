package predict_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
)

func TestPredict(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "predict")
}

// engineParams are the true prefill coefficients of a simulated engine.
type engineParams struct {
	latency, perPrompt, perToken, perPair float64 // ms
}

// took returns the time of a prefill behind other work, with 10% noise.
func (s engineParams) took(rng *rand.Rand, w predict.PrefillWork) time.Duration {
	ms := s.latency + s.perPrompt*w.Prompts + s.perToken*w.Tokens + s.perPair*w.AttentionPairs
	ms *= 1 + 0.1*rng.NormFloat64()
	return time.Duration(ms * float64(time.Millisecond))
}

// randomWork returns a prompt of widely varying length, behind up to four others.
func randomWork(rng *rand.Rand) predict.PrefillWork {
	var w predict.PrefillWork
	for range 1 + rng.IntN(5) {
		tokens := int(1_000 * math.Exp(rng.NormFloat64()))
		w = w.Plus(predict.NewPrefillWork(tokens+5_000, rng.IntN(5_000)))
	}
	return w
}

// train makes the model observe simulated prefills.
func train(r *predict.PrefillModel, s engineParams, rng *rand.Rand, prefills int) {
	for range prefills {
		w := randomWork(rng)
		r.Observe(w, 1, s.took(rng, w))
	}
}

// maxError returns the largest relative error of the model, over means of ten prefills.
func maxError(r *predict.PrefillModel, s engineParams, rng *rand.Rand) float64 {
	worst := 0.0
	for range 20 {
		var expected, observed time.Duration
		for range 10 {
			w := randomWork(rng)
			expected += r.FixedLatency() + r.ComputeTime(w)
			observed += s.took(rng, w)
		}
		worst = max(worst, math.Abs(float64(expected)/float64(observed)-1))
	}
	return worst
}

var (
	fast           = engineParams{latency: 14, perPrompt: 1.2, perToken: 1 / 420.0, perPair: 0.8e-7}
	slow           = engineParams{latency: 33, perPrompt: 1.5, perToken: 1 / 100.0, perPair: 1.6e-7}
	verySlow       = engineParams{latency: 80, perPrompt: 10, perToken: 1 / 15.0, perPair: 4e-7}
	attentionBound = engineParams{latency: 5, perPrompt: 0.3, perToken: 1 / 2_000.0, perPair: 2e-6}
)

var _ = Describe("PrefillModel", func() {
	// Guards against rejecting requests that would meet their deadline: the engines of one
	// installation prefill five times as fast as those of another, and look slow until the
	// model has learned their speed.
	DescribeTable("estimates engines of any speed to within 15% after 60 prefills",
		func(s engineParams) {
			rng := rand.New(rand.NewPCG(1, 2))
			r := predict.NewPrefillModel(1)
			Expect(r.Calibrated()).To(BeFalse())
			train(r, s, rng, 60)
			Expect(r.Calibrated()).To(BeTrue())
			Expect(maxError(r, s, rng)).To(BeNumerically("<", 0.15))
		},
		Entry("fast", fast),
		Entry("slow", slow),
		Entry("very slow", verySlow),
		Entry("dominated by attention", attentionBound),
	)

	// All engines are replaced by others under load.
	It("adapts to engines that change their speed", func() {
		rng := rand.New(rand.NewPCG(3, 4))
		r := predict.NewPrefillModel(1)
		train(r, fast, rng, 2_000)
		train(r, slow, rng, 3_000)
		Expect(maxError(r, slow, rng)).To(BeNumerically("<", 0.15))
		train(r, fast, rng, 5_000)
		Expect(maxError(r, fast, rng)).To(BeNumerically("<", 0.15))
	})

	// Guards against rejecting all callers for seconds after a gateway was frozen: answers
	// that waited in its socket are not a sign of slow engines.
	It("is not distorted by answers delayed outside the engine", func() {
		rng := rand.New(rand.NewPCG(5, 6))
		r := predict.NewPrefillModel(1)
		train(r, fast, rng, 500)
		for range 20 {
			r.Observe(randomWork(rng), 1, 3*time.Second)
		}
		Expect(maxError(r, fast, rng)).To(BeNumerically("<", 0.15))
	})

	It("never estimates a shorter time for more work", func() {
		rng := rand.New(rand.NewPCG(7, 8))
		r := predict.NewPrefillModel(1)
		for range 1_000 {
			r.Observe(randomWork(rng), 1, time.Duration(rng.IntN(int(time.Second))))
			more := randomWork(rng)
			Expect(r.ComputeTime(more)).To(BeNumerically(">=", 0))
			Expect(r.ComputeTime(more.Plus(more))).To(BeNumerically(">=", r.ComputeTime(more)))
		}
	})
})

var _ = Describe("EngineSpeed", func() {
	// observe runs one prefill, of 30 ms on an average engine, on an engine with the given
	// slowdown, and adds it to the estimate.
	observe := func(e *predict.EngineSpeed, rng *rand.Rand, slowdown float64) {
		const average = 30 * time.Millisecond
		expected := time.Duration(e.Slowdown() * float64(average))
		took := time.Duration(slowdown * (1 + 0.3*rng.NormFloat64()) * float64(average))
		e.Observe(expected, max(time.Millisecond, took))
	}

	// Guards against long queues at an engine that overheats, takes five times as long and
	// later recovers: assumed to be as fast as the other eight, it would get as many
	// prompts, and a ninth of all callers would wait.
	It("detects an engine that slows down and one that recovers", func() {
		rng := rand.New(rand.NewPCG(9, 10))
		var e predict.EngineSpeed
		for range 100 {
			observe(&e, rng, 1)
		}
		Expect(e.Slowdown()).To(BeNumerically("~", 1, 0.25))
		for range 150 {
			observe(&e, rng, 5)
		}
		Expect(e.Slowdown()).To(BeNumerically(">", 3.5))
		for range 200 {
			observe(&e, rng, 1)
		}
		Expect(e.Slowdown()).To(BeNumerically("<", 1.5))
	})

	// Guards against long answers cut by their deadline after a restart of all gateways:
	// until slow engines are detected, they get as many long answers as the others.
	It("detects a slow engine by its first 40 prefills", func() {
		rng := rand.New(rand.NewPCG(13, 14))
		var e predict.EngineSpeed
		for range 40 {
			observe(&e, rng, 1.3)
		}
		Expect(e.Calibrated()).To(BeTrue())
		Expect(e.Slowdown()).To(BeNumerically(">", 1.2))
	})

	It("bounds the slowdown", func() {
		var e predict.EngineSpeed
		for range 5_000 {
			e.Observe(time.Millisecond, time.Hour)
		}
		Expect(e.Slowdown()).To(BeNumerically("<", 9))
	})
})

var _ = Describe("HandoverModel", func() {
	// Guards against wrong estimates for handovers: engines may serve answers that were
	// handed over to them before or after the prefills in their own queue. A wrong
	// assumption rejects answers that would be in time, or admits ones that are late.
	DescribeTable("estimates the delay by a backlog to within 15% after 100 answers",
		func(base time.Duration, fraction float64) {
			rng := rand.New(rand.NewPCG(11, 12))
			h := predict.NewHandoverModel(15 * time.Millisecond)
			took := func(backlog time.Duration) time.Duration {
				return base + time.Duration(fraction*float64(backlog))
			}
			for range 100 {
				backlog := time.Duration(rng.IntN(300)) * time.Millisecond
				h.Observe(backlog, time.Duration((1+0.2*rng.NormFloat64())*float64(took(backlog))))
			}
			for _, backlog := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond} {
				actual := float64(took(backlog))
				Expect(float64(h.BaseDelay() + h.BacklogDelay(backlog))).To(BeNumerically("~", actual, 0.15*actual))
			}
		},
		Entry("the whole backlog", 10*time.Millisecond, 1.0),
		Entry("a fraction of it", 20*time.Millisecond, 0.2),
		Entry("nothing", 40*time.Millisecond, 0.0),
	)

	It("starts from its prior, follows observations and bounds outliers", func() {
		h := predict.NewHandoverModel(15 * time.Millisecond)
		Expect(h.BaseDelay()).To(Equal(15 * time.Millisecond))
		for range 100 {
			h.Observe(0, 40*time.Millisecond)
		}
		Expect(h.BaseDelay()).To(BeNumerically("~", 40*time.Millisecond, time.Millisecond))
		h.Observe(0, time.Hour)
		Expect(h.BaseDelay()).To(BeNumerically("<", 50*time.Millisecond))
	})
})
