package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// recordMetrics updates the metrics for a finished request.
func (g *Gateway) recordMetrics(c *call) {
	metrics.GetOrRegisterCounter("gateway.requests.status_"+strconv.Itoa(c.trace.status), nil).Inc(1)
	if c.trace.ending != "" {
		metrics.GetOrRegisterCounter("gateway.requests.aborted", nil).Inc(1)
		c.trace.ending.count()
	}
	if c.trace.code != "" {
		metrics.GetOrRegisterCounter("gateway.errors."+string(c.trace.code), nil).Inc(1)
	}
	if c.showsDuration() {
		g.durations.Observe(c.route.Name, time.Since(c.received))
	}
	kind := c.route.Kind.String()
	metrics.GetOrRegisterTimer("gateway.total."+kind, nil).Update(time.Since(c.received))
	if c.trace.firstByte > 0 {
		metrics.GetOrRegisterTimer("gateway.first_byte."+kind, nil).Update(c.trace.firstByte)
	}
	if expected := c.trace.plan.ExpectedTTFT(); expected > 0 && c.trace.firstByte > 0 {
		deviation := c.trace.firstByte - c.trace.plannedAfter - expected
		metrics.GetOrRegisterTimer("gateway.expected_off."+kind, nil).Update(max(deviation, -deviation))
	}
	if c.quarantineStatus.Quarantined {
		metrics.GetOrRegisterCounter("gateway.requests_quarantined", nil).Inc(1)
	}
	c.countSkipped()
	c.countMemoryShortage()
	c.countStream()
	if c.trace.bySize {
		metrics.GetOrRegisterCounter("gateway.admitted_by_size", nil).Inc(1)
	}
	if crossings := c.trace.plan.Crossings; crossings > 0 {
		metrics.GetOrRegisterCounter("gateway.plans_crossing", nil).Inc(1)
	}
	if c.trace.code == verdict.CodeAccountLimit {
		metrics.GetOrRegisterCounter("gateway.refused_over_share", nil).Inc(1)
	}
	if c.attempts > 1 {
		metrics.GetOrRegisterCounter("gateway.repeated_sends", nil).Inc(int64(c.attempts - 1))
	}
}

// showsDuration reports whether the time until the request ended shows how long requests of its
// route take: a server has answered it, or it took all of its time. Failures and rejections come
// sooner than answers.
func (c *call) showsDuration() bool {
	if c.attempts == 0 || c.trace.ending == callerLeft {
		return false
	}
	answered := c.verdict == verdict.Ran && c.trace.ending == "" && c.trace.status < http.StatusInternalServerError
	return answered || c.remaining() <= 0
}
