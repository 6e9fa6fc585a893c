package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

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
