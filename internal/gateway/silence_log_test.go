package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// requestLine is called with the fields of each request's log line.
var requestLine atomic.Pointer[func(log.Fields)]

// The handler is set before any goroutine logs.
func init() {
	next := log.Log.(*log.Logger).Handler
	log.SetHandler(log.HandlerFunc(func(line *log.Entry) error {
		if f := requestLine.Load(); f != nil && line.Message == "request" {
			(*f)(line.Fields)
		}
		return next.HandleLog(line)
	}))
}

// Guards against a request's log line that names an engine which has sent nothing: the
// silent one went on.
func TestSilentServersThatGoOnAreNamedInTheLog(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, enoughSlack, 2, 0)
	servers := make(chan any, 1)
	record := func(fields log.Fields) {
		if fields["request"] == "logged" {
			servers <- fields["server"]
		}
	}
	requestLine.Store(&record)
	defer requestLine.Store(nil)
	wait := f.start(http.MethodPost, "/stream-again/1", "logged", silencePrompt...)
	Eventually(func() int { return sum(decode, (*runner.BackendServer).InFlight) }).Should(Equal(1))
	first, second := busiestFirst(decode)[0], busiestFirst(decode)[1]
	silence(first, second)
	Eventually(second.Held).WithTimeout(3*time.Second).Should(Equal(1), "a second engine is tried")
	first.Resume()
	expectWholeStreams([]func() response{wait}, []string{"logged"})
	second.Resume()
	Expect(<-servers).To(Equal(first.ID))
}
