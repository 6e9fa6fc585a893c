package entry

import (
	"context"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/entry/links"
	"pistachioroad.dev/pistachioroad/internal/entry/router"
	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/member"
	"pistachioroad.dev/pistachioroad/internal/operator"
	"pistachioroad.dev/pistachioroad/internal/planner"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// operatorFleet provides the fleet's state to the operator API. It implements
// operator.Fleet.
type operatorFleet struct {
	fleet   *fleet
	router  *router.Router
	pool    *links.Pool
	client  *sharedstate.Client
	planner *planner.Duty
}

// Config implements operator.Fleet.
func (o *operatorFleet) Config() sharedstate.Object {
	for _, object := range o.fleet.Snapshot().Newer(nil) {
		if object.GetName() == fleetconfig.ObjectName {
			return sharedstate.Object{Name: object.GetName(), Version: object.GetVersion(), Value: object.GetValue()}
		}
	}
	return sharedstate.Object{Name: fleetconfig.ObjectName}
}

// Accept implements operator.Fleet.
func (o *operatorFleet) Accept(object sharedstate.Object) { o.fleet.Offer(object) }

// Peers implements operator.Fleet.
func (o *operatorFleet) Peers(context.Context) ([]operator.Peer, error) {
	peers := []operator.Peer{}
	for _, vm := range o.fleet.Snapshot().VMs {
		if vm.Name == o.fleet.settings.Process.Name {
			continue
		}
		peers = append(peers, operator.Peer{
			Name:       vm.Name,
			Address:    vm.OperatorAddress,
			DataCentre: vm.DataCentre,
			Service:    vm.Service,
		})
	}
	return peers, nil
}

// Status implements operator.Fleet.
func (o *operatorFleet) Status(ctx context.Context) (operator.Status, error) {
	loads, err := o.router.LoadReports(ctx)
	if err != nil {
		return operator.Status{}, eris.Wrap(err, "status")
	}
	now := time.Now()
	snapshot := o.fleet.Snapshot()
	status := operator.Status{
		Entry:     o.fleet.settings.Process.Name,
		At:        now.UTC(),
		Planner:   o.plannerHolder(ctx),
		Processes: []operator.ProcessStatus{},
		Engines:   []operator.EngineStatus{},
		Changes:   []operator.PendingChange{},
		Store:     o.storeStatus(now),
		VMListAge: fleetconfig.Duration(snapshot.ListAge(now)),
	}
	for _, vm := range snapshot.VMs {
		status.Processes = append(status.Processes, o.processStatus(now, snapshot, vm, loads[vm.Name]))
		if vm.Kind != sharedstate.VMBackend || vm.Service != sharedstate.ServiceModels {
			continue
		}
		engine := engineStatus(snapshot, vm, loads[vm.Name])
		status.Engines = append(status.Engines, engine)
		if engine.Changing {
			status.Changes = append(status.Changes, pendingChange(snapshot, engine))
		}
	}
	return status, nil
}

func (o *operatorFleet) plannerHolder(ctx context.Context) string {
	state, ok := o.planner.Dump(ctx).(*planner.State)
	if !ok || state == nil {
		return ""
	}
	return state.Holder
}

func (o *operatorFleet) storeStatus(now time.Time) operator.StoreStatus {
	health := o.client.Health()
	status := operator.StoreStatus{Healthy: health.Up}
	if !health.LastAnswer.IsZero() {
		status.LastSuccess = fleetconfig.Duration(now.Sub(health.LastAnswer))
	}
	if !health.Up {
		status.Error = "no answer since " + health.Since.UTC().Format(time.RFC3339)
	}
	return status
}

func (o *operatorFleet) processStatus(now time.Time, snapshot *member.Snapshot, vm sharedstate.VM, load router.LoadReport) operator.ProcessStatus {
	p := operator.ProcessStatus{
		Name:       vm.Name,
		Kind:       "sidecar",
		DataCentre: vm.DataCentre,
		Service:    vm.Service,
		State:      operator.ProcessUnlinked,
	}
	if vm.Kind == sharedstate.VMEntry {
		p.Kind = "entry"
	}
	if vm.Name == o.fleet.settings.Process.Name {
		p.State = operator.ProcessUp
		p.Versions = snapshot.Versions().GetVersions()
	}
	if peer, linked := o.pool.Peer(vm.Name); linked {
		p.State = processState(load.LinkState)
		p.Versions = peer.Versions
		if !peer.LastFrameAt.IsZero() {
			p.LastHeard = fleetconfig.Duration(now.Sub(peer.LastFrameAt))
		}
	}
	if vm.Draining {
		p.State = operator.ProcessLeaving
	}
	if load.Load != nil {
		p.Work = &operator.WorkStatus{
			Running:   int(load.Load.GetRunning()),
			Queued:    int(load.Load.GetQueued()),
			Admitting: load.Load.GetAdmitting(),
			Drained:   load.Drained,
		}
	}
	return p
}

func processState(s links.State) operator.ProcessState {
	switch s {
	case links.Up:
		return operator.ProcessUp
	case links.Draining:
		return operator.ProcessDraining
	default:
		return operator.ProcessSilent
	}
}

func engineStatus(snapshot *member.Snapshot, vm sharedstate.VM, load router.LoadReport) operator.EngineStatus {
	e := operator.EngineStatus{
		BackendServer: vm.Name,
		DataCentre:    vm.DataCentre,
		Drained:       load.Drained,
		Admitting:     load.Load.GetAdmitting(),
		Running:       int(load.Load.GetRunning()),
		Queued:        int(load.Load.GetQueued()),
		Actual: operator.EngineState{
			Generation: load.Load.GetGeneration(),
			Role:       load.Load.GetRole(),
			Weights:    load.Load.GetWeights(),
			Adapters:   load.Load.GetAdapters(),
		},
	}
	if models := load.Load.GetModels(); len(models) > 0 {
		e.Actual.Model = models[0]
	}
	if row, ok := snapshot.Plan.Engines[vm.Name]; ok {
		e.Wanted = operator.EngineState{
			Generation: row.Generation,
			Role:       string(row.Role),
			Model:      row.Model,
			Weights:    row.Weights,
			Adapters:   row.Adapters,
		}
	}
	e.Changing = changing(e)
	return e
}

// changing reports whether the wanted state of an engine differs from the state
// that it reports. Comparing generations would not do: an engine that the plan
// adopted in its existing state has a row but never got an order, and would
// count as changing forever.
func changing(e operator.EngineStatus) bool {
	return e.Wanted.Model != "" && describe(e.Wanted) != describe(e.Actual)
}

func pendingChange(snapshot *member.Snapshot, e operator.EngineStatus) operator.PendingChange {
	return operator.PendingChange{
		BackendServer: e.BackendServer,
		What:          describe(e.Actual) + " -> " + describe(e.Wanted),
		Reason:        snapshot.Plan.Engines[e.BackendServer].Reason,
	}
}

// describe returns role, model, weights and adapters of an engine as one text.
func describe(e operator.EngineState) string {
	parts := append([]string{e.Role, e.Model, e.Weights}, e.Adapters...)
	return strings.Join(lo.Compact(parts), " ")
}
