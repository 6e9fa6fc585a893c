package gateway

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/serverhealth"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// observeFailure records that a server failed an attempt: it answered an error though it ran
// the request, or its answer broke off or was not its own.
func (c *call) observeFailure(server backend.Server) {
	c.gateway.health.Observe(time.Now(), server.ID, true)
}

// observeUnanswered records that the connection of an attempt ended before an answer.
func (c *call) observeUnanswered(server backend.Server, e *verdict.Error) {
	if e.Garbled {
		c.observeFailure(server)
		return
	}
	c.gateway.health.ObserveUnanswered(time.Now(), server.ID)
}

// breakAnswer is breakAttempt for an attempt whose server had begun to answer.
func (c *call) breakAnswer(server backend.Server) {
	if c.ctx.Err() == nil {
		c.observeFailure(server)
	}
	c.breakAttempt(server)
}

// failureRates returns the servers that fail more often than their peers, for the next
// attempt of the request.
func (c *call) failureRates() map[string]float64 {
	return c.gateway.health.FailureRates(time.Now(), c.service.Name, c.mayRepeat())
}

// mayRepeat reports whether the request may be sent to another server if its next attempt
// fails.
func (c *call) mayRepeat() bool {
	return c.route.Repeatable() && c.possibleRuns+c.pendingRuns+1 < c.route.MaxAttempts && !c.retryBudgetSpent
}

// RemoteOutcome records outcomes of attempts that another gateway announced.
func (g *Gateway) RemoteOutcome(o serverhealth.Outcome) { g.health.Remote(time.Now(), o) }
