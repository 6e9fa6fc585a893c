package gateway

import (
	"context"
	"errors"

	"github.com/rcrowley/go-metrics"
)

// ending is why a request ended without a whole answer. It is empty for an answered request.
type ending string

const (
	// callerLeft: the caller's connection was closed or could no longer be read.
	callerLeft ending = "caller_left"
	// callerUnreachable: the answer could not be written to the caller.
	callerUnreachable ending = "caller_unreachable"
	// callerSlow: the caller read the answer too slowly.
	callerSlow ending = "caller_slow"
	// deadlinePassed: the deadline passed while the answer was being forwarded.
	deadlinePassed ending = "deadline"
	// serverBroke: the backend server broke its answer off.
	serverBroke ending = "server_broke"
	// notContinued: a stream was broken off and no other engine could go on with it.
	notContinued ending = "not_continued"
	// panicked: handling the request panicked.
	panicked ending = "panic"
	// processEnd: the process ended before the request did.
	processEnd ending = "process_end"
)

// count counts a request that ended without a whole answer.
func (e ending) count() {
	metrics.GetOrRegisterCounter("gateway.requests.unanswered."+string(e), nil).Inc(1)
}

// interruption returns why the answer of a backend server could not be read to its end.
func (c *call) interruption() ending {
	switch {
	case c.callerCtx.Err() != nil:
		return callerLeft
	case c.endedByShutdown():
		return processEnd
	case errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		return deadlinePassed
	default:
		return serverBroke
	}
}

// streamInterruption returns why a stream that other engines may continue was not continued.
func (c *call) streamInterruption() ending {
	if e := c.interruption(); e != serverBroke {
		return e
	}
	return notContinued
}
