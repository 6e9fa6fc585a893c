package gateway

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/usage"
)

// SetUsage sets the counter of the requests of client accounts. It must be called before
// the gateway serves. Without it, requests are not counted.
func (g *Gateway) SetUsage(c *usage.Counter) { g.usage = c }

// countRun counts the request for its client account, once for all of its attempts. A
// request for a stream is counted at its first event, any other when it is sent.
func (c *call) countRun(now time.Time) {
	if c.gateway.usage == nil || c.request.Account == "" || c.counted {
		return
	}
	c.counted, c.usageMark = true, c.gateway.usage.Add(c.request.Account, now)
}

// uncountRun removes the request from the count because it has not run after all.
func (c *call) uncountRun() {
	if c.counted {
		c.counted = false
		c.gateway.usage.Remove(c.usageMark)
	}
}
