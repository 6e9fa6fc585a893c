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
	work := func(n int) predict.Work { return predict.WorkOf(1_000+100*(n%50), 0) }
	took := func(n int) time.Duration {
		return 20*time.Millisecond + time.Duration(work(n).Tokens/200*float64(time.Millisecond))
	}
	taught := func() *predict.Reading {
		r := predict.NewReading(1)
		for n := range 300 {
			r.Learn(work(n), 1, took(n))
		}
		return r
	}
	// copied passes a value through the form in which it is kept.
	copied := func(from, to any) {
		data, err := json.Marshal(from)
		Expect(err).NotTo(HaveOccurred())
		Expect(json.Unmarshal(data, to)).To(Succeed())
	}

	It("of reads is taken over by a new process", func() {
		var s predict.FitState
		copied(taught().State(), &s)
		r := predict.NewReading(1)
		Expect(r.Restore(s)).To(Succeed())
		Expect(r.Known()).To(BeTrue())
		Expect(r.Rate()).To(BeNumerically("~", 200, 10))
	})

	// Engines were replaced by faster ones while no gateway ran.
	It("yields to what is seen later", func() {
		r := predict.NewReading(1)
		Expect(r.Restore(taught().State())).To(Succeed())
		for n := range 300 {
			r.Learn(work(n), 1, took(n)/4)
		}
		Expect(r.Rate()).To(BeNumerically("~", 800, 80))
	})

	It("does not replace what was seen since", func() {
		r := taught()
		other := predict.NewReading(1)
		for n := range 300 {
			other.Learn(work(n), 1, 4*took(n))
		}
		Expect(r.Restore(other.State())).To(Succeed())
		Expect(r.Rate()).To(BeNumerically("~", 200, 10))
	})

	// Another version wrote the object, or somebody by hand. Believed, it would have
	// all requests refused, or none.
	DescribeTable("is not taken over if it cannot be",
		func(s predict.FitState) {
			r := predict.NewReading(1)
			before := r.Rate()
			Expect(r.Restore(s)).To(MatchError(predict.ErrState))
			Expect(r.Rate()).To(Equal(before))
			Expect(r.Known()).To(BeFalse())
		},
		Entry("of another size", predict.FitState{Normal: [][]float64{{1}}, Right: []float64{1}, Count: 100}),
		Entry("of ragged rows", predict.FitState{Normal: [][]float64{{1}, {1}, {1}, {1}}, Right: make([]float64, 4), Count: 100}),
		Entry("not finite", predict.FitState{
			Normal: [][]float64{{math.NaN(), 0, 0, 0}, {0, 1, 0, 0}, {0, 0, 1, 0}, {0, 0, 0, 1}}, Right: make([]float64, 4), Count: 100,
		}),
	)

	It("of engines and lengths is checked as well", func() {
		Expect(predict.EngineState{LogSlowness: 50, Reads: 100}.Usable()).To(BeFalse())
		Expect(predict.EngineState{LogSlowness: math.NaN()}.Usable()).To(BeFalse())
		Expect(predict.EngineState{LogSlowness: 0.3, Variance: 0.1, Reads: 100}.Usable()).To(BeTrue())
		var l predict.Lengths
		Expect(l.Restore(predict.LengthsState{Variance: -1, Seen: 100})).To(MatchError(predict.ErrState))
		Expect(l.Restore(predict.LengthsState{LogEvents: -4, Variance: 0.2, Seen: 100})).To(Succeed())
		Expect(l.Known()).To(BeTrue())
	})
})
