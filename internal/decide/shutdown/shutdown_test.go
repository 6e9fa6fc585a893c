package shutdown_test

import (
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/shutdown"
)

var began = time.Unix(1_000, 0)

func at(d time.Duration) time.Time { return began.Add(d) }

// Guards against requests that a shutdown cuts, and against rejections of requests that end
// before it does.
func TestAcceptsWhatEndsInTime(t *testing.T) {
	s := shutdown.New(began, at(7*time.Second), 3*time.Second)
	for _, c := range []struct {
		name                   string
		now, allowed, expected time.Duration
		want                   bool
	}{
		{"ends at its deadline", 6 * time.Second, time.Second, 0, true},
		{"may outlast the process", 3 * time.Second, 5 * time.Second, time.Millisecond, false},
		{"may outlast it, but is expected not to, while a rejected one may come back", 2 * time.Second, 6 * time.Second, 4 * time.Second, true},
		{"is expected to outlast it", 2 * time.Second, 6 * time.Second, 5500 * time.Millisecond, false},
		{"unknown, while a rejected one may come back", 2 * time.Second, 6 * time.Second, 0, true},
		{"after the end", 8 * time.Second, time.Millisecond, 0, false},
	} {
		r := shutdown.Request{Deadline: at(c.now + c.allowed), Expected: c.expected}
		if got := s.Accepts(at(c.now), r); got != c.want {
			t.Errorf("%s: accepted %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a request that is accepted once the load balancer has noticed the shutdown, and
// has time after its end.
func TestNothingAcceptedLateOutlastsTheEnd(t *testing.T) {
	for grace := time.Duration(0); grace < 10*time.Second; grace += 300 * time.Millisecond {
		s := shutdown.New(began, at(grace), 3*time.Second)
		if s.BalancedUntil.After(s.End) {
			t.Fatalf("grace %s: listens after the end", grace)
		}
		for now := s.BalancedUntil; now.Before(at(12 * time.Second)); now = now.Add(100 * time.Millisecond) {
			for allowed := time.Duration(0); allowed < 12*time.Second; allowed += 250 * time.Millisecond {
				deadline := now.Add(allowed)
				if s.Accepts(now, shutdown.Request{Deadline: deadline}) && deadline.After(s.End) {
					t.Fatalf("grace %s: accepted at %s with %s left", grace, now.Sub(began), allowed)
				}
			}
		}
	}
}
