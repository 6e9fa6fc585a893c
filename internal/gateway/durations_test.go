package gateway

import (
	"net/http"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/durations"
	"pistachioroad.dev/pistachioroad/internal/routes"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// Guards against a stopping gateway that takes requests which it cannot finish, because it expects
// them to take no longer than those that failed or were rejected.
func TestFailuresDoNotShortenTheExpectedDuration(t *testing.T) {
	const taken = 3 * time.Second
	g := &Gateway{durations: durations.New()}
	record := func(age time.Duration, v verdict.Verdict, e ending, status, times int) {
		for range times {
			c := &call{
				gateway: g, received: time.Now().Add(-age), deadline: time.Now().Add(time.Second),
				route: routes.Route{Name: "r"}, attempts: 1, verdict: v, trace: trace{status: status, ending: e},
			}
			g.recordMetrics(c)
		}
	}
	record(taken, verdict.Ran, "", http.StatusOK, 5)
	record(time.Millisecond, verdict.NotRun, "", http.StatusServiceUnavailable, 50)
	record(time.Millisecond, verdict.MayHaveRun, "", http.StatusBadGateway, 50)
	record(time.Millisecond, verdict.Ran, "", http.StatusInternalServerError, 50)
	record(time.Millisecond, verdict.Ran, serverBroke, http.StatusOK, 50)
	if got := g.durations.Long("r"); got < taken {
		t.Errorf("expected to take %v, want %v", got, taken)
	}
}
