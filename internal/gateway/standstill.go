package gateway

import "time"

const (
	// ClockInterval is how often a gateway looks at the clock to notice that it stood still.
	ClockInterval = 500 * time.Millisecond
	// standstillTime is the time without a look at the clock that is taken for a standstill.
	standstillTime = 1500 * time.Millisecond
	// backlogTime is for how long after a standstill requests are taken for sent during it.
	backlogTime = time.Second
)

// standstill notices that the process stood still. Its times are since boot. It is not safe for
// concurrent use.
type standstill struct {
	lookedAt, backlogUntil time.Duration
}

// look records a look at the clock. It returns how long the process stood still before it, 0 if
// it did not.
func (s *standstill) look(now time.Duration) time.Duration {
	elapsed := now - s.lookedAt
	first := s.lookedAt == 0
	s.lookedAt = now
	if first || elapsed < standstillTime {
		return 0
	}
	s.backlogUntil = now + backlogTime
	return elapsed
}

// backlog reports whether requests that are read now may have been sent during a standstill.
func (s *standstill) backlog(now time.Duration) bool { return now < s.backlogUntil }
