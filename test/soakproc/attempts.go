package soakproc

import "time"

const (
	// lateArrival is the time after which an arrival of a request that has arrived before counts
	// as late, and by which a deadline may exceed the caller's.
	lateArrival = 500 * time.Millisecond
	// maxBeyondAttempts is how many requests may run at more servers than their routes allow.
	maxBeyondAttempts = 3
)

// maxAttempts are those of the routes by kind of request.
var maxAttempts = map[string]int{"read": 2, "again": 2, "once": 1, "hold": 1, "version": 2}

// beyondAttempts returns the requests that ran at more servers than their routes allow.
func (env *environment) beyondAttempts(l *requestLog) (ids []string) {
	runs := map[string]int{}
	for _, s := range env.servers {
		for _, run := range s.Runs() {
			runs[run.ID]++
		}
	}
	for id, n := range runs {
		if allowed, ok := maxAttempts[l.sent[id].kind]; ok && n > allowed {
			ids = append(ids, id)
		}
	}
	return ids
}

// checkAttempts checks that no more than a few requests ran at more servers than their routes
// allow.
func (env *environment) checkAttempts(l *requestLog) {
	if ids := env.beyondAttempts(l); len(ids) > maxBeyondAttempts {
		l.addViolation("%d requests ran at more servers than their routes allow: %v", len(ids), ids)
	}
}

// checkHandedTime checks that servers are handed no more time than the callers have given.
func (env *environment) checkHandedTime(l *requestLog) {
	for _, service := range []string{plainService, modelService} {
		for _, a := range env.arrivals(service) {
			if a.deadline <= 0 || a.deadline > callerTimeout+lateArrival {
				l.addViolation("%s got %s with a deadline of %v, its caller has %v", service, a.id, a.deadline, callerTimeout)
				return
			}
		}
	}
}

// lateDeadlines returns how many requests arrived again over lateArrival after their first
// arrival, and how many of these with a deadline over lateArrival after the caller's. A link
// that holds bytes back makes both, as the deadline is relative to the arrival.
func (env *environment) lateDeadlines(l *requestLog) (past, all int) {
	for _, service := range []string{plainService, modelService} {
		first := map[string]time.Time{}
		for _, a := range env.arrivals(service) {
			begun, again := first[a.id]
			if !again {
				first[a.id] = a.at
				continue
			}
			if a.at.Sub(begun) <= lateArrival {
				continue
			}
			all++
			if ends := a.at.Add(a.deadline); ends.Sub(l.outcomes[a.id].sent.Add(callerTimeout)) > lateArrival {
				past++
			}
		}
	}
	return past, all
}
