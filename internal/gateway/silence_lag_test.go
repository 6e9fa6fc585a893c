package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// Guards against rejecting prompts that idle engines would answer at once: after their
// engine's silence, answers began late, and that is taken for a delay of all prefills.
func TestSilentServersThatWentOnDoNotMakePromptsLate(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, 0, 3, 0)
	for _, engine := range decode {
		engine.EventInterval = time.Millisecond
	}
	const learned = 60
	for n := range learned {
		Expect(f.send(http.MethodPost, "/stream-again/1", fmt.Sprintf("warm%d", n), silencePrompt...).status).To(Equal(http.StatusOK))
	}
	silence(decode...)
	ids := requestIDs(30)
	waits := f.startStreams("/stream-again/1", ids)
	Eventually(func() int { return sum(decode, (*runner.BackendServer).Held) }).Should(Equal(len(ids)))
	time.Sleep(soundSilence)
	resume(decode...)
	expectWholeStreams(waits, ids)
	for n := range 5 {
		got := f.send(http.MethodPost, "/stream-again/1", fmt.Sprintf("after%d", n), silencePrompt...)
		Expect(got.status).To(Equal(http.StatusOK), got.body)
	}
}
