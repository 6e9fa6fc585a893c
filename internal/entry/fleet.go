package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"pistachioroad.dev/pistachioroad/internal/entry/router"
	"pistachioroad.dev/pistachioroad/internal/entry/view"
	"pistachioroad.dev/pistachioroad/internal/member"
	"pistachioroad.dev/pistachioroad/internal/planner"
	"pistachioroad.dev/pistachioroad/internal/settings"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// fleet adapts the member's snapshots to the interfaces that the duties of this
// entry use: view.Source and links.Objects.
type fleet struct {
	*member.Member
	settings settings.Settings
	cached   atomic.Pointer[cachedView]
}

// cachedView is the View of a Snapshot.
type cachedView struct {
	snapshot *member.Snapshot
	view     *view.View
}

func newFleet(m *member.Member, s settings.Settings) *fleet {
	return &fleet{Member: m, settings: s}
}

// View implements view.Source. It returns the same View until the snapshot
// changes.
func (f *fleet) View() *view.View {
	snapshot := f.Snapshot()
	if c := f.cached.Load(); c != nil && c.snapshot == snapshot {
		return c.view
	}
	v := &view.View{VMs: snapshot.VMs, Config: snapshot.Config}
	if snapshot.PlanVersion > 0 {
		v.Plan = &snapshot.Plan
	}
	f.cached.Store(&cachedView{snapshot: snapshot, view: v})
	return v
}

// fleetDump is the state of the fleet in the dump for operators.
type fleetDump struct {
	VMs       int               `json:"vms"`
	ListAge   string            `json:"vm_list_age"`
	Versions  map[string]uint64 `json:"versions"`
	Ready     bool              `json:"ready"`
	Confirmed bool              `json:"confirmed"`
}

// Dump returns the last known state of the fleet.
func (f *fleet) Dump(context.Context) any {
	snapshot := f.Snapshot()
	return fleetDump{
		VMs:       len(snapshot.VMs),
		ListAge:   snapshot.ListAge(time.Now()).Round(time.Millisecond).String(),
		Versions:  snapshot.Versions().GetVersions(),
		Ready:     snapshot.Ready,
		Confirmed: snapshot.Confirmed,
	}
}

// Versions implements links.Objects.
func (f *fleet) Versions() *wire.Versions { return f.Snapshot().Versions() }

// Newer implements links.Objects.
func (f *fleet) Newer(peer *wire.Versions) []*wire.Object { return f.Snapshot().Newer(peer) }

// plannerSource is the input of the planner. It implements planner.Source.
type plannerSource struct {
	*fleet
	router *router.Router
}

// loadsTimeout limits the wait for the loads and the demand from the router.
const loadsTimeout = time.Second

// View implements planner.Source. It hides fleet.View, which implements
// view.Source.
func (p *plannerSource) View() planner.View {
	ctx, cancel := context.WithTimeout(context.Background(), loadsTimeout)
	defer cancel()
	snapshot := p.Snapshot()
	input := planner.View{
		VMs:     snapshot.VMs,
		Config:  snapshot.Config,
		Plan:    snapshot.Plan,
		Reports: map[string]planner.LoadReport{},
		Slots:   map[string]int{},
	}
	for name, service := range p.settings.Entry.Services {
		if service.Slots > 0 {
			input.Slots[name] = service.Slots
		}
	}
	// Without reports the planner assigns no roles, but still key slots.
	loads, _ := p.router.LoadReports(ctx)
	for name, l := range loads {
		if l.Load != nil {
			input.Reports[name] = planner.LoadReport{At: l.ReceivedAt, Load: l.Load}
		}
	}
	input.Demand, _ = p.router.Demand(ctx)
	return input
}

// plannerCandidates is how many entries of a region may hold the planner's
// lease: enough to tolerate two concurrent failures, few enough that polling the
// lease adds no noticeable load to the store.
const plannerCandidates = 3

// LeaseCandidate implements planner.Source.
func (p *plannerSource) LeaseCandidate() bool {
	process := p.settings.Process
	names := []string{}
	for _, vm := range p.Snapshot().VMs {
		if vm.Kind == sharedstate.VMEntry && vm.Region == process.Region && !vm.Draining {
			names = append(names, vm.Name)
		}
	}
	candidates := member.RendezvousNodes(names, "planner/"+process.Region, plannerCandidates)
	return slices.Contains(candidates, process.Name)
}
