package place_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/place"
)

var _ = Describe("connections", func() {
	// Guards against a new connection for each request where many gateways use many engines.
	It("decide between engines that are otherwise equal", func() {
		connected := map[string]bool{"e2": true, "e5": true}
		p, _, _ := newFleet(4, 4).Plan(at(0), place.Job{ID: 1, Prompt: prompt(1, 0, 9_000, 1), Connected: connected}, unhurried)
		Expect(p.PrefillEngine).To(Equal("e2"))
		Expect(p.DecodeEngine).To(Equal("e5"))
	})

	// Guards against a queue at the connected engines while others are idle.
	It("do not keep requests at a busy engine", func() {
		f := newFleet(4, 4)
		j := place.Job{ID: 1, Prompt: prompt(1, 0, 9_000, 1), Connected: map[string]bool{"e2": true}}
		plan(f, at(0), j)
		j.ID, j.Prompt = 2, prompt(2, 0, 9_000, 2)
		p, _, _ := f.Plan(at(1), j, unhurried)
		Expect(p.PrefillEngine).NotTo(Equal("e2"))
	})
})
