package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// extraArrivals counts the arrivals beyond the first of each request as the operators'
// limit does: the first prefill that a server accepts is not counted.
func extraArrivals(servers []*runner.BackendServer) int {
	counted := make(map[string]int)
	accepted := make(map[string]bool)
	for _, s := range servers {
		for _, a := range s.Arrivals() {
			counted[a.ID]++
		}
		for _, p := range s.Prefills() {
			if !accepted[p.ID] {
				accepted[p.ID] = true
				counted[p.ID]--
			}
		}
	}
	extra := 0
	for _, n := range counted {
		extra += max(0, n-1)
	}
	return extra
}

// Guards against arrivals that cost the retry budget nothing: all engines reject nine of
// ten requests, so that most requests are rejected as a prefill and then sent.
func TestStormOfRejectedPrefillsStaysWithinTheRetryBudget(t *testing.T) {
	RegisterTestingT(t)
	const requests, slack, share = 300, 20, 0.2
	f := startFixture(slack, t.Cleanup)
	f.configure("1")
	var engines []*runner.BackendServer
	for i := range 4 {
		engines = append(engines, f.add("llm", runner.New(fmt.Sprintf("pre-%d", i), "prefill")), f.add("llm", runner.New(fmt.Sprintf("dec-%d", i), "decode")))
	}
	f.followUntilKnown(len(engines))
	for _, e := range engines {
		e.SetFault(runner.SheddingMost)
	}
	var group sync.WaitGroup
	for worker := range 10 {
		group.Go(func() {
			for i := range requests / 10 {
				f.send(http.MethodPost, "/stream-again/1", fmt.Sprintf("r-%d-%d", worker, i), splitPrompt...)
			}
		})
	}
	group.Wait()
	extra := extraArrivals(engines)
	Expect(extra).To(BeNumerically("<=", share*requests+slack))
	Expect(extra).To(BeNumerically(">", slack), "the budget is used")
}
