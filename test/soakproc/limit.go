package soakproc

import (
	"math/rand/v2"
	"strconv"
	"time"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

const (
	// limitPerSecond is the rate limit that servers send, in requests per second.
	limitPerSecond = 2.0
	// A limited server may get limitTolerance times its limit plus limitBurst
	// requests in any limitWindow, the time over which operators count them.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitBurst     = 5
)

// serverLimitFault makes a server send a random rate limit in some of its answers.
func serverLimitFault(on runner.LimitScope) func(*environment, *rand.Rand) func() {
	return func(env *environment, r *rand.Rand) func() {
		s := env.randomServer(r)
		s.SetLimit(strconv.FormatFloat(limitPerSecond*r.Float64(), 'f', 1, 64), on)
		return func() { s.SetLimit("", on) }
	}
}

// setLimits makes one prefill engine and one plain server send a rate limit for the
// rest of the run. The returned function checks the requests that they got.
func (env *environment) setLimits(l *requestLog) (check func()) {
	var limited []*server
	for _, s := range []*server{env.servers[0], env.servers[len(env.servers)-2]} {
		s.SetLimit(strconv.FormatFloat(limitPerSecond, 'f', 1, 64), runner.AllAnswers)
		limited = append(limited, s)
	}
	from := time.Now().Add(contact)
	allowed := int(limitTolerance*limitPerSecond*limitWindow.Seconds()) + limitBurst
	return func() {
		for _, s := range limited {
			if got := maxInWindow(limitWindow, s.RequestTimes(), from); got > allowed {
				l.addViolation("%s, limited to %v requests per second, got %d in %v, at most %d are allowed", s.ID, limitPerSecond, got, limitWindow, allowed)
			}
		}
	}
}

// maxInWindow returns the highest number of times within any window of the given
// length, ignoring times before from. The times are sorted.
func maxInWindow(window time.Duration, times []time.Time, from time.Time) int {
	highest, first := 0, 0
	for i, t := range times {
		for first < i && (times[first].Before(from) || t.Sub(times[first]) >= window) {
			first++
		}
		if !times[first].Before(from) {
			highest = max(highest, i-first+1)
		}
	}
	return highest
}
