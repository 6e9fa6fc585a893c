package soakproc

import (
	"context"
	"sync"
	"time"
)

// tickInterval is the time between two looks at the clock.
const tickInterval = 10 * time.Millisecond

// standstill is a time in which the machine did not run this process.
type standstill struct {
	from, to time.Time
}

// standstills records them.
type standstills struct {
	mu   sync.Mutex
	list []standstill
}

// watch records standstills of over lossSlack until ctx is done.
func (s *standstills) watch(ctx context.Context) {
	for last := time.Now(); wait(ctx, tickInterval); {
		now := time.Now()
		if now.Sub(last) > lossSlack {
			s.mu.Lock()
			s.list = append(s.list, standstill{from: last, to: now})
			s.mu.Unlock()
		}
		last = now
	}
}

// longest returns the longest standstill in a time.
func (s *standstills) longest(from, to time.Time) (longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.list {
		if x.to.After(from) && x.from.Before(to) {
			longest = max(longest, x.to.Sub(x.from))
		}
	}
	return longest
}
