package process

import (
	"testing"
	"time"
)

// Guards against a process that is killed because it waits for its duties beyond its grace period.
func TestDutiesFinishWithinTheGracePeriod(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		by   time.Time
		want time.Duration
	}{
		{time.Time{}, finishTimeout},
		{now.Add(time.Minute), finishTimeout},
		{now.Add(250 * time.Millisecond), 250 * time.Millisecond},
		{now.Add(-time.Second), 0},
	} {
		if got := finishWithin(now, c.by); got != c.want {
			t.Errorf("to finish by %v: %v, want %v", c.by, got, c.want)
		}
	}
}
