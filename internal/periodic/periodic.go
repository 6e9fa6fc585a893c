// Package periodic calls a function at a fixed interval.
package periodic

import (
	"context"
	"time"
)

// Run calls step every period until ctx is done, and returns the error of ctx.
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
