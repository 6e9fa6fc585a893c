package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

var splitPrompt = []string{"Token-Count", "20000,20", "Prefix-Hash", "aa:15000,bb:5000", "Deadline-Ms", patience}

// Guards against KV cache that nobody fetches: an engine goes on while another one waits
// to continue its stream with a prompt that was prefilled for that.
func TestSilentServersThatGoOnLeaveNoKVCache(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, enoughSlack, 2, 0)
	prefill := f.add("llm", runner.New("pre-0", "prefill"))
	Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(3))
	waits := []func() response{f.start(http.MethodPost, "/stream-again/1", "r0", splitPrompt...)}
	Eventually(func() int { return sum(decode, (*runner.BackendServer).InFlight) }).Should(Equal(1))
	Expect(prefill.Prefills()).To(HaveLen(1))
	first, second := busiestFirst(decode)[0], busiestFirst(decode)[1]
	silence(first, second)
	Eventually(second.Held).WithTimeout(3*time.Second).Should(Equal(1), "a second engine is tried")
	Expect(prefill.Prefills()).To(HaveLen(2))
	first.Resume()
	expectWholeStreams(waits, []string{"r0"})
	Eventually(prefill.Handles).Should(BeZero())
	second.Resume()
}
