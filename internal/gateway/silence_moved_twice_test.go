package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// Guards against load that is not counted: a stream that has been moved twice counts as
// running at its third engine.
func TestSilentServersStreamMovedTwiceIsCountedAtItsEngine(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, enoughSlack, 3, 0)
	f.allowThreeAttempts()
	for _, engine := range decode {
		engine.Events, engine.EventInterval = 6, 500*time.Millisecond
	}
	wait := f.start(http.MethodPost, "/stream-again/1", "r0", silencePrompt...)
	running := func() int { return sum(decode, (*runner.BackendServer).InFlight) }
	Eventually(running).Should(Equal(1))
	var last *runner.BackendServer
	for move := range 2 {
		busiestFirst(decode)[0].Silence()
		Eventually(func() int { return sum(decode, runCount) }).WithTimeout(3 * time.Second).Should(Equal(move + 2))
		Eventually(running).Should(Equal(1))
		last = busiestFirst(decode)[0]
		time.Sleep(100 * time.Millisecond)
	}
	Expect(f.gateway.EngineInFlight("llm", last.ID)).To(Equal(1))
	got := wait()
	Expect(got.err).NotTo(HaveOccurred())
	Expect(got.body).To(Equal(streamEvents("r0", 1, 6)))
	for _, engine := range decode {
		Expect(f.gateway.EngineInFlight("llm", engine.ID)).To(BeZero(), engine.ID)
	}
}
