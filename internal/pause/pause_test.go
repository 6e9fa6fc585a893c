package pause_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pistachioroad.dev/pistachioroad/internal/pause"
)

func TestSleepEndsWithItsTimeOrItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		if !pause.Sleep(t.Context(), time.Second) || time.Since(began) != time.Second {
			t.Errorf("a sleep of 1 s took %v", time.Since(began))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if pause.Sleep(ctx, time.Hour) {
			t.Error("the sleep was not ended by its context")
		}
	})
}

// Guards against many processes that failed at the same time retrying all at
// once, which happens if their delays are equal, or long after the failure is
// over, which happens if the delays grow without limit.
func TestBackoffDoublesUpToMaxAndResets(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	b := pause.Backoff{Initial: 100 * time.Millisecond, Max: 600 * time.Millisecond}
	for round := range 2 {
		for _, ms := range []time.Duration{100, 200, 400, 600, 600} {
			full := ms * time.Millisecond
			if got := b.Next(random); got < full/2 || got > full {
				t.Errorf("round %d: delay of %v, want %v to %v", round, got, full/2, full)
			}
		}
		b.Reset()
	}
}
