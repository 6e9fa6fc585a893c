package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/callerconn"
	"pistachioroad.dev/pistachioroad/internal/decide/shutdown"
	"pistachioroad.dev/pistachioroad/internal/graceful"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

const (
	// balancerLag is how long the load balancer may still send new connections after
	// readiness turns false: two health checks, one a second, and a margin.
	balancerLag = 2800 * time.Millisecond
	// exitMargin is the part of the grace period reserved for the process to exit. It also
	// covers the time until a process on a contended VM notices SIGTERM.
	exitMargin = 800 * time.Millisecond
	// finishTime is the part of exitMargin in which the other duties finish.
	finishTime = 250 * time.Millisecond
)

// shutDown turns readiness off and finishes the requests within the grace period.
func (g *Gateway) shutDown(listener net.Listener, served <-chan error, conns *callerconn.Conns) error {
	began := time.Now()
	exit := began.Add(g.deployment.Load().Bounds.GracePeriod - exitMargin)
	schedule := shutdown.New(began, exit.Add(-graceful.EndMargin), balancerLag)
	g.schedule.Store(&schedule)
	server := graceful.Server{Listener: listener, Served: served, Conns: conns, Requests: g.calls}
	server.LogStart()
	return server.ShutDown(schedule, exit)
}

// FinishBy returns when the other duties of a process that shuts down have to be finished, so
// that it ends within the grace period. It is zero without a shutdown.
func (g *Gateway) FinishBy() time.Time {
	schedule := g.schedule.Load()
	if schedule == nil {
		return time.Time{}
	}
	return schedule.End.Add(graceful.EndMargin + finishTime)
}

// shuttingDown reports whether the gateway is shutting down.
func (g *Gateway) shuttingDown() bool { return g.schedule.Load() != nil }

// acceptedByShutdown returns an error if the gateway is shutting down and the request may
// outlast the process.
func (c *call) acceptedByShutdown() *verdict.Error {
	schedule := c.gateway.schedule.Load()
	if schedule == nil {
		return nil
	}
	now := time.Now()
	expected := c.gateway.durations.Long(c.route.Name)
	if schedule.Accepts(now, shutdown.Request{Deadline: c.deadline, Expected: expected}) {
		return nil
	}
	c.trace.shutdownLeft, c.trace.expectedDuration = schedule.End.Sub(now), expected
	metrics.GetOrRegisterCounter("gateway.rejected_by_shutdown", nil).Inc(1)
	return verdict.NewRejection(verdict.CodeDraining, "the gateway is shutting down", minRetryAfter)
}

// checkShutdown rejects a request that the shutdown does not accept before its body is read, which
// takes time.
func (c *call) checkShutdown() bool {
	rejection := c.acceptedByShutdown()
	if rejection != nil {
		c.respondError(http.StatusServiceUnavailable, rejection)
	}
	return rejection == nil
}

// endedByShutdown reports whether the call has been ended because the process is about to end.
func (c *call) endedByShutdown() bool { return c.gateway.calls.Ended(c.listed) }
