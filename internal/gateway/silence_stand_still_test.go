package gateway_test

import (
	"os"
	"os/exec"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

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
