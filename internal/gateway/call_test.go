package gateway

import (
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/routes"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// An engine is silent for a second, and the request is sent to another one. Refused
// there for being late, it would end in an error that tells its caller nothing.
func TestRequestsThatMayHaveRunAreNotLate(t *testing.T) {
	now := time.Unix(1_000, 0)
	c := &call{
		received: now.Add(-time.Second),
		deadline: now.Add(4 * time.Second),
		route:    routes.Route{Objective: 500 * time.Millisecond},
	}
	if u := c.urgency(now); u.Objective != -500*time.Millisecond {
		t.Errorf("not run: objective %v, want -500ms", u.Objective)
	}
	c.verdict = verdict.MayHaveRun
	if u := c.urgency(now); u.Objective != 4*time.Second {
		t.Errorf("may have run: objective %v, want 4s", u.Objective)
	}
}
