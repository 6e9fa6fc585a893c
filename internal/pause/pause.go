// Package pause provides interruptible sleeps and an exponential backoff with
// jitter for retries.
package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep sleeps for d. It returns false if ctx is done earlier, otherwise true.
func Sleep(ctx context.Context, d time.Duration) bool { return SleepOrSignal(ctx, d, nil) }

// SleepOrSignal is like Sleep but also returns, with true, when signal is received.
func SleepOrSignal(ctx context.Context, d time.Duration, signal <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-signal:
		return true
	case <-ctx.Done():
		return false
	}
}

// Backoff computes exponentially increasing delays from Initial up to Max. Each
// delay is reduced by random jitter, so that processes that failed at the same
// time do not all retry at the same time.
type Backoff struct {
	Initial time.Duration
	Max     time.Duration

	attempt int
}

// Next returns the next delay, between half and all of its full length.
func (b *Backoff) Next(random *rand.Rand) time.Duration {
	full := b.Max
	if shifted := b.Initial << b.attempt; shifted > 0 && shifted < b.Max {
		full = shifted
		b.attempt++
	}
	return full/2 + time.Duration(random.Int64N(int64(full/2)+1))
}

// Reset makes Next start again with the first delay.
func (b *Backoff) Reset() { b.attempt = 0 }
