package gateway

import (
	"context"
	"net/http"
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/retry"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

const (
	// maxAttempts limits the attempts of one request, including rejected ones and
	// those that request only a prefill.
	maxAttempts = 6
	// minRemaining is the remaining time below which a request is no longer sent,
	// because the response could not arrive in time.
	minRemaining = 20 * time.Millisecond
)

// send makes one attempt at a server. It returns the response if the server ran
// the request, and an error otherwise. The attempt is canceled when ctx is done.
//
// With a hedge, another server is tried as well if this one is silent. If that one
// begins to answer first, send returns its attempt instead.
func (c *call) send(ctx context.Context, server backend.Server, o request.Options, h *hedge) (*direct.Reply, *hedgedAttempt, *verdict.Error) {
	if e := c.beginAttempt(server, &o); e != nil {
		return nil, nil, e
	}
	var reply *direct.Reply
	var err error
	c.pendingRuns++
	other := h.wait(func() bool {
		reply, err = c.gateway.transport.Send(ctx, &c.request, o)
		return err == nil && !reply.NotRun && reply.Status < http.StatusInternalServerError
	})
	c.pendingRuns--
	c.endArrival(server, retry.Send, err, false)
	if other != nil {
		if reply != nil {
			reply.Body.Close()
		}
		c.leaveAttempt(server, canceled)
		c.recordFailure(server, verdict.MayHaveRun)
		return nil, other, nil
	}
	reply, failed := c.endAttempt(ctx, server, reply, err)
	return reply, nil, failed
}

// beginAttempt counts an attempt at a server and sets its options. It returns an error
// if the server wants no request now or the retry budget does not allow it.
func (c *call) beginAttempt(server backend.Server, o *request.Options) *verdict.Error {
	if e := c.checkBeforeSend(server); e != nil {
		return e
	}
	if e := c.checkVersion(server); e != nil {
		return e
	}
	if !c.holdRetries(sendAttempt, c.arrivals.ExtraAfterSend()) {
		return c.retryBudgetError()
	}
	invariant.Check(c.verdict == verdict.NotRun || c.route.Repeatable(), "runs-at-most-once",
		"request %s of route %s is sent again after %s", c.id, c.route.Name, c.verdict)
	c.attempts++
	c.arrivals.Begin(retry.Send)
	o.Server = server
	o.Remaining = c.remaining()
	c.trace.server = server.ID
	c.listSend(server)
	c.beginOpen(server, request.FullRequest)
	if !c.usesEngines() {
		c.countRun(time.Now())
	}
	return nil
}

// endAttempt records the outcome of an attempt. It returns the response if the server
// ran the request, and an error otherwise.
func (c *call) endAttempt(ctx context.Context, server backend.Server, reply *direct.Reply, err error) (*direct.Reply, *verdict.Error) {
	if err != nil {
		e := verdict.Of(err)
		switch {
		case e.Verdict == verdict.NotRun:
			c.finishAttempt(server)
		case ctx.Err() == nil:
			c.observeUnanswered(server, e)
			c.breakAttempt(server)
		default:
			c.leaveAttempt(server, canceled)
		}
		c.recordFailure(server, e.Verdict)
		return nil, e
	}
	if reply.NotRun {
		reply.Body.Close()
		c.finishAttempt(server)
		c.recordFailure(server, verdict.NotRun)
		return nil, verdict.NewRejection(verdict.CodeOverloaded, "the backend server did not run it", minRetryAfter)
	}
	if e := checkReply(reply); e != nil {
		reply.Body.Close()
		c.observeFailure(server)
		c.recordFailure(server, verdict.MayHaveRun)
		return nil, e
	}
	if isServerError(reply) {
		c.observeFailure(server)
	}
	c.trace.server = server.ID
	c.trace.unframed = c.trace.unframed || reply.Unframed
	c.verdict = verdict.Ran
	c.possibleRuns++
	return reply, nil
}

func (c *call) retryBudgetError() *verdict.Error {
	return verdict.NewRejection(verdict.CodeOverloaded, "the budget for repeated sends is used up", defaultRetryAfter)
}

// recordFailure records the verdict of an attempt without a usable response and
// excludes the server.
func (c *call) recordFailure(server backend.Server, v verdict.Verdict) {
	c.verdict = verdict.Worst(c.verdict, v)
	if v != verdict.NotRun {
		c.possibleRuns++
	}
	if c.verdict == verdict.NotRun && c.pendingRuns == 0 {
		c.uncountRun()
	}
	c.exclude(server)
}

// exclude prevents a server from being tried again for this request.
func (c *call) exclude(server backend.Server) {
	if c.excludedServers == nil {
		c.excludedServers = make(map[string]bool)
	}
	c.excludedServers[server.ID] = true
}

// checkReply returns an error if a response must not be forwarded. A success
// without the server's authentication code may not be from the server, and a status
// that promises "not run" is only forwarded if the server makes that promise.
func checkReply(reply *direct.Reply) *verdict.Error {
	switch {
	case reply.Status < http.StatusMultipleChoices && !reply.Sealed:
		return verdict.New(verdict.MayHaveRun, verdict.CodeAnswerBroken, "success without an authentication code")
	case promisesNotRun(reply.Status):
		return verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "status promises what the server does not")
	default:
		return nil
	}
}

// promisesNotRun reports whether callers take a status as a promise that the
// request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// mayRetry reports whether the request may be sent to another server now.
func (c *call) mayRetry() bool {
	if c.retryBudgetSpent || c.attempts+c.prefillAttempts >= maxAttempts || c.remaining() < minRemaining || c.ctx.Err() != nil {
		return false
	}
	if c.checkQuarantine() != nil {
		return false
	}
	if c.verdict == verdict.NotRun {
		return true
	}
	return c.route.Repeatable() && c.possibleRuns < c.route.MaxAttempts
}

// listSend records an attempt at a server in the list of open requests.
func (c *call) listSend(server backend.Server) {
	c.gateway.calls.Update(func() {
		c.listed.Sends++
		c.listed.Server = server.ID
	})
}
