package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
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

// allowThreeAttempts configures that requests may be sent to three servers and that
// their first event may take as long as their callers wait.
func (f *fixture) allowThreeAttempts() {
	text := strings.ReplaceAll(configuration, `"timeoutMs":2000`, `"timeoutMs":`+patience)
	text = strings.ReplaceAll(text, `"maxAttempts":2`, `"maxAttempts":3`)
	text = strings.ReplaceAll(text, `"latencyGoalMs":500`, `"latencyGoalMs":`+patience)
	f.store.PutRaw("config", "main", []byte(strings.ReplaceAll(text, "%VERSION%", "2")))
	Eventually(func() int {
		route, _ := f.dir.View().Table.Match("h.example", "/stream-again/1")
		return route.MaxAttempts
	}).Should(Equal(3))
}

// resumeThird waits until two of three silent servers have been tried and resumes the
// third.
func resumeThird(servers []*runner.BackendServer) {
	tried := map[*runner.BackendServer]bool{}
	Eventually(func() int {
		for _, s := range servers {
			if s.Held() > 0 {
				tried[s] = true
			}
		}
		return len(tried)
	}).WithTimeout(3*time.Second).Should(Equal(2), "a second server is tried")
	for _, s := range servers {
		if !tried[s] {
			s.Resume()
		}
	}
}

// Guards against callers that leave although a server is free: the second server that a
// stream is sent to is silent for good as well, and the route allows a third.
func TestSilentServersForGoodAreLeftForAThirdEngine(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, enoughSlack, 3, 0)
	f.allowThreeAttempts()
	silence(decode...)
	waits := f.startStreams("/stream-again/1", []string{"r0"})
	resumeThird(decode)
	expectWholeStreams(waits, []string{"r0"})
}

// Guards against callers that leave although a server is free: the second server that a
// lookup is sent to is silent for good as well, and the route allows a third.
func TestSilentServersForGoodAreLeftForAThirdServer(t *testing.T) {
	f, _, desk := newSilenceFixture(t, enoughSlack, 0, 3)
	f.allowThreeAttempts()
	silence(desk...)
	wait := f.start(http.MethodGet, "/read/1", "r0", "Deadline-Ms", patience)
	resumeThird(desk)
	got := wait()
	Expect(got.err).NotTo(HaveOccurred())
	Expect(got.status).To(Equal(http.StatusOK), got.body)
}

// Guards against giving up a prefill that takes as long as expected: nothing else has been
// sent yet, and the decode engine would have to prefill the prompt from its start.
func TestSilentServersThatPrefillALongPromptAreAwaited(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, enoughSlack, 1, 0)
	prefill := f.add("llm", runner.New("pre-0", "prefill"))
	Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(2))
	f.allowThreeAttempts()
	prefill.Silence()
	wait := f.start(http.MethodPost, "/stream-once/1", "r0", "Token-Count", "60000,20", "Prefix-Hash", "aa:60000", "Deadline-Ms", patience)
	Eventually(prefill.Held).Should(Equal(1))
	time.Sleep(soundSilence)
	prefill.Resume()
	expectWholeStreams([]func() response{wait}, []string{"r0"})
	Expect(decode[0].Runs()[0].Header.Get("Kv-Source")).NotTo(BeEmpty(), "the prefill that took 1.3 s is used")
}

// Guards against sending every request again after this process itself stood still for
// more than a second: its servers were not silent.
func TestSilentServersAreNotSeenWhereTheGatewayStoodStill(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, enoughSlack, 3, 0)
	for _, engine := range decode {
		engine.Events, engine.EventInterval = 12, 300*time.Millisecond
	}
	ids := requestIDs(24)
	waits := f.startStreams("/stream-again/1", ids)
	Eventually(func() int { return sum(decode, (*runner.BackendServer).InFlight) }).Should(Equal(len(ids)))
	standStill(soundSilence)
	for n, wait := range waits {
		got := wait()
		Expect(got.err).NotTo(HaveOccurred(), ids[n])
		Expect(got.body).To(Equal(streamEvents(ids[n], 1, 12)), ids[n])
	}
	Expect(sum(decode, func(s *runner.BackendServer) int { return len(s.RequestTimes()) })).To(Equal(len(ids)), "requests sent")
}

// standStill stops this process for a time.
func standStill(d time.Duration) {
	pid := strconv.Itoa(os.Getpid())
	Expect(exec.Command("sh", "-c", "kill -STOP "+pid+"; sleep "+strconv.FormatFloat(d.Seconds(), 'f', 1, 64)+"; kill -CONT "+pid).Run()).To(Succeed())
}
