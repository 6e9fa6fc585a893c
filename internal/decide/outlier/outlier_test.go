package outlier_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/outlier"
)

func TestOutlier(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "outlier")
}

var start = time.Unix(1_000_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func observe(d *outlier.Detector, from, to time.Duration, servers int, took func(i int) outlier.Observation) {
	for t := from; t < to; t += 500 * time.Millisecond {
		for i := range servers {
			d.Observe(at(t), name(i), took(i))
		}
	}
}

func name(i int) string { return fmt.Sprintf("runner-%d", i) }

func healthy(int) outlier.Observation {
	return outlier.Observation{Took: time.Second, Expected: time.Second}
}

func slowFirst(slow int) func(int) outlier.Observation {
	return func(i int) outlier.Observation {
		o := healthy(i)
		if i < slow {
			o.Took *= 5
		}
		return o
	}
}

var _ = Describe("Detector", func() {
	// Guards against a throttled server that still accepts requests: at a fifth of its
	// speed it makes one request in eight late, at random.
	It("lowers the weight of a slow backend server and lets it recover", func() {
		d := outlier.New(outlier.Config{})
		observe(d, 0, 30*time.Second, 8, slowFirst(1))
		Expect(d.Weight(at(30*time.Second), name(0))).To(BeNumerically("<", 0.3))
		Expect(d.Weight(at(30*time.Second), name(0))).To(BeNumerically(">=", outlier.DefaultMinWeight))
		Expect(d.Weight(at(30*time.Second), name(1))).To(BeEquivalentTo(1))

		observe(d, 30*time.Second, 90*time.Second, 8, healthy)
		Expect(d.Weight(at(90*time.Second), name(0))).To(BeEquivalentTo(1))
	})

	// Guards against lowering the weights of many servers that are slow because of high
	// load: the same load on fewer servers would slow these down in turn.
	It("lowers the weights of at most a bounded fraction", func() {
		d := outlier.New(outlier.Config{})
		observe(d, 0, 30*time.Second, 8, slowFirst(3))
		lowered := 0
		for i := range 8 {
			if d.Weight(at(30*time.Second), name(i)) < 1 {
				lowered++
			}
		}
		Expect(lowered).To(Equal(2))
	})

	It("lowers the weight of a server that fails", func() {
		d := outlier.New(outlier.Config{})
		observe(d, 0, 30*time.Second, 8, func(i int) outlier.Observation {
			return outlier.Observation{Took: time.Second, Expected: time.Second, Failed: i == 4}
		})
		Expect(d.Weight(at(30*time.Second), name(4))).To(BeEquivalentTo(outlier.DefaultMinWeight))
	})

	It("restores the full weight of a server without recent observations", func() {
		d := outlier.New(outlier.Config{})
		observe(d, 0, 30*time.Second, 8, slowFirst(1))
		Expect(d.Weight(at(10*time.Minute), name(0))).To(BeEquivalentTo(1))
	})
})

var _ = Describe("Detector with MinFailures", func() {
	var d *outlier.Detector
	BeforeEach(func() {
		d = outlier.New(outlier.Config{MinFailures: 1.2, HalfLife: 2 * time.Second})
		for i := range 12 {
			d.Add(start, name(i), 5, 0)
		}
	})

	// Guards against losing requests at an idle server while its failures are counted for
	// seconds, and against judging a server by one failure.
	It("lowers the weight of a server after two failures, not after one", func() {
		d.Add(at(0), name(1), 0, 1)
		Expect(d.Outliers(at(time.Millisecond))).To(BeEmpty())
		d.Add(at(200*time.Millisecond), name(1), 0, 1)
		Expect(d.Outliers(at(201 * time.Millisecond))).To(HaveLen(1))
		Expect(d.Weight(at(201*time.Millisecond), name(1))).To(BeNumerically("<", 0.9))
	})

	// Guards against a server that is never used again, and against callers that find out
	// whether it has recovered.
	It("probes the server after some seconds, and restores its weight later", func() {
		d.Add(at(0), name(1), 0, 2)
		Expect(d.Outliers(at(0))[name(1)].Probing).To(BeFalse())
		Expect(d.Outliers(at(4 * time.Second))[name(1)].Probing).To(BeTrue())
		d.Add(at(4*time.Second), name(1), 0, 1)
		Expect(d.Outliers(at(4 * time.Second))[name(1)].Probing).To(BeFalse())
		Expect(d.Outliers(at(14 * time.Second))).To(BeEmpty())
	})

	// Guards against emptying a service.
	It("lowers at most a quarter of the peers", func() {
		for i := range 4 {
			d.Add(at(0), name(i), 0, 5)
		}
		Expect(d.Outliers(at(0))).To(HaveLen(3))
	})

	It("forgets servers that are no peers any more", func() {
		d.Add(at(0), name(1), 0, 5)
		d.SetPeers([]string{name(2), name(3), name(4)})
		d.Add(at(0), name(1), 0, 5)
		Expect(d.Outliers(at(0))).To(BeEmpty())
	})

	// Guards against processes that keep a server out by repeating to each other what they
	// know.
	It("takes over more failures only while the weight is not lowered", func() {
		d.Raise(at(0), name(1), 1, 3)
		Expect(d.Outliers(at(0))).To(HaveLen(1))
		d.Raise(at(2*time.Second), name(1), 1, 100)
		Expect(d.Outliers(at(12 * time.Second))).To(BeEmpty())
	})
})
