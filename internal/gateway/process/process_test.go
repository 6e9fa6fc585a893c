package process

import (
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/backend"
)

func TestProcess(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "process")
}

var _ = Describe("engines asked after a start", func() {
	// Three hundred gateways start at once before a thousand engines. Were each
	// to ask every engine, callers would wait for all of these calls.
	It("are bounded, and only engines that serve", func() {
		servers := map[string]backend.Server{"plain": {ID: "plain"}}
		for i := range 1_000 {
			id := strconv.Itoa(i)
			servers[id] = backend.Server{ID: id, Role: backend.Decode, Draining: i%2 == 0}
		}
		some := someEngines(servers, mostAsked)
		Expect(some).To(HaveLen(mostAsked))
		for _, s := range some {
			Expect(s.Draining || s.Role == backend.NoRole).To(BeFalse())
		}
		Expect(someEngines(map[string]backend.Server{}, mostAsked)).To(BeEmpty())
	})
})
