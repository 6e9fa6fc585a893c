package gateway

import (
	"net/http"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/callerconn"
	"pistachioroad.dev/pistachioroad/internal/safego"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// recoverPanic answers a request whose handling panicked. If the answer has begun, it aborts
// the caller's connection. It must be deferred.
func (c *call) recoverPanic(caller *callerconn.Writer) {
	p := recover()
	if p == nil {
		return
	}
	if p == http.ErrAbortHandler {
		panic(p)
	}
	metrics.GetOrRegisterCounter("gateway.requests.panics", nil).Inc(1)
	c.trace.panicked = true
	safego.Log(p, log.Fields{"request": c.id, "route": c.route.Name, "sends": c.attempts, "server": c.trace.server})
	if c.answered {
		return
	}
	if caller.HeadSent() {
		c.abort(panicked, "panic while the request was answered")
	}
	c.respondPanic()
	c.answered = true
}

// respondPanic responds to a request whose handling panicked. The outcome of its attempts may
// not have been recorded.
func (c *call) respondPanic() {
	if c.attempts > 0 {
		c.verdict = verdict.Worst(c.verdict, verdict.MayHaveRun)
	}
	// The head may be partly that of a server's response.
	clear(c.writer.Header())
	c.writer.Header().Set("Connection", "close")
	status, e := http.StatusServiceUnavailable, verdict.NewRejection(verdict.CodeInternal, "internal fault", defaultRetryAfter)
	if c.verdict != verdict.NotRun {
		status, e = http.StatusBadGateway, verdict.New(c.verdict, verdict.CodeInternal, "internal fault")
	}
	c.respondError(status, e)
}
