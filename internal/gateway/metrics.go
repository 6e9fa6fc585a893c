package gateway

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
)

// observe counts a request that has ended.
func (g *Gateway) observe(c *call) {
	metrics.GetOrRegisterCounter("gateway.requests.status_"+strconv.Itoa(c.trace.status), nil).Inc(1)
	if c.trace.aborted {
		metrics.GetOrRegisterCounter("gateway.requests.aborted", nil).Inc(1)
	}
	if c.trace.code != "" {
		metrics.GetOrRegisterCounter("gateway.errors."+string(c.trace.code), nil).Inc(1)
	}
	kind := c.route.Kind.String()
	metrics.GetOrRegisterTimer("gateway.total."+kind, nil).Update(time.Since(c.received))
	if c.trace.first > 0 {
		metrics.GetOrRegisterTimer("gateway.first_byte."+kind, nil).Update(c.trace.first)
	}
	if expected := c.trace.plan.ExpectedTTFT(); expected > 0 && c.trace.first > 0 {
		off := c.trace.first - c.trace.placed - expected
		metrics.GetOrRegisterTimer("gateway.expected_off."+kind, nil).Update(max(off, -off))
	}
	if c.standing.Quarantined {
		metrics.GetOrRegisterCounter("gateway.requests_quarantined", nil).Inc(1)
	}
	if len(c.limitedBy) > 0 {
		metrics.GetOrRegisterCounter("gateway.requests_limited", nil).Inc(1)
	}
	if c.trace.bySize {
		metrics.GetOrRegisterCounter("gateway.admitted_by_size", nil).Inc(1)
	}
	if c.sends > 1 {
		metrics.GetOrRegisterCounter("gateway.repeated_sends", nil).Inc(int64(c.sends - 1))
	}
}
