package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// Guards against KV cache that nobody fetches: a silent decode engine has not fetched it
// when the request moves on to another one.
func TestSilentServersThatAreLeftLeaveNoKVCache(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, enoughSlack, 2, 0)
	prefill := f.add("llm", runner.New("pre-0", "prefill"))
	Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(3))
	silence(decode...)
	wait := f.start(http.MethodPost, "/stream-again/1", "r0", splitPrompt...)
	silent, _ := resumeAllButTheHolder(decode)
	Expect(prefill.Handles()).To(Equal(1))
	expectWholeStreams([]func() response{wait}, []string{"r0"})
	Eventually(silent.Held).Should(BeZero(), "the attempt is canceled")
	Eventually(prefill.Handles).WithTimeout(2 * time.Second).Should(BeZero())
}
