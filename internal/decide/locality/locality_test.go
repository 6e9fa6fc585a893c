package locality_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/locality"
)

func TestLocality(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "locality")
}

const objective = 500 * time.Millisecond

var _ = Describe("the price of distance", func() {
	It("grows with what is sent", func() {
		price := locality.Price(600 * time.Millisecond)
		Expect(price.Cost(17_000)).To(Equal(10200 * time.Microsecond))
		Expect(locality.Price(0).Cost(17_000)).To(BeZero())
	})

	// Guards against requests that are late at home to save bytes.
	It("fades before a request would be late at home", func() {
		Expect(locality.Discount(0, objective)).To(Equal(1.0))
		Expect(locality.Discount(objective/2, objective)).To(Equal(1.0))
		Expect(locality.Discount(325*time.Millisecond, objective)).To(BeNumerically("~", 0.5, 0.01))
		Expect(locality.Discount(400*time.Millisecond, objective)).To(BeZero())
		Expect(locality.Discount(time.Second, objective)).To(BeZero())
		Expect(locality.Discount(time.Second, 0)).To(BeZero())
		Expect(locality.Discount(0, -time.Second)).To(BeZero())
	})

	// Guards against all gateways of a data centre leaving at the same moment.
	DescribeTable("lets a share leave that grows with the gain",
		func(gain time.Duration, want float64) {
			leave := 0
			for key := range uint64(10_000) {
				if locality.Leaves(gain, 100*time.Millisecond, key) {
					leave++
				}
			}
			Expect(float64(leave) / 10_000).To(BeNumerically("~", want, 0.02))
		},
		Entry("loss", -time.Millisecond, 0.0),
		Entry("none", time.Duration(0), 0.0),
		Entry("a quarter of a step", 25*time.Millisecond, 0.25),
		Entry("half a step", 50*time.Millisecond, 0.5),
		Entry("more than a step", 150*time.Millisecond, 1.0),
	)
})
