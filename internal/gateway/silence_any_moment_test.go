package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// Guards against answers that are mixed up, cut or counted for good where a server goes
// on at about the moment at which another one is tried or begins to answer.
func TestSilentServersThatGoOnAtAnyMoment(t *testing.T) {
	const rounds, perRound, events = 8, 40, 8
	f, decode, desk := newSilenceFixture(t, 1000, 4, 3)
	f.allowThreeAttempts()
	for _, engine := range decode {
		engine.Events, engine.EventInterval = events, 20*time.Millisecond
	}
	all := append(slices.Clone(decode), desk...)
	for round := range rounds {
		waits := map[string]func() response{}
		for n := range perRound {
			id := fmt.Sprintf("r%d-%d", round, n)
			if n%2 == 0 {
				waits[id] = f.start(http.MethodPost, "/stream-again/1", id, silencePrompt...)
			} else {
				waits[id] = f.start(http.MethodGet, "/read/1", id, "Deadline-Ms", patience)
			}
		}
		for _, s := range all {
			go func() {
				time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
				s.Silence()
				time.Sleep(time.Second + time.Duration(rand.IntN(30)-10)*time.Millisecond)
				s.Resume()
			}()
		}
		for id, wait := range waits {
			got := wait()
			Expect(got.err).NotTo(HaveOccurred(), id)
			Expect(got.status).To(Equal(http.StatusOK), id+got.body)
			Expect(got.body).To(Or(Equal(streamEvents(id, 1, events)), Equal(runner.Body(id))))
		}
	}
	for _, engine := range decode {
		Eventually(func() int { return f.gateway.EngineInFlight("llm", engine.ID) }).Should(BeZero(), engine.ID)
	}
	Eventually(func() int { return sum(all, (*runner.BackendServer).InFlight) }).Should(BeZero())
	Eventually(func() int { return sum(all, (*runner.BackendServer).Held) }).Should(BeZero())
}
