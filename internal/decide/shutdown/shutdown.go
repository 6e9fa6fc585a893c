// Package shutdown decides which requests a process that is shutting down still accepts.
package shutdown

import "time"

// Schedule is the course of a graceful shutdown.
type Schedule struct {
	// BalancedUntil is until when the load balancer may send new connections, because it
	// has not noticed the shutdown. A rejected request may come back until then.
	BalancedUntil time.Time
	// End is when the requests that are still open are ended.
	End time.Time
}

// New returns the schedule of a shutdown that begins now and whose requests end at the given
// time. The load balancer notices it within lag. If that leaves less than half of the time for
// what arrives last, the process stops listening earlier.
func New(now, end time.Time, lag time.Duration) Schedule {
	return Schedule{BalancedUntil: now.Add(max(0, min(lag, end.Sub(now)/2))), End: end}
}

// Request is what is known of a request before it is passed on to a backend server.
type Request struct {
	// Deadline is when the request ends at the latest.
	Deadline time.Time
	// Expected is how long such requests take at most, but for a few; 0 if unknown.
	Expected time.Duration
}

// Accepts reports whether a request is passed on now. Otherwise it is to be rejected as not run,
// so that its caller can try another VM while there is time.
//
// A request that ends before the process does is accepted. After the load balancer has noticed
// the shutdown, that must be certain: a rejected request reaches another VM. Before, a rejected
// request may come back, so that it is accepted if it is likely to end in time.
func (s Schedule) Accepts(now time.Time, r Request) bool {
	if !r.Deadline.After(s.End) {
		return true
	}
	return now.Before(s.BalancedUntil) && !now.Add(r.Expected).After(s.End)
}
