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

// Guards against streams that run twice, are cut or counted for good where prefill and
// decode engines go on at about the moment at which others are tried.
func TestSilentServersThatGoOnAtAnyMomentOfAPrefill(t *testing.T) {
	const rounds, perRound, events = 6, 24, 8
	f, decode, _ := newSilenceFixture(t, 1000, 3, 0)
	var prefill []*runner.BackendServer
	for n := range 3 {
		prefill = append(prefill, f.add("llm", runner.New(fmt.Sprintf("pre-%d", n), "prefill")))
	}
	Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(6))
	f.allowThreeAttempts()
	for _, engine := range decode {
		engine.Events, engine.EventInterval = events, 20*time.Millisecond
	}
	all := append(slices.Clone(decode), prefill...)
	targets := []string{"/stream-again/1", "/stream-once/1"}
	for round := range rounds {
		waits := map[string]func() response{}
		for _, s := range all {
			go func() {
				time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
				s.Silence()
				time.Sleep(time.Second + time.Duration(rand.IntN(40)-10)*time.Millisecond)
				s.Resume()
			}()
		}
		for n := range perRound {
			id := fmt.Sprintf("r%d-%d", round, n)
			waits[id] = f.start(http.MethodPost, targets[n%2], id, "Token-Count", "2000,20", "Prefix-Hash", fmt.Sprintf("%x:2000", round*100+n+16), "Deadline-Ms", patience)
			time.Sleep(2 * time.Millisecond)
		}
		for id, wait := range waits {
			got := wait()
			Expect(got.err).NotTo(HaveOccurred(), id)
			Expect(got.status).To(Equal(http.StatusOK), id+got.body)
			Expect(got.body).To(Equal(streamEvents(id, 1, events)))
		}
	}
	for round := range rounds {
		for n := 1; n < perRound; n += 2 {
			id := fmt.Sprintf("r%d-%d", round, n)
			Expect(sum(decode, func(s *runner.BackendServer) int { return runsOf(s, id) })).To(Equal(1), id)
		}
	}
	for _, engine := range all {
		Eventually(func() int { return f.gateway.EngineInFlight("llm", engine.ID) }).Should(BeZero(), engine.ID)
	}
	Eventually(func() int { return sum(all, (*runner.BackendServer).Held) }).Should(BeZero())
}
