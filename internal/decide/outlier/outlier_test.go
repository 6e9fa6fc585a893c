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
