package soakproc

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/test/faultproxy"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
)

const (
	// gracePeriod is that of the settings files.
	gracePeriod = 8 * time.Second
	// stopsBegin is the time within which stops begin, after an undisturbed lead.
	stopsBegin = 9 * time.Second
	stopsLead  = contact
	// stopsInterval is the time between the stops of gateways that are stopped in turn.
	stopsInterval = 1500 * time.Millisecond
	// maxChangeInterval is the longest time between two changes of the configuration.
	maxChangeInterval = 1500 * time.Millisecond
	// The store is away for minStoreAway to maxStoreAway.
	minStoreAway = 1500 * time.Millisecond
	maxStoreAway = 4 * time.Second
	// minVariedTimeout to maxVariedTimeout are the timeouts of routes whose timeout changes.
	minVariedTimeout = time.Second
	maxVariedTimeout = 6 * time.Second
)

// slowness has the factors by which servers are slower, in turn.
var slowness = []int{1, 2, 1, 5}

// stopOrder is how the stops of the gateways follow each other.
type stopOrder uint64

const (
	inTurn stopOrder = iota
	together
	atRandom
	stopOrders
)

// stopOf is one graceful stop of a gateway process.
type stopOf struct {
	gateway *gateway
	// began is when the first SIGTERM was sent, ended when the process was gone.
	began, ended time.Time
}

// stops is a run with planned work only.
type stops struct {
	env      *environment
	seed     uint64
	timeouts map[string]*routeTimeouts
	still    standstills

	mu         sync.Mutex
	done       []stopOf
	counts     map[string]int
	violations []string
}

// StopsReport is the result of a run with planned work only.
type StopsReport struct {
	Seed uint64
	// Violations describe the violated guarantees; empty if the run passed.
	Violations []string
	// Planned counts the planned work by name.
	Planned map[string]int
	// Endings counts how requests ended by the second of the stop in which they began.
	Endings StopEndings
	// Excused counts the requests without a whole answer that are no violation, by reason.
	Excused map[string]int
	// Standstill is the longest time in which the machine did not run the soak itself.
	Standstill time.Duration
}

// RunStops runs one seed with planned work only: stops, reloads and changes of the
// configuration, while engines are slow and callers use their connections until the processes
// are gone. The store may be away. The programs are in bin; logs and settings are written to
// dir. The error is one of the set-up.
func RunStops(seed uint64, bin, dir string) (StopsReport, error) {
	s := &stops{seed: seed, timeouts: map[string]*routeTimeouts{}, counts: map[string]int{}}
	report := StopsReport{Seed: seed, Planned: s.counts}
	env, err := start(seed, bin, dir)
	defer env.stop()
	if err != nil {
		return report, err
	}
	s.env = env
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	for _, g := range env.gateways {
		if err := g.process.WaitReady(ctx); err != nil {
			return report, err
		}
	}
	for i, b := range env.servers {
		b.SetWork(workAt(slowness[i%len(slowness)]))
	}
	for _, r := range stopRoutes {
		s.timeouts[r.name] = &routeTimeouts{}
		s.timeouts[r.name].set(r.timeout)
	}
	s.writeConfig(true)
	time.Sleep(configApply)
	calls, stopCallers := env.startStopCallers(seed)
	time.Sleep(stopsLead)
	begun := time.Now()
	go s.still.watch(ctx)
	s.carryOut(ctx)
	stopCallers()
	report.Standstill = s.still.longest(begun, time.Now())
	report.Endings = s.endings(calls.list)
	report.Excused = s.check(calls.list)
	report.Violations = s.violations
	return report, nil
}

// carryOut carries out all planned work and returns once every process has been started again.
func (s *stops) carryOut(ctx context.Context) {
	order := stopOrder(s.seed % uint64(stopOrders))
	begun := time.Now()
	var gateways, others sync.WaitGroup
	for i, g := range s.env.gateways {
		r := rand.New(rand.NewPCG(s.seed, uint64(10+i)))
		gateways.Go(func() {
			time.Sleep(map[stopOrder]time.Duration{
				inTurn: time.Duration(i) * stopsInterval, together: between(r, 0, 300*time.Millisecond), atRandom: between(r, 0, stopsBegin),
			}[order])
			for again := true; again; again = time.Since(begun) < stopsBegin {
				s.hangUp(g, r.IntN(4), between(r, time.Millisecond, 300*time.Millisecond))
				s.stop(ctx, g, r)
			}
		})
	}
	ctx, cancel := context.WithCancel(ctx)
	others.Go(func() { s.changeConfig(ctx, rand.New(rand.NewPCG(s.seed, 2))) })
	others.Go(func() { s.takeStoreAway(ctx, rand.New(rand.NewPCG(s.seed, 3))) })
	gateways.Wait()
	cancel()
	others.Wait()
}

// stop stops a gateway with SIGTERM, sends it more signals meanwhile and starts it again.
func (s *stops) stop(ctx context.Context, g *gateway, r *rand.Rand) {
	type signal struct {
		at   time.Duration
		send func()
	}
	var more []signal
	if r.IntN(2) == 0 {
		more = append(more, signal{between(r, 0, gracePeriod), func() { s.count("second SIGTERM"); g.process.Terminate() }})
	}
	for range r.IntN(4) {
		more = append(more, signal{between(r, 0, gracePeriod), func() { s.hangUp(g, 1, 0) }})
	}
	slices.SortFunc(more, func(a, b signal) int { return int(a.at - b.at) })
	began := time.Now()
	s.count("SIGTERM")
	g.process.Terminate()
	exited := false
	for _, m := range more {
		if exited = exited || g.process.Wait(time.Until(began.Add(m.at))) != running; !exited {
			m.send()
		}
	}
	switch code := g.process.Wait(time.Until(began.Add(gracePeriod))); code {
	case 0:
	case running:
		s.addViolation("%s still runs at the end of its grace period, SIGTERM was sent at %s, standstill %v", g.process.Name, began.UTC().Format(time.RFC3339Nano), s.still.longest(began, time.Now()))
		g.process.Kill()
	default:
		s.addViolation("%s exited with %d after SIGTERM, want 0", g.process.Name, code)
	}
	s.mu.Lock()
	s.done = append(s.done, stopOf{gateway: g, began: began, ended: time.Now()})
	s.mu.Unlock()
	if err := g.process.Restart(); err != nil {
		s.addViolation("%s was not started again: %v", g.process.Name, err)
		return
	}
	if err := g.process.WaitReady(ctx); err != nil {
		s.addViolation("not ready after a stop: %v", err)
	}
}

// running is what Process.Wait returns for a process that has not exited.
const running = -1

// hangUp changes the settings of a gateway and makes it read them, some times in a row.
func (s *stops) hangUp(g *gateway, times int, interval time.Duration) {
	for range times {
		s.mu.Lock()
		s.env.setBudget(retryBudget{share: s.env.budget.share, slack: s.env.budget.slack + 1})
		err := g.writeSettings()
		s.mu.Unlock()
		if err != nil {
			s.addViolation("settings of %s: %v", g.process.Name, err)
			return
		}
		s.count("SIGHUP")
		g.process.HangUp()
		time.Sleep(interval)
	}
}

// changeConfig changes the configuration until ctx is done.
func (s *stops) changeConfig(ctx context.Context, r *rand.Rand) {
	varied := lo.Filter(stopRoutes, func(r stopRoute, _ int) bool { return r.varies })
	passing := true
	for wait(ctx, between(r, 100*time.Millisecond, maxChangeInterval)) {
		switch r.IntN(4) {
		case 0:
			s.env.idleTimeout = between(r, minIdleTimeout, maxIdleTimeout)
			s.count("idle timeout changed")
		case 1:
			passing = !passing
			s.count("route removed or added")
		default:
			// The configuration has whole milliseconds.
			s.timeouts[varied[r.IntN(len(varied))].name].set(between(r, minVariedTimeout, maxVariedTimeout).Truncate(time.Millisecond))
			s.count("route timeout changed")
		}
		s.writeConfig(passing)
	}
}

// writeConfig writes the next version of the configuration, with or without the route that
// comes and goes.
func (s *stops) writeConfig(passing bool) {
	s.env.moreRoutes = nil
	for _, r := range stopRoutes {
		if r.comesAndGoes && !passing {
			continue
		}
		s.env.moreRoutes = append(s.env.moreRoutes, map[string]any{
			"name": r.name, "hostname": "h.example", "pathPrefix": "/" + r.name + "/", "routeType": r.routeType,
			"timeoutMs": s.timeouts[r.name].newest().Milliseconds(), "latencyGoalMs": 1000, "serviceName": r.service(),
			"maxAttempts": r.attempts, "affinity": r.streams(), "resumable": r.resumable,
		})
	}
	s.env.writeConfig()
}

// takeStoreAway makes the store fail now and then, for all or for one gateway, until ctx is
// done.
func (s *stops) takeStoreAway(ctx context.Context, r *rand.Rand) {
	away := []fault{
		{name: "store refuses", begin: storeFault(objectstore.Faults{Unavailable: true})},
		{name: "store silent", begin: storeFault(objectstore.Faults{Unresponsive: true})},
		{name: "one gateway cut from the store", begin: storeLinkFault(faultproxy.Mode{Cut: true})},
	}
	for wait(ctx, between(r, time.Second, 4*time.Second)) {
		f := away[r.IntN(len(away))]
		s.count(f.name)
		end := f.begin(s.env, r)
		wait(ctx, between(r, minStoreAway, maxStoreAway))
		end()
	}
}

func (s *stops) count(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[name]++
}
