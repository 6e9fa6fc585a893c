package sidecar

import (
	"context"

	"pistachioroad.dev/pistachioroad/internal/ring"
)

// query sends a request for a value to a duty and returns its reply, or nil if
// the duty does not reply before ctx is done.
func query[T any](ctx context.Context, inbox *ring.Ring[any], question func(reply chan T) any) any {
	reply := make(chan T, 1)
	if inbox.PutWait(ctx, question(reply)) != nil {
		return nil
	}
	select {
	case answer := <-reply:
		return answer
	case <-ctx.Done():
		return nil
	}
}
