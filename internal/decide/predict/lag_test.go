package predict_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
)

var _ = Describe("PrefillLag", func() {
	start := time.Unix(1_000, 0)

	It("follows the excess of prefills over their estimates", func() {
		var l predict.PrefillLag
		now := start
		for range 60 {
			now = now.Add(10 * time.Millisecond)
			l.Observe(now, 100*time.Millisecond, 250*time.Millisecond)
		}
		Expect(l.Current(now)).To(BeNumerically("~", 150*time.Millisecond, 20*time.Millisecond))
	})

	// Guards against a gateway that rejects all callers for good: while its link is full it
	// assigns no prefills, so no observation shows that the link is free again.
	It("decays without observations", func() {
		var l predict.PrefillLag
		for range 60 {
			l.Observe(start, 0, 800*time.Millisecond)
		}
		Expect(l.Current(start.Add(5 * time.Second))).To(BeNumerically("<", 30*time.Millisecond))
	})

	It("is never negative, and a single observation has little effect", func() {
		var l predict.PrefillLag
		l.Observe(start, time.Hour, 0)
		Expect(l.Current(start)).To(BeZero())
		var other predict.PrefillLag
		other.Observe(start, 0, time.Hour)
		Expect(other.Current(start)).To(BeNumerically("<=", 100*time.Millisecond))
	})
})
