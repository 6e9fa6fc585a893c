// Package planner decides what each engine of a region is to be and which
// sidecar owns which key slot.
//
// It proposes; only the conditional update of the plan object makes a proposal
// the plan. A planner that lost its authority during a pause therefore changes
// nothing: its update is made on a version that is no longer there.
package planner

import (
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/decide/shift"
	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/plan"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	// forgetAfter is how long a backend server is gone from the VM list before
	// its row is removed. The list lags and can be short for a moment.
	forgetAfter = 5 * time.Minute
	// freshFor is how long a report counts as the present. Changing roles on
	// older ones would answer a mix that may be over.
	freshFor = 10 * time.Second
	// largestChangingShare bounds the engines of one role that a rollout of
	// weights takes away at once: a larger part would be missed.
	largestChangingShare = 0.25
	// rolloutInterval staggers loads of weights: the weight store is
	// rate-limited, and engines that load at once all load slowly.
	rolloutInterval = 5 * time.Second
)

// LoadReport is what a sidecar last said of its backend server.
type LoadReport struct {
	At   time.Time
	Load *wire.Load
}

// Picture is what a Planner goes by. Plan is the one in force.
type View struct {
	VMs    []sharedstate.VM
	Config fleetconfig.Config
	Plan   plan.Plan
	// Reports is keyed by the name of the backend server.
	Reports map[string]LoadReport
	// Demand is the work offered for each model, also what was refused.
	Demand map[string]shift.Demand
	// Slots has the number of key slots of each plain service.
	Slots map[string]int
}

// Change is one thing that a proposal changes, for the decision log.
type Change struct {
	Subject  string
	Decision string
	Reason   string
}

// Planner proposes plans for one region. Its methods are for one goroutine.
type Planner struct {
	region  string
	models  map[string]*modelShift
	goneAt  map[string]time.Time
	since   map[string]time.Time
	rollout time.Time
}

// New returns a Planner that has seen nothing yet.
func New(region string) *Planner {
	return &Planner{
		region: region,
		models: map[string]*modelShift{},
		goneAt: map[string]time.Time{},
		since:  map[string]time.Time{},
	}
}

// Propose returns the plan that should follow p.Plan and what it changes. With
// no changes the two are equal and nothing is to be written.
func (pl *Planner) Propose(now time.Time, p View) (plan.Plan, []Change) {
	next := p.Plan.Clone()
	next.Region = pl.region
	if next.Engines == nil {
		next.Engines = map[string]plan.Engine{}
	}
	draft := &draft{now: now, picture: p, plan: next, engines: enginesOf(p.VMs, pl.region)}
	pl.forgetGone(draft)
	pl.addNew(draft)
	pl.followConfig(draft)
	pl.shiftRoles(draft)
	draft.assignSlots(pl.region)
	checkGenerations(p.Plan, draft.plan)
	return draft.plan, draft.changes
}

// draft is a proposal that is being made.
type draft struct {
	now     time.Time
	picture View
	plan    plan.Plan
	changes []Change
	// engines are the VMs of the region with a model engine, by name.
	engines map[string]sharedstate.VM
}

func (d *draft) note(subject, decision, why string) {
	d.changes = append(d.changes, Change{Subject: subject, Decision: decision, Reason: why})
}

// set changes a row and raises its generation.
func (d *draft) set(name string, row plan.Engine, decision string) {
	row.Generation = d.plan.Engines[name].Generation + 1
	d.plan.Engines[name] = row
	d.note(name, fmt.Sprintf("generation %d: %s", row.Generation, decision), row.Reason)
}

func enginesOf(vms []sharedstate.VM, region string) map[string]sharedstate.VM {
	return lo.KeyBy(lo.Filter(vms, func(vm sharedstate.VM, _ int) bool {
		return vm.Kind == sharedstate.VMBackend && vm.Region == region && vm.Service == sharedstate.ServiceModels
	}), func(vm sharedstate.VM) string { return vm.Name })
}

// forgetGone removes rows of backend servers that left. Their generations stay
// below the floor, so that one that comes back is never ordered with a fencing
// token that its engine has seen.
func (pl *Planner) forgetGone(d *draft) {
	if len(d.picture.VMs) == 0 {
		return
	}
	for _, name := range sortedKeys(d.plan.Engines) {
		if _, ok := d.engines[name]; ok {
			delete(pl.goneAt, name)
			continue
		}
		if _, ok := pl.goneAt[name]; !ok {
			pl.goneAt[name] = d.now
		}
		if d.now.Sub(pl.goneAt[name]) < forgetAfter {
			continue
		}
		d.plan.GenerationFloor = max(d.plan.GenerationFloor, d.plan.Engines[name].Generation)
		delete(d.plan.Engines, name)
		delete(pl.goneAt, name)
		delete(pl.since, name)
		d.note(name, "row removed", "gone from the VM list")
	}
}

// addNew adopts engines as they are: a row that says what the engine already
// is costs no change.
func (pl *Planner) addNew(d *draft) {
	for name := range d.engines {
		report, ok := d.fresh(name)
		_, known := d.plan.Engines[name]
		if known || !ok || len(report.GetModels()) == 0 || report.GetRole() == "" {
			continue
		}
		d.plan.Engines[name] = plan.Engine{
			Generation: d.firstGeneration(report),
			Role:       engine.Role(report.GetRole()),
			Model:      report.GetModels()[0],
			Weights:    report.GetWeights(),
			Adapters:   report.GetAdapters(),
			Reason:     "adopted as it was found",
		}
		pl.since[name] = d.now
		d.note(name, "row added", "new in the VM list")
	}
}

// firstGeneration returns the generation of a new row. An engine that was never
// ordered begins at 0 and needs no order; any other begins above all that its
// name has seen, for one generation must not mean two things.
func (d *draft) firstGeneration(report *wire.Load) uint64 {
	seen := max(d.plan.GenerationFloor, report.GetGeneration())
	if seen == 0 {
		return 0
	}
	return seen + 1
}

// followConfig rolls out weights and adapters that operators set, a bounded
// part of a role at a time.
func (pl *Planner) followConfig(d *draft) {
	for _, name := range sortedKeys(d.plan.Engines) {
		vm, ok := d.engines[name]
		row := d.plan.Engines[name]
		wanted, differs := d.wanted(vm, row)
		if !ok || !differs || !pl.mayRollOut(d, row) {
			continue
		}
		wanted.Reason = "fleet config: weights or adapters"
		d.set(name, wanted, "weights "+wanted.Weights)
		pl.rollout = d.now
	}
}

// wanted returns the row with the weights and adapters of the fleet config.
func (d *draft) wanted(vm sharedstate.VM, row plan.Engine) (plan.Engine, bool) {
	values := d.values(vm, row.Model)
	wanted := row
	if values.Weights != nil {
		wanted.Weights = *values.Weights
	}
	if values.Adapters != nil {
		wanted.Adapters = values.Adapters
	}
	differs := wanted.Weights != row.Weights || !slices.Equal(wanted.Adapters, row.Adapters)
	return wanted, differs
}

func (d *draft) values(vm sharedstate.VM, model string) fleetconfig.Values {
	return d.picture.Config.For(fleetconfig.Scope{
		Service:       vm.Service,
		Model:         model,
		DataCentre:    vm.DataCentre,
		BackendServer: vm.Name,
	}, d.now)
}

func (pl *Planner) mayRollOut(d *draft, row plan.Engine) bool {
	if d.now.Sub(pl.rollout) < rolloutInterval {
		return false
	}
	peers, changing := 0, 0
	for name, other := range d.plan.Engines {
		if other.Model != row.Model || other.Role != row.Role {
			continue
		}
		peers++
		if d.changing(name) {
			changing++
		}
	}
	return changing == 0 || float64(changing+1) <= largestChangingShare*float64(peers)
}

// changing reports whether the engine is not yet what its row says, or
// silent: one that cannot be seen is not counted on.
func (d *draft) changing(name string) bool {
	report, ok := d.fresh(name)
	row := d.plan.Engines[name]
	if !ok {
		return true
	}
	return engine.Role(report.GetRole()) != row.Role ||
		report.GetWeights() != row.Weights ||
		!report.GetAdmitting()
}

// fresh returns the report of a backend server that was heard from lately.
func (d *draft) fresh(name string) (*wire.Load, bool) {
	report, ok := d.picture.Reports[name]
	if !ok || report.Load == nil || d.now.Sub(report.At) > freshFor {
		return nil, false
	}
	return report.Load, true
}

// checkGenerations asserts that no row goes back: a lower generation would be
// refused by an engine that checks it, and taken by one that does not.
func checkGenerations(before, after plan.Plan) {
	for name, row := range after.Engines {
		invariant.Check(row.Generation >= before.Engines[name].Generation, "generations only rise",
			"%s from %d to %d", name, before.Engines[name].Generation, row.Generation)
	}
	for name, row := range before.Engines {
		_, kept := after.Engines[name]
		invariant.Check(kept || after.GenerationFloor >= row.Generation, "generations only rise",
			"%s removed at %d, floor %d", name, row.Generation, after.GenerationFloor)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := lo.Keys(m)
	slices.Sort(keys)
	return keys
}
