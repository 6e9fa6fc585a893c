package gateway

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/retry"
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// holdRetries holds parts of the service's retry budget until they, and those that are
// spent, pay for the given number of extra attempts of the call. It reports whether they do.
// Once the budget does not allow that, the call fails. Otherwise the prompt would be
// assigned and prefilled again and again without ever being sent for generation.
func (c *call) holdRetries(kind attemptKind, extra int) bool {
	for c.heldRetries+c.spentRetries < extra {
		if !c.gateway.retryBudgets.hold(c.service.Name, kind) {
			c.retryBudgetSpent = true
			return false
		}
		c.heldRetries++
	}
	return true
}

// endArrival records the outcome of an attempt at a server that has ended with err or a
// response. If it was an extra one, the part that is held for it is spent. An attempt that
// ended before the server had answered counts as pending: it may arrive later.
func (c *call) endArrival(server backend.Server, kind retry.Kind, err error, prefillAccepted bool) {
	switch {
	case err != nil && verdict.Of(err).Unanswered:
		c.unanswered = append(c.unanswered, retry.Unanswered{Address: server.Address, EndedAt: time.Now()})
		c.trace.unanswered = append(c.trace.unanswered, server.ID)
		c.gateway.retryBudgets.countUnanswered(c.service.Name)
	case err != nil && verdict.Of(err).Verdict == verdict.NotRun:
		c.arrivals.End(kind, retry.NotSent)
	case prefillAccepted:
		c.arrivals.End(kind, retry.PrefillAccepted)
	default:
		c.arrivals.End(kind, retry.Arrived)
	}
	invariant.Check(c.heldRetries+c.spentRetries >= c.arrivals.Extra(), "extra-attempts-are-paid-for",
		"request %s has made %d extra attempts, %d parts of the retry budget are held and %d spent", c.id, c.arrivals.Extra(), c.heldRetries, c.spentRetries)
	c.spendRetries(c.arrivals.ExtraEnded())
}

func (c *call) spendRetries(extra int) {
	for ; c.spentRetries < extra; c.spentRetries++ {
		c.gateway.retryBudgets.spend(c.service.Name)
		c.heldRetries--
	}
}

// settleRetries gives back what is held at the end of the call for attempts that were not
// made. What is held for unanswered attempts stays so until they have arrived.
func (c *call) settleRetries() {
	c.arrivals.EndAll(len(c.unanswered))
	c.spendRetries(c.arrivals.ExtraEnded())
	late := c.arrivals.Extra() - c.spentRetries
	for ; c.heldRetries > late; c.heldRetries-- {
		c.gateway.retryBudgets.release(c.service.Name)
	}
	if late > 0 {
		c.gateway.retryBudgets.addTransit(c.service.Name, late, c.unanswered)
	}
}
