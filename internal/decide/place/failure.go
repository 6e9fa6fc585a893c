package place

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
)

const (
	// failedAnswerCost is the cost of a request that fails for good, as an expected time. It
	// exceeds the time of the longest prefills, so that cached segments do not draw requests
	// to a failing engine, and lets them go there where they would else be rejected.
	failedAnswerCost = 5 * time.Second
	// repeatedAnswerCost is the cost of a failure after which the request is sent to another
	// engine: the time of the attempt and the work of both.
	repeatedAnswerCost = 1500 * time.Millisecond
)

// failureCost returns the cost of sending a job to an engine that fails more often than its
// peers.
//
// It guards against engines that answer errors while they look healthy: they are idle, so
// that the expected time to first token alone draws the most requests to them. A share of
// all requests, in place of a cost, would have the same fault, since an engine that takes one
// request in twenty of those of fifty engines takes more than its usual part.
func failureCost(j Job, e *engine) time.Duration {
	rate, failing := j.FailureRates[e.ID]
	if !failing {
		return 0
	}
	if j.Repeatable || e.Role == backend.Prefill {
		return scale(rate, repeatedAnswerCost)
	}
	return scale(rate, failedAnswerCost)
}
