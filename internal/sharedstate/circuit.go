package sharedstate

import (
	"math/rand/v2"
	"time"

	"pistachioroad.dev/pistachioroad/internal/pause"
)

// The thresholds of the circuit breaker.
const (
	// failuresToOpen is how many consecutive calls must fail before the circuit opens.
	// One or two lost connections are not an outage.
	failuresToOpen = 3
	// minPause and maxPause bound the time between two probes during an outage.
	minPause = 200 * time.Millisecond
	maxPause = 1500 * time.Millisecond
)

// circuitBreaker rejects calls while the platform is down, except for one probe per
// pause.
type circuitBreaker struct {
	random  *rand.Rand
	backoff pause.Backoff

	failures   int
	probing    bool
	retryAt    time.Time
	up         bool
	since      time.Time
	lastAnswer time.Time
}

func newCircuitBreaker(now time.Time, random *rand.Rand) *circuitBreaker {
	return &circuitBreaker{
		random:  random,
		backoff: pause.Backoff{Initial: minPause, Max: maxPause},
		up:      true,
		since:   now,
	}
}

// allow reports whether a call may be made now.
func (c *circuitBreaker) allow(now time.Time) bool {
	if c.closed() {
		return true
	}
	if c.probing || now.Before(c.retryAt) {
		return false
	}
	c.probing = true
	return true
}

// allowWatch reports whether a watch may be made now. A watch is never a probe: it would
// wait for a change, prove nothing if it ended without one, and block every other call
// meanwhile, so that the platform would look down long after it has recovered.
func (c *circuitBreaker) allowWatch(time.Time) bool { return c.closed() }

// closed reports whether all calls are allowed.
func (c *circuitBreaker) closed() bool { return c.failures < failuresToOpen }

// abandonProbe ends a call that showed nothing about the platform, so that another one
// can be the probe.
func (c *circuitBreaker) abandonProbe() { c.probing = false }

func (c *circuitBreaker) succeeded(now time.Time) {
	c.probing = false
	c.failures = 0
	c.backoff.Reset()
	c.lastAnswer = now
	c.setUp(now, true)
}

func (c *circuitBreaker) failed(now time.Time) {
	c.probing = false
	c.failures++
	if c.failures < failuresToOpen {
		return
	}
	c.retryAt = now.Add(c.backoff.Next(c.random))
	c.setUp(now, false)
}

func (c *circuitBreaker) setUp(now time.Time, up bool) {
	if c.up != up {
		c.up = up
		c.since = now
	}
}

func (c *circuitBreaker) health() Health {
	return Health{Up: c.up, Since: c.since, LastAnswer: c.lastAnswer, RetryAt: c.retryAt}
}
