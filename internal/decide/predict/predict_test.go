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

// sheet is an engine as it really is.
type sheet struct {
	latency, perPrompt, perToken, perPair float64 // ms
}

// took is how long a read behind other work takes, with a tenth of chance.
func (s sheet) took(rng *rand.Rand, w predict.PrefillWork) time.Duration {
	ms := s.latency + s.perPrompt*w.Prompts + s.perToken*w.Tokens + s.perPair*w.AttentionPairs
	ms *= 1 + 0.1*rng.NormFloat64()
	return time.Duration(ms * float64(time.Millisecond))
}

// someWork is a prompt of very uneven length, behind up to four others.
func someWork(rng *rand.Rand) predict.PrefillWork {
	var w predict.PrefillWork
	for range 1 + rng.IntN(5) {
		tokens := int(1_000 * math.Exp(rng.NormFloat64()))
		w = w.Plus(predict.NewPrefillWork(tokens+5_000, rng.IntN(5_000)))
	}
	return w
}

// teach lets a Reading see reads.
func teach(r *predict.PrefillModel, s sheet, rng *rand.Rand, reads int) {
	for range reads {
		w := someWork(rng)
		r.Observe(w, 1, s.took(rng, w))
	}
}

// worst is the largest part by which the Reading is off the sheet, over the mean
// of ten reads at a time.
func worst(r *predict.PrefillModel, s sheet, rng *rand.Rand) float64 {
	off := 0.0
	for range 20 {
		var expected, seen time.Duration
		for range 10 {
			w := someWork(rng)
			expected += r.FixedLatency() + r.ComputeTime(w)
			seen += s.took(rng, w)
		}
		off = max(off, math.Abs(float64(expected)/float64(seen)-1))
	}
	return off
}

var (
	fast      = sheet{latency: 14, perPrompt: 1.2, perToken: 1 / 420.0, perPair: 0.8e-7}
	slow      = sheet{latency: 33, perPrompt: 1.5, perToken: 1 / 100.0, perPair: 1.6e-7}
	tiny      = sheet{latency: 80, perPrompt: 10, perToken: 1 / 15.0, perPair: 4e-7}
	attentive = sheet{latency: 5, perPrompt: 0.3, perToken: 1 / 2_000.0, perPair: 2e-6}
)

var _ = Describe("Reading", func() {
	// A customer's engines read five times as fast as those of the one before.
	// Until that is known, requests are refused as too late that would be in time.
	DescribeTable("learns engines of any speed to within 15% in sixty reads",
		func(s sheet) {
			rng := rand.New(rand.NewPCG(1, 2))
			r := predict.NewPrefillModel(1)
			Expect(r.Calibrated()).To(BeFalse())
			teach(r, s, rng, 60)
			Expect(r.Calibrated()).To(BeTrue())
			Expect(worst(r, s, rng)).To(BeNumerically("<", 0.15))
		},
		Entry("fast ones", fast),
		Entry("slow ones", slow),
		Entry("tiny ones", tiny),
		Entry("ones whose attention costs most", attentive),
	)

	// All engines are replaced by others while requests come.
	It("follows engines that change their speed", func() {
		rng := rand.New(rand.NewPCG(3, 4))
		r := predict.NewPrefillModel(1)
		teach(r, fast, rng, 2_000)
		teach(r, slow, rng, 3_000)
		Expect(worst(r, slow, rng)).To(BeNumerically("<", 0.15))
		teach(r, fast, rng, 5_000)
		Expect(worst(r, fast, rng)).To(BeNumerically("<", 0.15))
	})

	// Answers wait seconds in the socket of a gateway that was frozen. Taken for
	// the engines' speed, they would make it refuse everybody for as long.
	It("is not moved by answers that waited elsewhere", func() {
		rng := rand.New(rand.NewPCG(5, 6))
		r := predict.NewPrefillModel(1)
		teach(r, fast, rng, 500)
		for range 20 {
			r.Observe(someWork(rng), 1, 3*time.Second)
		}
		Expect(worst(r, fast, rng)).To(BeNumerically("<", 0.15))
	})

	It("never believes that more work takes less time", func() {
		rng := rand.New(rand.NewPCG(7, 8))
		r := predict.NewPrefillModel(1)
		for range 1_000 {
			r.Observe(someWork(rng), 1, time.Duration(rng.IntN(int(time.Second))))
			more := someWork(rng)
			Expect(r.ComputeTime(more)).To(BeNumerically(">=", 0))
			Expect(r.ComputeTime(more.Plus(more))).To(BeNumerically(">=", r.ComputeTime(more)))
		}
	})
})

var _ = Describe("Engine", func() {
	// read lets an engine of a slowness take one read that an average one does in
	// 30 ms, and the belief see it.
	read := func(e *predict.EngineSpeed, rng *rand.Rand, slowness float64) {
		const average = 30 * time.Millisecond
		expected := time.Duration(e.Slowdown() * float64(average))
		took := time.Duration(slowness * (1 + 0.3*rng.NormFloat64()) * float64(average))
		e.Observe(expected, max(time.Millisecond, took))
	}

	// One engine of nine runs hot and takes five times as long, and later is well
	// again. Believed as fast as the others, it gets as many prompts, and a ninth
	// of all callers wait.
	It("notices an engine that turns slow, and one that is well again", func() {
		rng := rand.New(rand.NewPCG(9, 10))
		var e predict.EngineSpeed
		for range 100 {
			read(&e, rng, 1)
		}
		Expect(e.Slowdown()).To(BeNumerically("~", 1, 0.25))
		for range 150 {
			read(&e, rng, 5)
		}
		Expect(e.Slowdown()).To(BeNumerically(">", 3.5))
		for range 200 {
			read(&e, rng, 1)
		}
		Expect(e.Slowdown()).To(BeNumerically("<", 1.5))
	})

	// All gateways start anew and know no engine. Until the slow ones are known, long
	// answers go there as often as anywhere, and are cut by their deadlines.
	It("knows a slow engine by its first forty reads", func() {
		rng := rand.New(rand.NewPCG(13, 14))
		var e predict.EngineSpeed
		for range 40 {
			read(&e, rng, 1.3)
		}
		Expect(e.Calibrated()).To(BeTrue())
		Expect(e.Slowdown()).To(BeNumerically(">", 1.2))
	})

	It("bounds what it believes", func() {
		var e predict.EngineSpeed
		for range 5_000 {
			e.Observe(time.Millisecond, time.Hour)
		}
		Expect(e.Slowdown()).To(BeNumerically("<", 9))
	})
})

var _ = Describe("Handover", func() {
	// Engines put what was handed to them before the prompts that they read
	// themselves, or behind them, as they like. Expected otherwise, answers are
	// refused as too late that would be in time, or let in and late.
	DescribeTable("learns what a backlog adds to within 15% in a hundred answers",
		func(least time.Duration, part float64) {
			rng := rand.New(rand.NewPCG(11, 12))
			h := predict.NewHandoverModel(15 * time.Millisecond)
			took := func(backlog time.Duration) time.Duration {
				return least + time.Duration(part*float64(backlog))
			}
			for range 100 {
				backlog := time.Duration(rng.IntN(300)) * time.Millisecond
				h.Observe(backlog, time.Duration((1+0.2*rng.NormFloat64())*float64(took(backlog))))
			}
			for _, backlog := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond} {
				seen := float64(took(backlog))
				Expect(float64(h.BaseDelay() + h.BacklogDelay(backlog))).To(BeNumerically("~", seen, 0.15*seen))
			}
		},
		Entry("in full", 10*time.Millisecond, 1.0),
		Entry("a part of it", 20*time.Millisecond, 0.2),
		Entry("nothing", 40*time.Millisecond, 0.0),
	)

	It("begins at its prior, follows what it sees and bounds a single surprise", func() {
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
