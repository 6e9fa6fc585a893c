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

// fleet gives the duties of this entry what the membership knows, each in the
// form that it asks for: view.Source and links.Objects.
type fleet struct {
	*member.Member
	settings settings.Settings
	current  atomic.Pointer[adapted]
}

// adapted is the View of a Snapshot.
type adapted struct {
	snapshot *member.Snapshot
	view     *view.View
}

func newFleet(m *member.Member, s settings.Settings) *fleet {
	return &fleet{Member: m, settings: s}
}

// View implements view.Source. It returns the same View until the picture of
// the fleet changes.
func (f *fleet) View() *view.View {
	snapshot := f.Snapshot()
	if a := f.current.Load(); a != nil && a.snapshot == snapshot {
		return a.view
	}
	v := &view.View{VMs: snapshot.VMs, Config: snapshot.Config}
	if snapshot.PlanVersion > 0 {
		v.Plan = &snapshot.Plan
	}
	f.current.Store(&adapted{snapshot: snapshot, view: v})
	return v
}

// fleetDump is what the process knows of the fleet, for people.
type fleetDump struct {
	VMs       int               `json:"vms"`
	ListAge   string            `json:"vm_list_age"`
	Versions  map[string]uint64 `json:"versions"`
	Ready     bool              `json:"ready"`
	Confirmed bool              `json:"confirmed"`
}

// Dump returns what the process knows of the fleet.
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

// planning is what the planner goes by. It implements planner.Source.
type planning struct {
	*fleet
	router *router.Router
}

// pictureTimeout bounds the wait for the router's reports.
const pictureTimeout = time.Second

// Picture implements planner.Source.
func (p *planning) View() planner.View {
	ctx, cancel := context.WithTimeout(context.Background(), pictureTimeout)
	defer cancel()
	snapshot := p.Snapshot()
	picture := planner.View{
		VMs:     snapshot.VMs,
		Config:  snapshot.Config,
		Plan:    snapshot.Plan,
		Reports: map[string]planner.LoadReport{},
		Slots:   map[string]int{},
	}
	for name, service := range p.settings.Entry.Services {
		if service.Slots > 0 {
			picture.Slots[name] = service.Slots
		}
	}
	// Without reports the planner assigns no roles, but still key slots.
	loads, _ := p.router.LoadReports(ctx)
	for name, l := range loads {
		if l.Load != nil {
			picture.Reports[name] = planner.LoadReport{At: l.ReceivedAt, Load: l.Load}
		}
	}
	picture.Demand, _ = p.router.Demand(ctx)
	return picture
}

// plannerCandidates is how many entries of a region may hold the planner's
// lease: enough to survive two at once, few enough that reading it costs the
// store nothing.
const plannerCandidates = 3

// Candidate implements planner.Source.
func (p *planning) LeaseCandidate() bool {
	process := p.settings.Process
	names := []string{}
	for _, vm := range p.Snapshot().VMs {
		if vm.Kind == sharedstate.VMEntry && vm.Region == process.Region && !vm.Leaving {
			names = append(names, vm.Name)
		}
	}
	candidates := member.Choose(names, "planner/"+process.Region, plannerCandidates)
	return slices.Contains(candidates, process.Name)
}
