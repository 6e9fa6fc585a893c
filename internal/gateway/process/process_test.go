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

var _ = Describe("engines queried after a start", func() {
	// Guards against delaying callers: three hundred gateways start at the same time with
	// a thousand engines, and each queries every engine.
	It("are limited in number and not draining", func() {
		servers := map[string]backend.Server{"plain": {ID: "plain"}}
		for i := range 1_000 {
			id := strconv.Itoa(i)
			servers[id] = backend.Server{ID: id, Role: backend.Decode, Draining: i%2 == 0}
		}
		chosen := randomEngines(servers, maxCacheQueries)
		Expect(chosen).To(HaveLen(maxCacheQueries))
		for _, s := range chosen {
			Expect(s.Draining || s.Role == backend.NoRole).To(BeFalse())
		}
		Expect(randomEngines(map[string]backend.Server{}, maxCacheQueries)).To(BeEmpty())
	})
})
