package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// Guards against rejecting requests that a server has room for: lookups at a silent
// server, which may not be sent again for lack of retry budget, use up the limit that
// another server states.
func TestSilentServersDoNotUseUpTheLimitsOfOthers(t *testing.T) {
	f, _, desk := newSilenceFixture(t, 0, 0, 2)
	silent, other := desk[0], desk[1]
	other.SetLimit("3", runner.AllAnswers)
	silent.Silence()
	ids := requestIDs(8)
	var waits []func() response
	for _, id := range ids {
		waits = append(waits, f.start(http.MethodGet, "/read/1", id, "Deadline-Ms", patience))
	}
	Eventually(silent.Held).Should(BeNumerically(">=", 4))
	time.Sleep(time.Second)
	before := len(other.RequestTimes())
	for n := range 6 {
		time.Sleep(500 * time.Millisecond)
		f.send(http.MethodPost, "/hold/1", fmt.Sprintf("late%d", n), "Deadline-Ms", "400")
	}
	Expect(len(other.RequestTimes())-before).To(BeNumerically(">=", 6), "two requests a second at a server with a limit of three")
	silent.Resume()
	for _, wait := range waits {
		wait()
	}
}
