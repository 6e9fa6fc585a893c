package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/quarantine"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// Guards against a request that crashes the servers that run it: under suspicion, it is
// at one server at a time, also while that one is silent.
func TestSilentServersDoNotSpreadSuspectedRequests(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, enoughSlack, 3, 0)
	suspect := request.Request{Method: http.MethodPost, Host: "h.example", Target: "/stream-again/1", Caller: "127.0.0.1"}
	now := time.Now()
	f.gateway.RemoteTermination(quarantine.Evidence{
		Request: suspect.Fingerprint(), Instance: backend.Instance{ID: "gone", Incarnation: 1},
		SentAt: now.Add(-2 * time.Second), ObservedAt: now.Add(-time.Second),
	})
	silence(decode...)
	waits := f.startStreams("/stream-again/1", []string{"r0"})
	Eventually(func() int { return sum(decode, (*runner.BackendServer).Held) }).Should(Equal(1))
	Consistently(func() int { return sum(decode, (*runner.BackendServer).Held) }).WithTimeout(2*time.Second).Should(Equal(1), "at one engine at a time")
	resume(decode...)
	expectWholeStreams(waits, []string{"r0"})
}
