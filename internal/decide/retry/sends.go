package retry

import "time"

// sendBuckets divides the window of Sends.
const sendBuckets = 10

// SendLimit is what the backend servers of a service bear beyond the first send
// of each request, from all entries together.
type AttemptLimit struct {
	// Share of the requests, and Slack sends more, in each Window.
	Share, Slack float64
	Window       time.Duration
}

// Sends counts the requests for one service and the sends beyond the first of
// each, and bounds the latter. It answers the same storms as Budget, for
// services whose operators bound sends and not work; each entry keeps to its
// own requests' share and an equal part of the slack, so no entry needs to know
// what the others send.
type AttemptLimiter struct {
	limit   AttemptLimit
	buckets [sendBuckets]sendBucket
}

type sendBucket struct {
	slot            int64
	requests, extra float64
}

// NewSends returns Sends within the limit.
func NewAttemptLimiter(l AttemptLimit) *AttemptLimiter { return &AttemptLimiter{limit: l} }

// Request counts a request.
func (s *AttemptLimiter) CountRequest(now time.Time) { s.bucket(now).requests++ }

// Allow reports whether one more extra send is within the limit, and counts it
// if so. Entries is the number of entries that share the slack.
func (s *AttemptLimiter) Allow(now time.Time, entries int) bool {
	requests, extra := s.sums(now)
	if extra+1 > s.limit.Share*requests+s.limit.Slack/float64(max(1, entries)) {
		return false
	}
	s.bucket(now).extra++
	return true
}

func (s *AttemptLimiter) slot(now time.Time) int64 {
	return now.UnixNano() / max(1, int64(s.limit.Window/sendBuckets))
}

func (s *AttemptLimiter) bucket(now time.Time) *sendBucket {
	slot := s.slot(now)
	b := &s.buckets[slot%sendBuckets]
	if b.slot != slot {
		*b = sendBucket{slot: slot}
	}
	return b
}

func (s *AttemptLimiter) sums(now time.Time) (requests, extra float64) {
	oldest := s.slot(now) - sendBuckets
	for _, b := range s.buckets {
		if b.slot > oldest {
			requests += b.requests
			extra += b.extra
		}
	}
	return requests, extra
}
