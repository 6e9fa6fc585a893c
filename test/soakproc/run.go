package soakproc

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
)

const (
	// Faults are injected for faultsDuration, on average every
	// meanFaultInterval. Each lasts up to maxFaultDuration, so that they overlap.
	faultsDuration    = 6 * time.Second
	meanFaultInterval = 250 * time.Millisecond
	maxFaultDuration  = 1800 * time.Millisecond
	// callerCount callers run concurrently, each on its own keep-alive connection.
	callerCount = 24
	// drainObservation is how long a draining server is observed for new requests
	// after its drain timeout.
	drainObservation = 2 * time.Second
)

// Report is the result of a run.
type Report struct {
	Seed uint64
	// Violations describe the violated guarantees; empty if the run passed.
	Violations []string
	// Faults counts the injected faults by name, Answers the answers by status.
	Faults  map[string]int
	Answers map[int]int
	// RetriesUsed is the largest fraction of a retry budget that was used in a window.
	RetriesUsed float64
	// TakeUps counts the answers to requests that take up a stream by status.
	TakeUps map[int]int
	// Returns is how often the store came back from a copy during the faults.
	Returns int
}

// Run runs one seed. The programs are in bin; logs and settings are written to
// dir. The error is one of the set-up; violated guarantees are in the report.
func Run(seed uint64, bin, dir string) (Report, error) {
	report := Report{Seed: seed, Faults: map[string]int{}, Answers: map[int]int{}}
	env, err := start(seed, bin, dir)
	defer env.stop()
	if err != nil {
		return report, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	for _, g := range env.gateways {
		if err := g.process.WaitReady(ctx); err != nil {
			return report, err
		}
	}
	l := newRequestLog()
	stopCallers := env.startCallers(ctx, seed, l)
	stopFatal := env.startFatalCallers(ctx, l)
	stopReturns := func() int { return 0 }
	if env.namesEras {
		stopReturns = env.returnFromCopies(seed)
	}
	env.inject(faults, faultsDuration, seed, report.Faults)
	report.Returns = stopReturns()
	recovered := time.Now().Add(settleTime)
	env.checkRecovery(ctx, l)
	stopFatal()
	env.checkPauses(ctx, seed, l, report.Faults)
	undisturbed := time.Now()
	if env.namesEras {
		env.checkReturnAmidKills(ctx, l)
	}
	stopCallers()
	env.usage.checkComplete(recovered, undisturbed, l)
	l.check(env)
	env.checkAttempts(l)
	env.checkHandedTime(l)
	report.RetriesUsed = slices.Max(lo.Values(env.checkRetryBudgets(l)))
	report.Violations = l.violations
	report.Answers, report.TakeUps = l.statuses, l.takeUps
	return report, nil
}

// FaultNames returns the names of all faults.
func FaultNames() []string {
	var names []string
	for _, f := range faults {
		names = append(names, f.name)
	}
	return names
}

// inject starts faults of the given kinds at random times for a time, and ends each
// after a random duration. All faults have ended when it returns.
func (env *environment) inject(kinds []fault, duration time.Duration, seed uint64, counts map[string]int) {
	r := rand.New(rand.NewPCG(seed, 1))
	type ending struct {
		at  time.Time
		end func()
	}
	var endings []ending
	finish := func(now time.Time) {
		endings = slices.DeleteFunc(endings, func(e ending) bool {
			if now.Before(e.at) {
				return false
			}
			e.end()
			return true
		})
	}
	order := r.Perm(len(kinds))
	for n, until := 0, time.Now().Add(duration); time.Now().Before(until); n++ {
		f := kinds[order[n%len(order)]]
		if end := f.begin(env, r); end != nil {
			counts[f.name]++
			endings = append(endings, ending{at: time.Now().Add(f.duration(r)), end: end})
		}
		time.Sleep(time.Duration(r.Int64N(int64(2 * meanFaultInterval))))
		finish(time.Now())
	}
	finish(time.Now().Add(time.Hour))
}

// checkRecovery waits for settleTime and then checks that every gateway serves,
// applies the newest configuration and sends no requests to a draining server,
// and that limits and missed changes are handled.
func (env *environment) checkRecovery(ctx context.Context, l *requestLog) {
	for _, g := range env.gateways {
		if err := g.process.WaitReady(ctx); err != nil {
			l.addViolation("not ready after the faults: %v", err)
		}
	}
	time.Sleep(settleTime)
	recovered := time.Now()
	defer func() { env.checkCrashes(recovered, l) }()
	defer env.setLimits(l)()
	defer env.setNotices(l)()
	env.writeConfig()
	drained := env.servers[len(env.servers)-1]
	env.register(drained, "draining")
	time.Sleep(drainTimeout)
	before := len(drained.Runs())
	env.checkNewestConfig(l)
	env.checkKeys(l)
	for _, g := range env.gateways {
		old := send(newClient(), g.address, request{method: "GET", target: fmt.Sprintf("/v%d/", env.version-1), id: l.nextIDOf(accountNames[0]), kind: "version"})
		if old.status != 404 {
			l.addViolation("%s still serves the previous configuration: status %d, want 404", g.address, old.status)
		}
	}
	time.Sleep(drainObservation)
	if after := len(drained.Runs()); after > before {
		l.addViolation("a draining server got %d more requests after its drain timeout", after-before)
	}
	env.checkStalledChanges(l)
	if env.namesEras {
		env.checkReturn(l)
	}
	env.checkGracefulStop(l)
}

// checkNewestConfig checks that every gateway serves the newest configuration.
func (env *environment) checkNewestConfig(l *requestLog) {
	for _, g := range env.gateways {
		got := send(newClient(), g.address, request{method: "GET", target: fmt.Sprintf("/v%d/", env.version), id: l.nextIDOf(accountNames[0]), kind: "version"})
		if got.status != 200 {
			l.addViolation("%s does not serve the newest configuration: status %d %v", g.address, got.status, got.err)
		}
	}
}

const (
	// stalledDuration is how long the store withholds changes from watches before
	// it drops its history: long enough for each gateway to list the objects
	// meanwhile.
	stalledDuration = 2 * time.Second
	// stalledChangeInterval is the time between the changes.
	stalledChangeInterval = 150 * time.Millisecond
)

// checkStalledChanges changes the configuration while the store's watches are
// stalled, and checks that the last change is applied within its bound after
// the store has recovered.
func (env *environment) checkStalledChanges(l *requestLog) {
	env.store.SetFaults(objectstore.Faults{StallWatches: true})
	for range stalledDuration / stalledChangeInterval {
		time.Sleep(stalledChangeInterval)
		env.writeConfig()
	}
	env.recoverWatches()
	time.Sleep(max(configApply, contact))
	env.checkNewestConfig(l)
}

// checkGracefulStop stops one gateway with SIGTERM while callers continue. There
// is no other fault, so no request may be interrupted.
func (env *environment) checkGracefulStop(l *requestLog) {
	l.gracefulStopOnly.Store(true)
	defer l.gracefulStopOnly.Store(false)
	var wait sync.WaitGroup
	g := env.gateways[0]
	wait.Go(func() {
		g.process.Terminate()
		if code := g.process.Wait(9 * time.Second); code != 0 {
			l.addViolation("%s exited with %d after SIGTERM, want 0", g.process.Name, code)
		}
	})
	wait.Wait()
}
