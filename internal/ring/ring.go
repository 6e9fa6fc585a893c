// Package ring joins two duties by a bounded queue with a stated overflow rule.
package ring

import (
	"context"

	"github.com/rcrowley/go-metrics"
)

// Overflow says what a full Ring does with a new item.
type Overflow uint8

const (
	// Reject refuses the new item; the sender answers it with a verdict.
	Reject Overflow = iota
	// DropOldest discards the oldest item. It suits reports, where the newest
	// one replaces all before it.
	DropOldest
)

// Ring is a bounded first-in first-out queue. Any goroutine may put; one
// goroutine takes.
type Ring[T any] struct {
	items    chan T
	overflow Overflow
	dropped  metrics.Counter
}

// New returns a Ring for size items, whose overflow is counted as
// ring.<name>.dropped.
func New[T any](name string, size int, overflow Overflow) *Ring[T] {
	return &Ring[T]{
		items:    make(chan T, size),
		overflow: overflow,
		dropped:  metrics.GetOrRegisterCounter("ring."+name+".dropped", nil),
	}
}

// Put adds item and reports whether it was taken. It never blocks: a full
// queue that blocked its sender would carry one slow duty to all before it.
func (r *Ring[T]) Put(item T) bool {
	for {
		select {
		case r.items <- item:
			return true
		default:
		}
		r.dropped.Inc(1)
		if r.overflow == Reject {
			return false
		}
		select {
		case <-r.items:
		default:
		}
	}
}

// PutWait adds item, waiting for room until ctx ends. Only answers that must
// not be lost use it.
func (r *Ring[T]) PutWait(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// C returns the channel to take from.
func (r *Ring[T]) C() <-chan T { return r.items }

// Len returns how many items wait.
func (r *Ring[T]) Len() int { return len(r.items) }
