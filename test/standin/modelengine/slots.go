package modelengine

import (
	"context"
	"slices"
	"sync"
)

// slots is a semaphore for the generations that run concurrently. Its bounded
// queue is ordered by priority, lowest value first.
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

// reserve returns a waiter that has a slot or a place in the queue, or false if
// the queue is full.
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
	index, _ := slices.BinarySearchFunc(s.waiting, priority, func(o *waiter, p int) int {
		// Waiters of equal priority stay in arrival order.
		if o.priority <= p {
			return -1
		}
		return 1
	})
	s.waiting = slices.Insert(s.waiting, index, w)
	return w, true
}

// wait blocks until the waiter is granted a slot. If ctx ends first, it returns
// the error and releases the slot or the place in the queue.
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
	index := slices.Index(s.waiting, w)
	if index >= 0 {
		s.waiting = slices.Delete(s.waiting, index, index+1)
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
