// Package periodic runs a step again and again.
package periodic

import (
	"context"
	"time"
)

// Run calls step every period until ctx ends, and returns its error.
func Run(ctx context.Context, period time.Duration, step func(now time.Time)) error {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			step(now)
		}
	}
}
