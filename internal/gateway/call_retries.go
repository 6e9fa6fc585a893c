package gateway

import (
	"pistachioroad.dev/pistachioroad/internal/boottime"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// reserveRetries spends parts of the service's retry budget until they pay for the given
// number of extra attempts of the call. It reports whether they do. Once the budget does not
// allow that, the call fails. Otherwise the prompt would be assigned and prefilled again and
// again without ever being sent for generation.
func (c *call) reserveRetries(kind attemptKind, extra int) bool {
	for len(c.charges) < extra {
		d := c.gateway.retryBudgets.spend(c.service.Name, kind, boottime.Now())
		if !d.Allowed {
			c.retryBudgetSpent = true
			return false
		}
		c.charges = append(c.charges, d.Charge)
	}
	return true
}

// uncountUnsent takes back the attempt that has just ended with err if nothing was sent.
func (c *call) uncountUnsent(err error) {
	if err != nil && verdict.Of(err).Verdict == verdict.NotRun {
		c.arrivals.NotSent()
	}
}

// refundUnusedRetries takes back what was spent for attempts that were not made.
func (c *call) refundUnusedRetries() {
	extra := c.arrivals.Extra()
	for len(c.charges) > extra {
		last := len(c.charges) - 1
		c.gateway.retryBudgets.refund(c.service.Name, c.charges[last])
		c.charges = c.charges[:last]
	}
}
