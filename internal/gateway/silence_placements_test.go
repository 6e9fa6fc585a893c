package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// Guards against counting placements of requests that are not sent: a stream at a silent
// engine may not be sent again for lack of retry budget.
func TestSilentServersDoNotCountPlacementsThatAreNotSent(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, 0, 2, 0)
	silence(decode...)
	waits := f.startStreams("/stream-again/1", []string{"r0"})
	Eventually(func() int { return sum(decode, (*runner.BackendServer).Held) }).Should(Equal(1))
	time.Sleep(3 * time.Second)
	placements := f.gateway.EnginePlacements("llm")
	resume(decode...)
	expectWholeStreams(waits, []string{"r0"})
	Expect(placements).To(BeEquivalentTo(1), "one request, sent to one engine")
}
