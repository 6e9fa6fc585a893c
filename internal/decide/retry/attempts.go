package retry

import "time"

// windowBuckets is the number of buckets into which the window of an AttemptLimiter is
// divided. One more is kept, so that any span of the length of the window is covered.
const windowBuckets = 20

// AttemptLimit is the load that the backend servers of a service tolerate beyond the first
// attempt of each request, from all gateways together.
type AttemptLimit struct {
	// Share is the allowed number of extra attempts per request, Slack the number allowed in
	// addition, within each Window.
	Share, Slack float64
	Window       time.Duration
}

// AttemptLimiter counts the requests for one service and the attempts beyond the first of
// each, and limits the latter. Its times are those of a clock that is never set and that
// includes suspended time: a step of the time of day would empty the window. Like Budget it guards against retry storms, for services
// whose operators limit attempts instead of work. Each gateway may use the share of its own
// requests and an equal fraction of the slack, so it need not know how many attempts the
// others make.
type AttemptLimiter struct {
	limit AttemptLimit
	// startedAt is when the process started, and restarted says that an earlier one may
	// have made attempts before.
	startedAt time.Duration
	restarted bool
	buckets   [windowBuckets + 1]windowBucket
	held      float64
}

type windowBucket struct {
	index           int64
	requests, extra float64
}

// restartedSlack is the fraction of the slack that a process may use within a window after
// its restart, since the attempts of the process before it are unknown.
const restartedSlack = 0.1

// NewAttemptLimiter returns an AttemptLimiter for the limit. startedAt is when the process
// started, and restarted says that it is not the first start of the system.
func NewAttemptLimiter(limit AttemptLimit, startedAt time.Duration, restarted bool) *AttemptLimiter {
	return &AttemptLimiter{limit: limit, startedAt: startedAt, restarted: restarted}
}

// CountRequest counts a request.
func (l *AttemptLimiter) CountRequest(now time.Duration) { l.bucket(now).requests++ }

// Decision is whether one more extra attempt is allowed, and the inputs of the decision.
type Decision struct {
	Allowed bool
	// Requests and Extra are the requests and the extra attempts within the window before
	// it, Held are the attempts for which a part is held, and Slack is this gateway's part
	// of the slack.
	Requests, Extra, Held, Slack float64
	// Gateways is how many gateways share the slack, 0 if that is unknown.
	Gateways int
}

// Hold decides whether one more extra attempt is within the limit, and holds a part of the
// limit for it if so. The attempt may reach a server at any time from then on: it counts as
// made now until Spend says that it was made, or Release that it will not be.
//
// The slack is divided by the number of gateways; there is none while that is 0, unknown.
func (l *AttemptLimiter) Hold(now time.Duration, gateways int) Decision {
	d := l.State(now, gateways)
	if d.Allowed {
		l.held++
	}
	return d
}

// Spend counts an attempt for which a part is held.
func (l *AttemptLimiter) Spend(now time.Duration) {
	l.held--
	l.bucket(now).extra++
}

// Release gives back a part that is held.
func (l *AttemptLimiter) Release() { l.held-- }

// State returns what Hold would decide.
func (l *AttemptLimiter) State(now time.Duration, gateways int) Decision {
	d := Decision{Gateways: gateways, Slack: l.slack(now, gateways), Held: l.held}
	d.Requests, d.Extra = l.sums(now)
	d.Allowed = d.Extra+d.Held+1 <= l.limit.Share*d.Requests+d.Slack
	return d
}

func (l *AttemptLimiter) slack(now time.Duration, gateways int) float64 {
	if gateways <= 0 {
		return 0
	}
	slack := l.limit.Slack / float64(gateways)
	if l.restarted && now-l.startedAt < l.limit.Window {
		slack *= restartedSlack
	}
	return slack
}

func (l *AttemptLimiter) bucketIndex(now time.Duration) int64 {
	return int64(now / max(1, l.limit.Window/windowBuckets))
}

func (l *AttemptLimiter) bucket(now time.Duration) *windowBucket {
	index := l.bucketIndex(now)
	b := &l.buckets[index%int64(len(l.buckets))]
	if b.index != index {
		*b = windowBucket{index: index}
	}
	return b
}

// sums returns the requests within at most the window before now, and the extra attempts
// within at least that.
func (l *AttemptLimiter) sums(now time.Duration) (requests, extra float64) {
	index := l.bucketIndex(now)
	for _, b := range l.buckets {
		age := index - b.index
		if age < windowBuckets {
			requests += b.requests
		}
		if age <= windowBuckets {
			extra += b.extra
		}
	}
	return requests, extra
}
