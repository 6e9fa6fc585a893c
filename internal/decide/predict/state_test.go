package predict_test

import (
	"encoding/json"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
)

var _ = Describe("what was learned", func() {
	// running has some streams, with contexts of many sizes.
	running := func(n int) predict.DecodeBatch {
		return predict.DecodeBatch{PromptTokens: float64(1_000 * (n % 50)), TotalAge: time.Duration(n%7) * time.Second}
	}
	took := func(n int) time.Duration {
		return 40*time.Millisecond + time.Duration(running(n).PromptTokens*1e-3*float64(time.Millisecond))
	}
	taught := func() *predict.DecodeModel {
		s := predict.NewDecodeModel()
		for n := range 300 {
			s.Observe(running(n), 1, took(n))
		}
		return s
	}
	// between is what is expected with a context of 20,000 tokens.
	between := func(s *predict.DecodeModel) float64 {
		return predict.ToMillis(s.InterEventTime(predict.DecodeBatch{PromptTokens: 20_000}))
	}
	// copied passes a value through the form in which it is kept.
	copied := func(from, to any) {
		data, err := json.Marshal(from)
		Expect(err).NotTo(HaveOccurred())
		Expect(json.Unmarshal(data, to)).To(Succeed())
	}

	It("of answers is taken over by a new process", func() {
		var s predict.FitSnapshot
		copied(taught().Snapshot(), &s)
		r := predict.NewDecodeModel()
		Expect(r.Restore(s)).To(Succeed())
		Expect(r.Calibrated()).To(BeTrue())
		Expect(between(r)).To(BeNumerically("~", 60, 3))
	})

	// Engines were replaced by faster ones while no gateway ran.
	It("yields to what is seen later", func() {
		r := predict.NewDecodeModel()
		Expect(r.Restore(taught().Snapshot())).To(Succeed())
		for n := range 300 {
			r.Observe(running(n), 1, took(n)/4)
		}
		Expect(between(r)).To(BeNumerically("~", 15, 2))
	})

	It("does not replace what was seen since", func() {
		r := taught()
		other := predict.NewDecodeModel()
		for n := range 300 {
			other.Observe(running(n), 1, 4*took(n))
		}
		Expect(r.Restore(other.Snapshot())).To(Succeed())
		Expect(between(r)).To(BeNumerically("~", 60, 3))
	})

	// Another version wrote the object, or somebody by hand. Believed, it would have
	// all requests refused, or none.
	DescribeTable("is not taken over if it cannot be",
		func(s predict.FitSnapshot) {
			r := predict.NewDecodeModel()
			before := between(r)
			Expect(r.Restore(s)).To(MatchError(predict.ErrInvalidSnapshot))
			Expect(between(r)).To(Equal(before))
			Expect(r.Calibrated()).To(BeFalse())
		},
		Entry("of another size", predict.FitSnapshot{Normal: [][]float64{{1}}, Right: []float64{1}, Count: 100}),
		Entry("of ragged rows", predict.FitSnapshot{Normal: [][]float64{{1}, {1}, {1}}, Right: make([]float64, 3), Count: 100}),
		Entry("not finite", predict.FitSnapshot{
			Normal: [][]float64{{math.NaN(), 0, 0}, {0, 1, 0}, {0, 0, 1}}, Right: make([]float64, 3), Count: 100,
		}),
	)

	It("of engines and lengths is checked as well", func() {
		Expect(predict.EngineSnapshot{LogSlowdown: 50, Samples: 100}.Valid()).To(BeFalse())
		Expect(predict.EngineSnapshot{LogSlowdown: math.NaN()}.Valid()).To(BeFalse())
		Expect(predict.EngineSnapshot{LogSlowdown: 0.3, Variance: 0.1, Samples: 100}.Valid()).To(BeTrue())
		var l predict.LengthModel
		Expect(l.Restore(predict.LengthSnapshot{Variance: -1, Samples: 100})).To(MatchError(predict.ErrInvalidSnapshot))
		Expect(l.Restore(predict.LengthSnapshot{LogEvents: -4, Variance: 0.2, Samples: 100})).To(Succeed())
		Expect(l.Calibrated()).To(BeTrue())
	})
})
