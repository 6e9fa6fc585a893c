package gateway_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

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
