package retry

import "time"

// windowBuckets is the number of buckets into which the window of an AttemptLimiter is
// divided. One more is kept, so that any span of the length of the window is covered.
const windowBuckets = 40

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
// includes suspended time: a step of the time of day would empty the window. Like Budget it
// guards against retry storms, for services whose operators limit attempts instead of work.
//
// Each gateway may use the share of its own requests and an equal part of the slack, so it
// need not know how many attempts the others make. Nor need it know what the process before
// it has used: in any span up to the length of the window, a process uses at most the share
// of its requests in that span and its part of the slack, and after its start no slack for
// one window, or two after another process of the VM. So processes that follow each other
// are together within the limit, however often they are killed. A limit on the whole window
// alone would not do: what one process has saved up and used in a moment, the next one
// could use again.
type AttemptLimiter struct {
	limit AttemptLimit
	// startedAt is when the process started, and first says that no other process of the VM
	// has used the limit. changedAt is when the limit was last changed, 0 if it was not.
	startedAt, changedAt time.Duration
	first                bool
	buckets              [windowBuckets + 1]windowBucket
	held                 float64
}

type windowBucket struct {
	index           int64
	requests, extra float64
	// gateways is the largest number of gateways that was known.
	gateways int
	// excess is the most by which the extra attempts from any moment to the end of the
	// bucket exceed the share of the requests in the same span.
	excess float64
}

// NewAttemptLimiter returns an AttemptLimiter for the limit. startedAt is when the process
// started: an earlier one may have used the slack until then, and its attempts may arrive for
// another window.
func NewAttemptLimiter(limit AttemptLimit, startedAt time.Duration) *AttemptLimiter {
	return &AttemptLimiter{limit: limit, startedAt: startedAt}
}

// SetFirst records that no other process of the VM has used the limit.
func (l *AttemptLimiter) SetFirst() { l.first = true }

// slackFrom returns from when the slack may be used: earlier processes may have used it in a
// window that lasts until then.
func (l *AttemptLimiter) slackFrom() time.Duration {
	from := l.startedAt + l.limit.Window
	if !l.first {
		from += l.limit.Window
	}
	if l.changedAt > 0 {
		from = max(from, l.changedAt+l.limit.Window)
	}
	return from
}

// SetLimit changes the limit. What has been counted is forgotten, so that, as after a
// start, there is no slack for a window.
func (l *AttemptLimiter) SetLimit(now time.Duration, limit AttemptLimit) {
	if limit != l.limit {
		*l = AttemptLimiter{limit: limit, startedAt: l.startedAt, first: l.first, changedAt: now, held: l.held}
	}
}

// CountRequest counts a request. gateways is the number of gateways, 0 if unknown.
func (l *AttemptLimiter) CountRequest(now time.Duration, gateways int) {
	b := l.bucket(now)
	b.gateways = max(b.gateways, gateways)
	b.requests++
	b.excess = max(0, b.excess-l.limit.Share)
}

// Decision is whether one more extra attempt is allowed, and the inputs of the decision.
type Decision struct {
	Allowed bool
	// Requests and Extra are the requests and the extra attempts within the window before
	// it, and Held are the attempts for which a part is held. Slack is this gateway's part
	// of the slack, and Excess what is used of it.
	Requests, Extra, Held, Slack, Excess float64
	// Gateways is how many gateways share the slack, 0 if that is unknown: the most that
	// were known within the window.
	Gateways int
}

// Hold decides whether one more extra attempt is within the limit, and holds a part of the
// limit for it if so. The attempt may reach a server at any time from then on: it counts as
// made now until Spend says that it was made, or Release that it will not be.
//
// The slack is divided by the largest number of gateways that was known within the window,
// as a list of them may be old; there is none while the number is 0, unknown.
func (l *AttemptLimiter) Hold(now time.Duration, gateways int) Decision {
	b := l.bucket(now)
	b.gateways = max(b.gateways, gateways)
	d := l.State(now, gateways)
	if d.Allowed {
		l.held++
	}
	return d
}

// Spend counts an attempt for which a part is held.
func (l *AttemptLimiter) Spend(now time.Duration) {
	l.held--
	b := l.bucket(now)
	b.extra++
	b.excess++
}

// Release gives back a part that is held.
func (l *AttemptLimiter) Release() { l.held-- }

// State returns what Hold would decide.
func (l *AttemptLimiter) State(now time.Duration, gateways int) Decision {
	gateways = l.mostGateways(now, gateways)
	part := l.part(gateways)
	d := Decision{Gateways: gateways, Held: l.held, Slack: part}
	if now < l.slackFrom() {
		d.Slack = 0
	}
	d.Requests, d.Extra, d.Excess = l.sums(now)
	d.Allowed = d.Excess+d.Held+1 <= max(1, part)
	if d.Slack < 1 {
		// One attempt in any span may exceed the slack, the window may not.
		d.Allowed = d.Allowed && d.Extra+d.Held+1 <= l.limit.Share*d.Requests+d.Slack
	}
	return d
}

// mostGateways returns the largest number of gateways that was known within the window, 0 if
// it is unknown now.
func (l *AttemptLimiter) mostGateways(now time.Duration, gateways int) int {
	if gateways <= 0 {
		return 0
	}
	newest := l.bucketIndex(now)
	for _, b := range l.buckets {
		if newest-b.index <= windowBuckets {
			gateways = max(gateways, b.gateways)
		}
	}
	return gateways
}

// part returns this gateway's part of the slack.
func (l *AttemptLimiter) part(gateways int) float64 {
	if gateways <= 0 {
		return 0
	}
	return l.limit.Slack / float64(gateways)
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

// sums returns the requests within at most the window before now, the extra attempts within
// at least that, and the largest excess of any span that ends now.
func (l *AttemptLimiter) sums(now time.Duration) (requests, extra, excess float64) {
	newest := l.bucketIndex(now)
	later := 0.0
	for age := range int64(len(l.buckets)) {
		b := l.buckets[(newest-age+int64(len(l.buckets)))%int64(len(l.buckets))]
		if b.index != newest-age {
			continue
		}
		excess = max(excess, later+b.excess)
		later += b.extra - l.limit.Share*b.requests
		extra += b.extra
		if age < windowBuckets {
			requests += b.requests
		}
	}
	return requests, extra, excess
}
