package soakproc

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/test/faultproxy"
)

const (
	// A sound server may be silent for minPause to maxPause and then go on.
	minPause = 800 * time.Millisecond
	maxPause = 2500 * time.Millisecond
	// pausesDuration is the time with pauses and planned changes only.
	pausesDuration = 6 * time.Second
)

const (
	// callerTimeout is what callers state; routes have minRouteTimeout to it.
	callerTimeout   = 3 * time.Second
	minRouteTimeout = 2 * time.Second
	// Callers reuse connections within idleUse of the idle timeout, which is from
	// minIdleTimeout to maxIdleTimeout.
	minIdleTimeout = 2 * time.Second
	maxIdleTimeout = 15 * time.Second
	idleUse        = 0.8
	// longPause is the longest time between two requests of a caller that is mostly idle.
	longPause = 4 * time.Second
	// sendSlack is the longest time from the sending of a request to its receipt.
	sendSlack = 200 * time.Millisecond
)

// silences make servers silent that go on later.
var silences = []fault{
	{name: "server paused", pause: true, begin: func(env *environment, r *rand.Rand) func() {
		return env.silence(r, func(s *server) { s.Silence() }, func(s *server) { s.Resume() })
	}},
	{name: "server held", pause: true, begin: func(env *environment, r *rand.Rand) func() {
		return env.silence(r,
			func(s *server) { s.proxy.Set(faultproxy.Mode{Hold: true}) },
			func(s *server) { s.proxy.Set(faultproxy.Mode{}) })
	}},
}

// plannedChanges are changes by the operators.
var plannedChanges = []fault{
	{name: "gateway reloads its settings", begin: func(env *environment, r *rand.Rand) func() {
		return env.reload(env.randomGateway(r))
	}},
	{name: "configuration changed", begin: func(env *environment, _ *rand.Rand) func() { env.writeConfig(); return noop }},
	{name: "idle timeout changed", begin: func(env *environment, r *rand.Rand) func() {
		env.idleTimeout = between(r, minIdleTimeout, maxIdleTimeout)
		env.writeConfig()
		return noop
	}},
	{name: "route timeout changed", begin: func(env *environment, r *rand.Rand) func() {
		// The configuration has whole milliseconds.
		env.timeouts.set(between(r, minRouteTimeout, callerTimeout).Truncate(time.Millisecond))
		env.writeConfig()
		return noop
	}},
}

// silence makes one server, or two of one service, silent.
func (env *environment) silence(r *rand.Rand, begin, end func(*server)) func() {
	first := env.randomServer(r)
	others := lo.Filter(env.servers, func(s *server, _ int) bool { return s != first && s.service == first.service })
	chosen := append([]*server{first}, others[r.IntN(len(others))])[:1+r.IntN(2)]
	if lo.SomeBy(chosen, func(s *server) bool { return s.silent }) {
		return nil
	}
	for _, s := range chosen {
		s.silent = true
		begin(s)
	}
	return func() {
		for _, s := range chosen {
			s.silent = false
			end(s)
		}
	}
}

// readyCheck limits the check that a gateway has started: SIGHUP ends one that is about to.
const readyCheck = 50 * time.Millisecond

// reload changes the settings of a gateway and makes it read them.
func (env *environment) reload(g *gateway) func() {
	ctx, cancel := context.WithTimeout(context.Background(), readyCheck)
	defer cancel()
	if g.busy.Load() || g.process.WaitReady(ctx) != nil {
		return nil
	}
	env.setBudget(retryBudget{share: env.budget.share, slack: env.budget.slack + 1})
	if err := g.writeSettings(); err != nil {
		return nil
	}
	g.process.HangUp()
	return noop
}

// checkPauses injects pauses and planned changes only. No connection of a caller may end
// without a complete answer.
func (env *environment) checkPauses(ctx context.Context, seed uint64, l *requestLog, counts map[string]int) {
	if err := env.restore(ctx); err != nil {
		l.addViolation("not ready before the pauses: %v", err)
		return
	}
	time.Sleep(contact)
	l.pausesOnly.Store(true)
	// Each silence occurs as often as two changes.
	env.inject(slices.Concat(silences, silences, plannedChanges), pausesDuration, seed, counts)
}

// restore ends what the checks before have left: a stopped gateway, a draining server,
// limits, and servers that leave or rest.
func (env *environment) restore(ctx context.Context) error {
	for _, s := range env.servers {
		s.Restart()
		env.register(s, "ready")
	}
	if err := env.gateways[0].process.Restart(); err != nil {
		return err
	}
	return env.gateways[0].process.WaitReady(ctx)
}

// checkEnding records a request that ended without a complete answer before its timeout.
// The connection of a caller that was idle for too long may be closed, but not once a
// gateway has read the request.
func (env *environment) checkEnding(l *requestLog, req request, got outcome, idle time.Duration) {
	if got.err == nil || got.took >= env.timeouts.shortest(got.sent) {
		return
	}
	if got.status == 0 && float64(idle) > idleUse*float64(minIdleTimeout) && !env.hasRead(req.id) {
		return
	}
	l.addViolation("%s %s ended without a complete answer after %v, idle for %v before: status %d, %v", req.kind, req.id, got.took, idle, got.status, got.err)
}

// logDelay is how long after the end of a request a gateway may log it.
const logDelay = 200 * time.Millisecond

// hasRead reports whether a gateway has read a request.
func (env *environment) hasRead(id string) bool {
	time.Sleep(logDelay)
	return lo.SomeBy(env.gateways, func(g *gateway) bool {
		data, err := os.ReadFile(g.process.Log())
		return err != nil || bytes.Contains(data, fmt.Appendf(nil, `"request":%q`, id))
	})
}

// kindOf returns the next request of the n-th caller. While there are only pauses and
// planned changes, half of the callers send resumable streams only. Otherwise all would
// soon wait for a silent plain server.
func (l *requestLog) kindOf(n int, r *rand.Rand) request {
	if n%2 == 0 && l.pausesOnly.Load() {
		return requestKinds[len(requestKinds)-1]
	}
	return requestKinds[r.IntN(len(requestKinds))]
}

// pauseOf returns how long the n-th caller waits before its next request. While there
// are only pauses and planned changes, every fourth caller is mostly idle.
func (l *requestLog) pauseOf(n int, r *rand.Rand) time.Duration {
	if n%4 == 3 && l.pausesOnly.Load() {
		return between(r, 0, longPause)
	}
	return between(r, 0, 30*time.Millisecond)
}

// routeTimeouts are the timeouts that the routes have had.
type routeTimeouts struct {
	mu      sync.Mutex
	changes []timeoutChange
}

type timeoutChange struct {
	at      time.Time
	timeout time.Duration
}

func (t *routeTimeouts) set(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes = append(t.changes, timeoutChange{at: time.Now(), timeout: timeout})
}

func (t *routeTimeouts) newest() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes[len(t.changes)-1].timeout
}

// shortest returns the shortest timeout that a request sent at a time may have got. A
// gateway may apply a change up to configApply late.
func (t *routeTimeouts) shortest(sent time.Time) time.Duration {
	return t.within(callerTimeout, sent, configApply)
}

// within is like shortest for a caller's timeout and the longest time in which gateways apply
// a change.
func (t *routeTimeouts) within(callerTimeout time.Duration, sent time.Time, apply time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	shortest := callerTimeout
	for i, c := range t.changes {
		replaced := i+1 < len(t.changes) && t.changes[i+1].at.Add(apply).Before(sent)
		if !replaced && c.at.Before(sent.Add(sendSlack)) {
			shortest = min(shortest, c.timeout)
		}
	}
	return shortest
}
