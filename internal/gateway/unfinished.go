package gateway

import (
	"net/http"
	"slices"
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/safego"
)

// attemptEnd is how an attempt ended whose server may have been running the request.
type attemptEnd string

const (
	// broken attempts failed while their answer was awaited.
	broken attemptEnd = "broken"
	// canceled attempts were given up by this gateway: the caller left, the deadline passed
	// or another attempt won.
	canceled attemptEnd = "canceled"
	// unframed answers ended with their connection, which a crash ends in the same way.
	unframed attemptEnd = "unframed"
)

// openAttempt is an attempt whose server may be running the request.
type openAttempt struct {
	server backend.Server
	stage  request.Stage
	sentAt time.Time
}

// beginOpen records that the request is about to be sent to a server.
func (c *call) beginOpen(server backend.Server, stage request.Stage) {
	c.open = append(c.open, openAttempt{server: server, stage: stage, sentAt: time.Now()})
}

// takeOpen removes the latest open attempt at a server. It returns false if there is none.
func (c *call) takeOpen(server backend.Server) (openAttempt, bool) {
	for i, a := range slices.Backward(c.open) {
		if a.server.Instance() == server.Instance() {
			c.open = slices.Delete(c.open, i, i+1)
			return a, true
		}
	}
	return openAttempt{}, false
}

// finishAttempt records that an attempt at a server was rejected or answered completely.
func (c *call) finishAttempt(server backend.Server) { c.takeOpen(server) }

// finishAnswer records that the answer of a server has been read to its end.
func (c *call) finishAnswer(server backend.Server, reply *direct.Reply) {
	if !isServerError(reply) {
		c.gateway.health.Observe(time.Now(), server.ID, false)
	}
	if reply.Unframed {
		c.leaveAttemptAs(server, unframed, completes(reply))
		return
	}
	c.finishAttempt(server)
	if completes(reply) {
		c.clearSuspicion()
	}
	c.completeSegments(reply)
}

// completes reports whether a whole answer shows that the request ran to completion. A server
// may reject a request with an error of the caller without running it.
func completes(reply *direct.Reply) bool { return reply.Status < http.StatusBadRequest }

// leaveAttempt records that an attempt at a server ended while the server may have been
// running the request.
func (c *call) leaveAttempt(server backend.Server, end attemptEnd) {
	c.leaveAttemptAs(server, end, false)
}

// leaveAttemptAs is leaveAttempt. success says that the answer is complete unless the server has
// crashed.
func (c *call) leaveAttemptAs(server backend.Server, end attemptEnd, success bool) {
	a, open := c.takeOpen(server)
	if !open {
		return
	}
	c.trace.unfinished = append(c.trace.unfinished, server.ID+":"+string(end))
	ended := endedAttempt{request: c.fingerprint(), sentAt: a.sentAt, endedAt: time.Now(), end: end, success: success}
	if a.stage == request.FullRequest {
		ended.segments = c.sharedSegments()
	}
	if watch := c.gateway.watches.add(server, ended); watch != nil {
		safego.Go("watch of a server", func() { c.gateway.watchServer(watch) })
	}
}

// breakAttempt records that an attempt at a server failed while the server may have been
// running the request. If the request was given up, that is no fault of the server.
func (c *call) breakAttempt(server backend.Server) {
	if c.ctx.Err() != nil {
		c.leaveAttempt(server, canceled)
		return
	}
	c.leaveAttempt(server, broken)
}

// leaveOpenAttempts records at the end of the call that its other attempts are given up.
func (c *call) leaveOpenAttempts() {
	for len(c.open) > 0 {
		c.leaveAttempt(c.open[0].server, canceled)
	}
}
