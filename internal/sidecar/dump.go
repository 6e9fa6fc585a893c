package sidecar

import (
	"context"

	"pistachioroad.dev/pistachioroad/internal/ring"
)

// ask puts a question into the inbox of a duty and returns its answer; nil if
// the duty does not answer before ctx ends.
func ask[T any](ctx context.Context, inbox *ring.Ring[any], question func(reply chan T) any) any {
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
