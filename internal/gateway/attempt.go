package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

const (
	// maxSends bounds the sends of one request, refused ones and those that only
	// have the prompt read included.
	maxSends = 6
	// leastLeft is the time below which a request is not sent any more: the
	// answer could not come back.
	leastLeft = 20 * time.Millisecond
)

// send makes one attempt at a server. It returns an answer that comes from a
// run, or the error of an attempt that gave none. The attempt is given up when
// ctx ends.
func (c *call) send(ctx context.Context, server backend.Server, o request.Options) (*direct.Reply, *verdict.Error) {
	if c.sends > 0 && !c.spendExtra() {
		return nil, c.overBudget()
	}
	invariant.Check(c.verdict == verdict.NotRun || c.route.Repeatable(), "runs-at-most-once",
		"request %s of route %s is sent again after %s", c.id, c.route.Name, c.verdict)
	c.sends++
	o.Server = server
	o.Remaining = c.left()
	c.trace.server = server.ID
	c.sentAt = time.Now()
	reply, err := c.gateway.transport.Send(ctx, &c.request, o)
	if err != nil {
		e := verdict.Of(err)
		if e.Verdict != verdict.NotRun {
			c.runBroke(server)
		}
		c.note(server, e.Verdict)
		return nil, e
	}
	if reply.NotRun {
		reply.Body.Close()
		c.note(server, verdict.NotRun)
		return nil, verdict.NewRejection(verdict.CodeOverloaded, "the backend server did not run it", leastRetry)
	}
	if e := unusable(reply); e != nil {
		reply.Body.Close()
		c.note(server, verdict.MayHaveRun)
		return nil, e
	}
	c.verdict = verdict.Ran
	c.ran++
	return reply, nil
}

// spendExtra reports whether one more send is within the service's budget. Once
// one is not, the call is over: to go on would place and prefill the prompt
// again and again without ever sending it.
func (c *call) spendExtra() bool {
	if !c.gateway.allowExtra(c.service.Name, time.Now()) {
		c.exhausted = true
	}
	return !c.exhausted
}

func (c *call) overBudget() *verdict.Error {
	return verdict.NewRejection(verdict.CodeOverloaded, "the budget for repeated sends is used up", unknownRetry)
}

// note takes the outcome of an attempt that gave no answer.
func (c *call) note(server backend.Server, v verdict.Verdict) {
	c.verdict = verdict.Worst(c.verdict, v)
	if v != verdict.NotRun {
		c.ran++
	}
	c.exclude(server)
}

// exclude keeps a server from being tried again for this call.
func (c *call) exclude(server backend.Server) {
	if c.refusedBy == nil {
		c.refusedBy = make(map[string]bool)
	}
	c.refusedBy[server.ID] = true
}

// excluded reports whether the request is not to go to a server now: it was refused or
// failed there, or the server's own limit leaves no room for it. A request under suspicion
// does not go to a server in need at all.
func (c *call) excluded(server string) bool {
	if c.refusedBy[server] {
		return true
	}
	limits := c.gateway.limits
	if limits.allows(server) && !(c.standing.Suspected() && limits.has(server)) {
		return false
	}
	if c.limitedBy == nil {
		c.limitedBy = make(map[string]bool)
	}
	c.limitedBy[server] = true
	return true
}

// noServer is the outcome of a request that no server may get now. If that is for their
// limits, its caller may come back when the first of them has room.
func (c *call) noServer(message string) *verdict.Error {
	if len(c.limitedBy) == 0 {
		return verdict.NewRejection(verdict.CodeNoBackend, message, unknownRetry)
	}
	wait := c.gateway.limits.wait(lo.Keys(c.limitedBy))
	return verdict.NewRejection(verdict.CodeServerLimit, message+" that is not over its own limit", min(wait, max(leastRetry, place.MaxRetryAfter(c.left()))))
}

// unusable tells why an answer cannot be passed on: a success without the
// server's authentication code is not the server's, and a status that promises
// "not run" may not be passed on without that promise.
func unusable(reply *direct.Reply) *verdict.Error {
	switch {
	case reply.Status < http.StatusMultipleChoices && !reply.Sealed:
		return verdict.New(verdict.MayHaveRun, verdict.CodeAnswerBroken, "success without an authentication code")
	case promisesNotRun(reply.Status):
		return verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "status promises what the server does not")
	default:
		return nil
	}
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// mayRepeat reports whether the request may go to another server now.
func (c *call) mayRepeat() bool {
	if c.exhausted || c.sends+c.prefills >= maxSends || c.left() < leastLeft || c.ctx.Err() != nil {
		return false
	}
	if c.examine() != nil {
		return false
	}
	if c.verdict == verdict.NotRun {
		return true
	}
	return c.route.Repeatable() && c.ran < c.route.MaxAttempts
}
