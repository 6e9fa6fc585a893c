package modelengine

import (
	"context"
	"slices"
	"sync"
)

// slots lets a bounded number of generations run; the rest wait by priority.
type slots struct {
	mu      sync.Mutex
	free    int
	size    int
	waiting []*waiter
	queue   int
}

type waiter struct {
	priority int
	granted  chan struct{}
}

func newSlots(size, queue int) *slots {
	return &slots{free: size, size: size, queue: queue}
}

// reserve returns a waiter, or false when the queue is full.
func (s *slots) reserve(priority int) (*waiter, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &waiter{priority: priority, granted: make(chan struct{})}
	if s.free > 0 {
		s.free--
		close(w.granted)
		return w, true
	}
	if len(s.waiting) >= s.queue {
		return nil, false
	}
	place, _ := slices.BinarySearchFunc(s.waiting, priority, func(o *waiter, p int) int {
		// Equal priorities keep their order.
		if o.priority <= p {
			return -1
		}
		return 1
	})
	s.waiting = slices.Insert(s.waiting, place, w)
	return w, true
}

// wait blocks until the slot is granted. On an error it gives it back.
func (s *slots) wait(ctx context.Context, w *waiter) error {
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		s.abandon(w)
		return ctx.Err()
	}
}

func (s *slots) abandon(w *waiter) {
	s.mu.Lock()
	place := slices.Index(s.waiting, w)
	if place >= 0 {
		s.waiting = slices.Delete(s.waiting, place, place+1)
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	s.release()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.free++
		return
	}
	next := s.waiting[0]
	s.waiting = s.waiting[1:]
	close(next.granted)
}

func (s *slots) counts() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.size - s.free, len(s.waiting)
}
