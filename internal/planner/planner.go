// Package planner decides on the target state of each engine of a region and on
// the sidecar that owns each key slot.
//
// It only makes proposals; a proposal takes effect by a conditional update of the
// plan object. A planner that lost its lease during a pause therefore changes
// nothing: its update fails, because the version that it is based on has been
// replaced.
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
	// removeAfter is how long a backend server must be missing from the VM list
	// before its row is removed. The list lags and can be briefly incomplete.
	removeAfter = 5 * time.Minute
	// maxReportAge is the age up to which a load report counts as current. Role
	// changes based on older ones would follow a demand that may be over.
	maxReportAge = 10 * time.Second
	// maxChangingFraction limits the engines of a role that a rollout of weights
	// makes unavailable concurrently, so that enough capacity remains. One engine
	// at a time is always allowed.
	maxChangingFraction = 0.25
	// rolloutInterval staggers the loading of weights: the weight store is
	// rate-limited, and engines that load concurrently all load slowly.
	rolloutInterval = 5 * time.Second
)

// LoadReport is the last load report of a sidecar on its backend server.
type LoadReport struct {
	At   time.Time
	Load *wire.Load
}

// View is the state of the fleet that a proposal is based on. Plan is the active
// plan.
type View struct {
	VMs    []sharedstate.VM
	Config fleetconfig.Config
	Plan   plan.Plan
	// Reports is keyed by the name of the backend server.
	Reports map[string]LoadReport
	// Demand is the requested work by model, including rejected requests.
	Demand map[string]shift.Demand
	// Slots is the number of key slots by plain service.
	Slots map[string]int
}

// Change is one change of a proposal, for the decision log.
type Change struct {
	Subject  string
	Decision string
	Reason   string
}

// Planner proposes plans for one region. It is not safe for concurrent use.
type Planner struct {
	region       string
	models       map[string]*modelRoles
	missingSince map[string]time.Time
	roleSince    map[string]time.Time
	lastRollout  time.Time
}

// New returns a Planner without history.
func New(region string) *Planner {
	return &Planner{
		region:       region,
		models:       map[string]*modelRoles{},
		missingSince: map[string]time.Time{},
		roleSince:    map[string]time.Time{},
	}
}

// Propose returns the plan that should replace view.Plan, and its changes. Without
// changes the plans are equal and there is nothing to write.
func (pl *Planner) Propose(now time.Time, view View) (plan.Plan, []Change) {
	next := view.Plan.Clone()
	next.Region = pl.region
	if next.Engines == nil {
		next.Engines = map[string]plan.Engine{}
	}
	p := &proposal{now: now, view: view, plan: next, engines: modelEngines(view.VMs, pl.region)}
	pl.removeMissing(p)
	pl.adoptNew(p)
	pl.rollOutConfig(p)
	pl.shiftRoles(p)
	p.assignSlots(pl.region)
	checkGenerations(view.Plan, p.plan)
	return p.plan, p.changes
}

// proposal is a plan under construction.
type proposal struct {
	now     time.Time
	view    View
	plan    plan.Plan
	changes []Change
	// engines has the VMs of the region that run a model engine, by name.
	engines map[string]sharedstate.VM
}

func (p *proposal) addChange(subject, decision, reason string) {
	p.changes = append(p.changes, Change{Subject: subject, Decision: decision, Reason: reason})
}

// setRow replaces a row and increments its generation.
func (p *proposal) setRow(name string, row plan.Engine, decision string) {
	row.Generation = p.plan.Engines[name].Generation + 1
	p.plan.Engines[name] = row
	p.addChange(name, fmt.Sprintf("generation %d: %s", row.Generation, decision), row.Reason)
}

func modelEngines(vms []sharedstate.VM, region string) map[string]sharedstate.VM {
	return lo.KeyBy(lo.Filter(vms, func(vm sharedstate.VM, _ int) bool {
		return vm.Kind == sharedstate.VMBackend && vm.Region == region && vm.Service == sharedstate.ServiceModels
	}), func(vm sharedstate.VM) string { return vm.Name })
}

// removeMissing removes the rows of backend servers that left. It raises the
// floor to their generations, so that the engine of a server that rejoins never
// gets an order with a fencing token that it has already seen.
func (pl *Planner) removeMissing(p *proposal) {
	if len(p.view.VMs) == 0 {
		return
	}
	for _, name := range sortedKeys(p.plan.Engines) {
		if _, ok := p.engines[name]; ok {
			delete(pl.missingSince, name)
			continue
		}
		if _, ok := pl.missingSince[name]; !ok {
			pl.missingSince[name] = p.now
		}
		if p.now.Sub(pl.missingSince[name]) < removeAfter {
			continue
		}
		p.plan.GenerationFloor = max(p.plan.GenerationFloor, p.plan.Engines[name].Generation)
		delete(p.plan.Engines, name)
		delete(pl.missingSince, name)
		delete(pl.roleSince, name)
		p.addChange(name, "row removed", "gone from the VM list")
	}
}

// adoptNew adds rows for new engines in their reported state, which requires no
// change of the engine.
func (pl *Planner) adoptNew(p *proposal) {
	for name := range p.engines {
		report, ok := p.recentReport(name)
		_, known := p.plan.Engines[name]
		if known || !ok || len(report.GetModels()) == 0 || report.GetRole() == "" {
			continue
		}
		p.plan.Engines[name] = plan.Engine{
			Generation: p.firstGeneration(report),
			Role:       engine.Role(report.GetRole()),
			Model:      report.GetModels()[0],
			Weights:    report.GetWeights(),
			Adapters:   report.GetAdapters(),
			Reason:     "adopted as it was found",
		}
		pl.roleSince[name] = p.now
		p.addChange(name, "row added", "new in the VM list")
	}
}

// firstGeneration returns the generation of a new row. It is 0, for which no order
// is needed, if the engine never got an order and the floor is 0. Otherwise it is
// above all earlier ones, as a generation must not stand for two target states.
func (p *proposal) firstGeneration(report *wire.Load) uint64 {
	highest := max(p.plan.GenerationFloor, report.GetGeneration())
	if highest == 0 {
		return 0
	}
	return highest + 1
}

// rollOutConfig rolls out the weights and adapters set by operators, to a limited
// fraction of a role at a time.
func (pl *Planner) rollOutConfig(p *proposal) {
	for _, name := range sortedKeys(p.plan.Engines) {
		vm, ok := p.engines[name]
		row := p.plan.Engines[name]
		configured, differs := p.configured(vm, row)
		if !ok || !differs || !pl.canRollOut(p, row) {
			continue
		}
		configured.Reason = "fleet config: weights or adapters"
		p.setRow(name, configured, "weights "+configured.Weights)
		pl.lastRollout = p.now
	}
}

// configured returns the row with the weights and adapters of the fleet config, and
// whether it differs from the given row.
func (p *proposal) configured(vm sharedstate.VM, row plan.Engine) (plan.Engine, bool) {
	values := p.configValues(vm, row.Model)
	configured := row
	if values.Weights != nil {
		configured.Weights = *values.Weights
	}
	if values.Adapters != nil {
		configured.Adapters = values.Adapters
	}
	differs := configured.Weights != row.Weights || !slices.Equal(configured.Adapters, row.Adapters)
	return configured, differs
}

func (p *proposal) configValues(vm sharedstate.VM, model string) fleetconfig.Values {
	return p.view.Config.EffectiveValues(fleetconfig.Scope{
		Service:       vm.Service,
		Model:         model,
		DataCentre:    vm.DataCentre,
		BackendServer: vm.Name,
	}, p.now)
}

func (pl *Planner) canRollOut(p *proposal, row plan.Engine) bool {
	if p.now.Sub(pl.lastRollout) < rolloutInterval {
		return false
	}
	peers, changing := 0, 0
	for name, other := range p.plan.Engines {
		if other.Model != row.Model || other.Role != row.Role {
			continue
		}
		peers++
		if p.changing(name) {
			changing++
		}
	}
	return changing == 0 || float64(changing+1) <= maxChangingFraction*float64(peers)
}

// changing reports whether the engine has not reached the state of its row, does
// not admit requests or has no recent report. Engines without a recent report do
// not count as available.
func (p *proposal) changing(name string) bool {
	report, ok := p.recentReport(name)
	row := p.plan.Engines[name]
	if !ok {
		return true
	}
	return engine.Role(report.GetRole()) != row.Role ||
		report.GetWeights() != row.Weights ||
		!report.GetAdmitting()
}

// recentReport returns the load report of a backend server unless it is older than
// maxReportAge.
func (p *proposal) recentReport(name string) (*wire.Load, bool) {
	report, ok := p.view.Reports[name]
	if !ok || report.Load == nil || p.now.Sub(report.At) > maxReportAge {
		return nil, false
	}
	return report.Load, true
}

// checkGenerations asserts that no generation decreases. A lower one would be
// rejected by an engine that checks the fencing token, and wrongly accepted by one
// that does not.
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
