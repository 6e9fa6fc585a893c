// Package ring provides a bounded queue between duties with an explicit overflow policy.
package ring

import (
	"context"

	"github.com/rcrowley/go-metrics"
)

// Overflow is what a full Ring does with a new item.
type Overflow uint8

const (
	// Reject rejects the new item. The sender responds to it with a verdict.
	Reject Overflow = iota
	// DropOldest discards the oldest item. It suits reports, where the newest
	// one supersedes all earlier ones.
	DropOldest
)

// Ring is a bounded FIFO queue with any number of producers and one consumer.
type Ring[T any] struct {
	items    chan T
	overflow Overflow
	dropped  metrics.Counter
}

// New returns a Ring of size items. Items that overflow are counted in the metric
// ring.<name>.dropped.
func New[T any](name string, size int, overflow Overflow) *Ring[T] {
	return &Ring[T]{
		items:    make(chan T, size),
		overflow: overflow,
		dropped:  metrics.GetOrRegisterCounter("ring."+name+".dropped", nil),
	}
}

// Put adds item and reports whether it was accepted. It never blocks: if a full
// queue blocked its sender, one slow duty would stall all duties upstream of it.
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

// PutWait adds item, waiting for capacity until ctx is done. Use it only for
// responses that must not be lost.
func (r *Ring[T]) PutWait(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// C returns the channel to receive items from.
func (r *Ring[T]) C() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }
