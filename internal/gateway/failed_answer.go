package gateway

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// isServerError reports whether a response says that the server itself failed.
func isServerError(reply *direct.Reply) bool { return reply.Status >= http.StatusInternalServerError }

// repeatsAfter reports whether the request is sent to another server instead of forwarding
// the response of this one: the server failed, the request may be repeated, the retry budget
// allows it and there is another server. Otherwise the caller gets the response unchanged,
// which says more than an error of the gateway.
func (c *call) repeatsAfter(server backend.Server, reply *direct.Reply) bool {
	if !isServerError(reply) || !c.mayRetry() {
		return false
	}
	another := lo.ContainsBy(c.answeringServers(), func(s backend.Server) bool {
		return s.ID != server.ID && !s.Draining && !c.excluded(s.ID)
	})
	if !another || !c.holdRetries(sendAttempt, c.arrivals.ExtraAfterSend()) {
		return false
	}
	metrics.GetOrRegisterCounter("gateway.failed_answers_repeated", nil).Inc(1)
	return true
}

// maxDiscardedBody limits how much of the body of a discarded response is read, so that its
// connection can be reused.
const maxDiscardedBody = 64 << 10

// discardAnswer drops a response and excludes its server, because the request is sent to
// another one. The body of an error is read, as its end shows that the server has not crashed.
// It returns false if that failed.
func (c *call) discardAnswer(server backend.Server, reply *direct.Reply) bool {
	c.exclude(server)
	if !isServerError(reply) {
		reply.Body.Close()
		return true
	}
	if err := reply.Discard(maxDiscardedBody); err != nil {
		c.trace.message = "discard error response: " + err.Error()
		c.breakAttempt(server)
		return false
	}
	c.finishAttempt(server)
	return true
}

// forwardError handles an error response of an engine: its bytes are no events, and the time
// to the first of them is no sample of the engine's speed. An engine that failed at once
// would otherwise look like the fastest one and attract the most requests.
func (c *call) forwardError(engine backend.Server, reply *direct.Reply) *verdict.Error {
	if c.repeatsAfter(engine, reply) {
		c.discardAnswer(engine, reply)
		return verdict.New(verdict.Ran, verdict.CodeBackendFailed, "the engine failed: "+http.StatusText(reply.Status))
	}
	c.countRun(time.Now())
	c.writeHead(reply)
	c.headSent = true
	if err := c.copyBody(reply.Body); err != nil {
		c.breakAnswer(engine)
		c.abort(c.interruption(), "response from the engine interrupted: "+err.Error())
	}
	c.finishAnswer(engine, reply)
	return nil
}
