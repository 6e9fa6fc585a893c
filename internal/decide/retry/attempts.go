package retry

import "time"

// windowBuckets is the number of buckets into which the window of an AttemptLimiter is
// divided.
const windowBuckets = 10

// AttemptLimit is the load that the backend servers of a service tolerate beyond the first
// attempt of each request, from all gateways together.
type AttemptLimit struct {
	// Share is the allowed number of extra attempts per request, Slack the number allowed in
	// addition, within each Window.
	Share, Slack float64
	Window       time.Duration
}

// AttemptLimiter counts the requests for one service and the attempts beyond the first of
// each, and limits the latter. Like Budget it guards against retry storms, for services
// whose operators limit attempts instead of work. Each gateway may use the share of its own
// requests and an equal fraction of the slack, so it need not know how many attempts the
// others make.
type AttemptLimiter struct {
	limit   AttemptLimit
	buckets [windowBuckets]windowBucket
}

type windowBucket struct {
	index           int64
	requests, extra float64
}

// NewAttemptLimiter returns an AttemptLimiter for the limit.
func NewAttemptLimiter(limit AttemptLimit) *AttemptLimiter { return &AttemptLimiter{limit: limit} }

// CountRequest counts a request.
func (l *AttemptLimiter) CountRequest(now time.Time) { l.bucket(now).requests++ }

// Allow reports whether one more extra attempt is within the limit, and counts it if so.
// The slack is divided by the number of gateways.
func (l *AttemptLimiter) Allow(now time.Time, gateways int) bool {
	requests, extra := l.sums(now)
	if extra+1 > l.limit.Share*requests+l.limit.Slack/float64(max(1, gateways)) {
		return false
	}
	l.bucket(now).extra++
	return true
}

func (l *AttemptLimiter) bucketIndex(now time.Time) int64 {
	return now.UnixNano() / max(1, int64(l.limit.Window/windowBuckets))
}

func (l *AttemptLimiter) bucket(now time.Time) *windowBucket {
	index := l.bucketIndex(now)
	b := &l.buckets[index%windowBuckets]
	if b.index != index {
		*b = windowBucket{index: index}
	}
	return b
}

func (l *AttemptLimiter) sums(now time.Time) (requests, extra float64) {
	oldest := l.bucketIndex(now) - windowBuckets
	for _, b := range l.buckets {
		if b.index > oldest {
			requests += b.requests
			extra += b.extra
		}
	}
	return requests, extra
}
