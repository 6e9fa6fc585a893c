package soak

import (
	"encoding/json"
	"fmt"
	"runtime/debug"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/member"
	"pistachioroad.dev/pistachioroad/internal/plan"
	"pistachioroad.dev/pistachioroad/internal/planner"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

const (
	// Faults are injected during faultPhase; the fleet must have repaired itself
	// by the end of repairPhase.
	faultPhase  = 40 * time.Second
	repairPhase = 2 * time.Minute
	maxRetries  = 3
)

// loadProfile varies the load with the seed, since an overloaded fleet rejects
// most delayed Start frames for lack of capacity and an idle one runs them.
type loadProfile struct {
	// meanRequestInterval and meanFaultInterval are the mean times between two
	// requests and two faults.
	meanRequestInterval time.Duration
	meanFaultInterval   time.Duration
	// slots is the number of requests that a backend server runs concurrently.
	slots int
	// maxBudget is the longest time to a request's deadline.
	maxBudget time.Duration
}

func (sim *simulation) newLoadProfile() loadProfile {
	return loadProfile{
		meanRequestInterval: sim.randomDuration(10*time.Millisecond, 60*time.Millisecond),
		meanFaultInterval:   sim.randomDuration(250*time.Millisecond, 1500*time.Millisecond),
		slots:               2 + sim.rng.IntN(8),
		maxBudget:           sim.randomDuration(4*time.Second, 60*time.Second),
	}
}

// Report is the result of one run.
type Report struct {
	Seed     uint64         `json:"seed"`
	Steps    int            `json:"steps"`
	Frames   int            `json:"frames"`
	Requests int            `json:"requests"`
	Runs     int            `json:"runs"`
	Orders   int            `json:"orders"`
	Edits    int            `json:"edits"`
	Checks   int64          `json:"checks"`
	Faults   map[string]int `json:"faults"`
	Verdicts map[string]int `json:"verdicts"`
	Outcomes map[string]int `json:"outcomes"`
	// Violation describes the violated invariant; empty if all held.
	Violation string   `json:"breach,omitempty"`
	Trace     []string `json:"trace,omitempty"`
}

// fleet is the simulated fleet of one run.
type fleet struct {
	*simulation
	store    *store
	entries  []*entry
	sidecars []*sidecar
	engines  []*fakeEngine
}

// Run simulates one seed and checks the invariants.
func Run(seed uint64) (report Report) {
	invariant.PanicOnViolation()
	f := &fleet{simulation: newSimulation(seed)}
	before := invariant.Checks()
	defer func() {
		report = f.Report
		report.Checks += invariant.Checks() - before
		if p := recover(); p != nil {
			report.Violation = fmt.Sprint(p)
			report.Trace = f.trace
			if _, ok := p.(violation); !ok {
				report.Trace = append(report.Trace, string(debug.Stack()))
			}
		}
	}()
	f.build()
	f.generateLoad()
	f.injectFaults()
	start := f.now
	f.runUntil(start.Add(faultPhase))
	f.endFaults()
	f.runUntil(start.Add(faultPhase + repairPhase))
	f.checkRepaired()
	f.checkEdits(f.store)
	return f.Report
}

func (f *fleet) build() {
	f.store = newStore(f.simulation)
	for i := range 3 {
		e := newEngine(f.simulation, fmt.Sprintf("engine-%d", i), i%2 == 0)
		f.engines = append(f.engines, e)
		f.sidecars = append(f.sidecars, &sidecar{process: process{name: e.name}, sim: f.simulation, store: f.store, engine: e})
	}
	for i := range 2 {
		f.sidecars = append(f.sidecars, &sidecar{process: process{name: fmt.Sprintf("holds-%d", i)}, sim: f.simulation, store: f.store})
	}
	for i := range 2 {
		f.entries = append(f.entries, &entry{process: process{name: fmt.Sprintf("entry-%d", i)}, sim: f.simulation, sidecars: f.sidecars})
	}
	f.simulation.connsOf = f.connsOf
	for _, s := range f.sidecars {
		s.start()
	}
	for _, e := range f.entries {
		f.startEntry(e)
	}
}

func (f *fleet) startEntry(e *entry) {
	e.start()
	(&plannerLoop{entry: e, store: f.store, planner: planner.New(region)}).start()
	f.relay(e)
}

// relay periodically reads an object from the store and relays the entry's plan
// to the sidecars.
func (f *fleet) relay(e *entry) {
	f.runOn(&e.process, f.randomDuration(200*time.Millisecond, time.Second), func() {
		name := lo.Ternary(f.chance(0.5), plan.ObjectName(region), "fleetconfig")
		f.store.get(&e.process, name, func(o sharedstate.Object, err error) {
			if err == nil && o.Version > 0 {
				e.offer(o)
			}
		})
		for _, s := range f.sidecars {
			if c := e.conn(s); c != nil {
				f.relayPlan(c, e.objects)
			}
		}
		f.relay(e)
	})
}

// relayPlan sends a sidecar the plan that an entry holds, or sometimes an object
// that has been replaced in the store.
func (f *fleet) relayPlan(c *conn, objects *member.Objects) {
	o := objects.Get(plan.ObjectName(region))
	if f.chance(0.2) && len(f.store.replaced) > 0 {
		o = f.store.replaced[f.rng.IntN(len(f.store.replaced))]
		f.Faults["stale relay"]++
	}
	if o.Version > 0 {
		c.sendToSidecar(func() { c.sidecar.offer(o) })
	}
}

func (f *fleet) connsOf(s *sidecar) []*conn {
	conns := []*conn{}
	for _, e := range f.entries {
		for _, c := range sortedConns(e.openConns) {
			if c.sidecar == s {
				conns = append(conns, c)
			}
		}
	}
	return conns
}

// generateLoad sends requests until the end of the fault phase.
func (f *fleet) generateLoad() {
	if f.faultsEnded {
		return
	}
	f.newRequest()
	f.after(time.Duration(f.rng.ExpFloat64()*float64(f.meanRequestInterval)), f.generateLoad)
}

func (f *fleet) newRequest() {
	req := callerRequest{budget: f.randomDuration(300*time.Millisecond, f.maxBudget)}
	switch kind := f.rng.IntN(10); {
	case kind < 4:
		req.generate, req.idempotent = true, true
	case kind < 7:
		req.key = fmt.Sprintf("key-%d", f.Requests)
	case kind < 9:
	default:
		req.idempotent = true
	}
	f.sendRequest(req, 0)
}

// sendRequest sends a request through a random entry. A caller with an idempotency
// key retries, through any entry, up to maxRetries times until it receives a
// complete answer.
func (f *fleet) sendRequest(req callerRequest, retries int) {
	req.id = f.newID()
	f.Requests++
	running := lo.Filter(f.entries, func(e *entry, _ int) bool { return e.up && !f.now.Before(e.pausedUntil) })
	if len(running) == 0 {
		return
	}
	running[f.rng.IntN(len(running))].begin(req, func(res *result) {
		f.recordOutcome(req, res)
		if req.key != "" && retries < maxRetries && (res == nil || !res.complete) {
			f.after(f.randomDuration(100*time.Millisecond, 3*time.Second), func() { f.sendRequest(req, retries+1) })
		}
	})
}

// newID draws a request id.
func (f *fleet) newID() uuid.UUID {
	var id uuid.UUID
	for i := range id {
		id[i] = byte(f.rng.Uint32())
	}
	return id
}

// checkRepaired checks that the fleet has repaired itself and leaks nothing.
func (f *fleet) checkRepaired() {
	for _, s := range f.sidecars {
		f.checkInvariant(s.requests.Active() == 0, "self-repair", "%s still has %d requests: %+v", s.name, s.requests.Active(), s.requests.Dump(f.now))
		f.checkInvariant(s.requests.Admitting(), "self-repair", "%s does not admit: %+v", s.name, s.requests.Dump(f.now))
		f.checkInvariant(len(s.streams) == 0, "self-repair", "%s leaks %d streams", s.name, len(s.streams))
		f.checkInvariant(len(s.pendingClaims) == 0, "self-repair", "%s leaks %d claims", s.name, len(s.pendingClaims))
	}
	f.checkConfigApplied()
	for _, e := range f.engines {
		f.checkInvariant(len(e.running) == 0, "self-repair", "%s still runs %d requests", e.name, len(e.running))
	}
	for _, e := range f.entries {
		f.checkInvariant(len(e.calls) == 0, "self-repair", "%s still has %d calls", e.name, len(e.calls))
	}
	f.checkSlots()
}

// checkConfigApplied checks that all engines have the configuration in the store.
func (f *fleet) checkConfigApplied() {
	config := fleetconfig.Config{}
	_ = json.Unmarshal(f.store.objects[fleetconfig.ObjectName].Value, &config)
	if config.Defaults.Weights == nil {
		return
	}
	for _, e := range f.engines {
		f.checkInvariant(e.state.Applied.Weights == *config.Defaults.Weights, "accepted configuration is in force",
			"%s has weights %s, not %s", e.name, e.state.Applied.Weights, *config.Defaults.Weights)
	}
}

// checkSlots checks that each key slot is owned by exactly one sidecar.
func (f *fleet) checkSlots() {
	for n := range keySlotCount {
		owners := lo.Filter(f.sidecars, func(s *sidecar, _ int) bool { return s.slots != nil && s.slots[n].Owned() })
		f.checkInvariant(len(owners) == 1, "self-repair", "slot %d has %d owners", n, len(owners))
	}
}

// Summary returns the report on one line.
func (r Report) Summary() string {
	state := "held"
	if r.Violation != "" {
		state = "BROKEN: " + r.Violation
	}
	return fmt.Sprintf("seed %d: %s; %d steps, %d requests, %d runs, %d orders, %d edits, %d checks; faults %s; verdicts %s",
		r.Seed, state, r.Steps, r.Requests, r.Runs, r.Orders, r.Edits, r.Checks, counts(r.Faults), counts(r.Verdicts))
}

func counts(m map[string]int) string {
	parts := lo.Map(sortedBy(lo.Keys(m), func(k string) string { return k }), func(k string, _ int) string {
		return fmt.Sprintf("%s=%d", k, m[k])
	})
	return strings.Join(parts, " ")
}
