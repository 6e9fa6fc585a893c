package ring_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/ring"
)

func TestRing(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ring")
}

var _ = Describe("Ring", func() {
	// Guards against an unbounded queue: when a duty is stuck while its senders
	// continue, the queue grows until the process is killed with all its requests.
	It("rejects an item when it is full", func() {
		r := ring.New[int]("test.reject", 2, ring.Reject)
		Expect(r.Put(1)).To(BeTrue())
		Expect(r.Put(2)).To(BeTrue())
		Expect(r.Put(3)).To(BeFalse())
		Expect(<-r.C()).To(Equal(1))
	})

	It("drops the oldest item for a newer one", func() {
		r := ring.New[int]("test.drop", 2, ring.DropOldest)
		for i := range 3 {
			Expect(r.Put(i)).To(BeTrue())
		}
		Expect(<-r.C()).To(Equal(1))
		Expect(<-r.C()).To(Equal(2))
	})
})
