package predict_test

import (
	"encoding/json"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
)

var _ = Describe("snapshots", func() {
	// batch returns some streams with contexts of varying size.
	batch := func(n int) predict.DecodeBatch {
		return predict.DecodeBatch{PromptTokens: float64(1_000 * (n % 50)), TotalAge: time.Duration(n%7) * time.Second}
	}
	took := func(n int) time.Duration {
		return 40*time.Millisecond + time.Duration(batch(n).PromptTokens*1e-3*float64(time.Millisecond))
	}
	trained := func() *predict.DecodeModel {
		s := predict.NewDecodeModel()
		for n := range 300 {
			s.Observe(batch(n), 1, took(n))
		}
		return s
	}
	// interEvent returns the estimate for a context of 20,000 tokens.
	interEvent := func(s *predict.DecodeModel) float64 {
		return predict.ToMillis(s.InterEventTime(predict.DecodeBatch{PromptTokens: 20_000}))
	}
	// roundTrip converts a value to its stored form and back.
	roundTrip := func(from, to any) {
		data, err := json.Marshal(from)
		Expect(err).NotTo(HaveOccurred())
		Expect(json.Unmarshal(data, to)).To(Succeed())
	}

	It("are restored by a new process", func() {
		var s predict.FitSnapshot
		roundTrip(trained().Snapshot(), &s)
		r := predict.NewDecodeModel()
		Expect(r.Restore(s)).To(Succeed())
		Expect(r.Calibrated()).To(BeTrue())
		Expect(interEvent(r)).To(BeNumerically("~", 60, 3))
	})

	// Engines were replaced by faster ones while no gateway ran.
	It("count less than later observations", func() {
		r := predict.NewDecodeModel()
		Expect(r.Restore(trained().Snapshot())).To(Succeed())
		for n := range 300 {
			r.Observe(batch(n), 1, took(n)/4)
		}
		Expect(interEvent(r)).To(BeNumerically("~", 15, 2))
	})

	It("do not replace later observations", func() {
		r := trained()
		other := predict.NewDecodeModel()
		for n := range 300 {
			other.Observe(batch(n), 1, 4*took(n))
		}
		Expect(r.Restore(other.Snapshot())).To(Succeed())
		Expect(interEvent(r)).To(BeNumerically("~", 60, 3))
	})

	// Guards against unusable stored objects, written by another version or by hand: they
	// would have all requests rejected, or none.
	DescribeTable("are rejected if malformed",
		func(s predict.FitSnapshot) {
			r := predict.NewDecodeModel()
			before := interEvent(r)
			Expect(r.Restore(s)).To(MatchError(predict.ErrInvalidSnapshot))
			Expect(interEvent(r)).To(Equal(before))
			Expect(r.Calibrated()).To(BeFalse())
		},
		Entry("wrong size", predict.FitSnapshot{Normal: [][]float64{{1}}, RHS: []float64{1}, Count: 100}),
		Entry("ragged rows", predict.FitSnapshot{Normal: [][]float64{{1}, {1}, {1}}, RHS: make([]float64, 3), Count: 100}),
		Entry("not finite", predict.FitSnapshot{
			Normal: [][]float64{{math.NaN(), 0, 0}, {0, 1, 0}, {0, 0, 1}}, RHS: make([]float64, 3), Count: 100,
		}),
	)

	It("of engines and lengths are validated", func() {
		Expect(predict.EngineSnapshot{LogSlowdown: 50, Samples: 100}.Valid()).To(BeFalse())
		Expect(predict.EngineSnapshot{LogSlowdown: math.NaN()}.Valid()).To(BeFalse())
		Expect(predict.EngineSnapshot{LogSlowdown: 0.3, Variance: 0.1, Samples: 100}.Valid()).To(BeTrue())
		var l predict.LengthModel
		Expect(l.Restore(predict.LengthSnapshot{Variance: -1, Samples: 100})).To(MatchError(predict.ErrInvalidSnapshot))
		Expect(l.Restore(predict.LengthSnapshot{LogEvents: -4, Variance: 0.2, Samples: 100})).To(Succeed())
		Expect(l.Calibrated()).To(BeTrue())
	})
})
