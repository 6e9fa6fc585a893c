package soak

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/plan"
	"pistachioroad.dev/pistachioroad/internal/planner"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const region = "seoul"

// plannerLoop runs the planner of an entry. All entries plan concurrently here, as
// when a lease expires while its holder is paused: safety must not depend on the
// lease.
type plannerLoop struct {
	entry   *entry
	store   *store
	planner *planner.Planner
	base    sharedstate.Object
}

func (p *plannerLoop) start() {
	sim := p.entry.sim
	sim.runOn(&p.entry.process, sim.randomDuration(200*time.Millisecond, 900*time.Millisecond), func() {
		p.planOnce()
		p.start()
	})
}

func (p *plannerLoop) planOnce() {
	if p.base.Name == "" {
		p.store.get(&p.entry.process, plan.ObjectName(region), func(o sharedstate.Object, err error) {
			if err == nil {
				p.base = o
				p.entry.offer(o)
			}
		})
		return
	}
	view := p.view()
	next, changes := p.planner.Propose(p.entry.sim.now, view)
	if p.entry.sim.chance(0.2) && !p.entry.sim.faultsEnded {
		changes = append(changes, shiftRole(p.entry.sim, next)...)
	}
	if len(changes) == 0 {
		return
	}
	next.WriteID = sharedstate.NewWriteID()
	data, err := json.Marshal(next)
	if err != nil {
		panic(err)
	}
	base := p.base
	p.base = sharedstate.Object{}
	p.store.put(&p.entry.process, base.Name, base.Version, data, func(version uint64, err error) {
		if err != nil {
			p.entry.sim.Faults["plan write failed"]++
			return
		}
		p.base = sharedstate.Object{Name: base.Name, Version: version, Value: data}
		p.entry.offer(p.base)
	})
}

// shiftRole changes the role of a random engine, as the planner does under load.
func shiftRole(sim *simulation, p plan.Plan) []planner.Change {
	if len(p.Engines) == 0 {
		return nil
	}
	names := sortedBy(lo.Keys(p.Engines), func(name string) string { return name })
	name := names[sim.rng.IntN(len(names))]
	row := p.Engines[name]
	row.Generation++
	row.Role = lo.Ternary(row.Role == engine.RoleMixed, engine.RoleDecode, engine.RoleMixed)
	p.Engines[name] = row
	return []planner.Change{{Subject: name, Decision: "role"}}
}

// view returns the state of the fleet with the fleet config that the entry holds.
func (p *plannerLoop) view() planner.View {
	view := planner.View{
		Reports: map[string]planner.LoadReport{},
		Slots:   map[string]int{serviceHolds: keySlotCount},
	}
	_ = json.Unmarshal(p.base.Value, &view.Plan)
	_ = json.Unmarshal(p.entry.objects.Get(fleetconfig.ObjectName).Value, &view.Config)
	for _, s := range p.entry.sidecars {
		vm := sharedstate.VM{Name: s.name, Kind: sharedstate.VMBackend, Region: region, Service: serviceHolds}
		if s.engine != nil {
			vm.Service = sharedstate.ServiceModels
			applied := s.engine.state.Applied
			view.Reports[s.name] = planner.LoadReport{At: p.entry.sim.now, Load: &wire.Load{
				Role: string(applied.Role), Models: []string{applied.Model}, Weights: applied.Weights,
				Generation: applied.Generation, Admitting: s.requests.Admitting(),
			}}
		}
		vm.Draining = p.entry.sim.leaving[s.name]
		view.VMs = append(view.VMs, vm)
	}
	return view
}

// edit is an operator's change of the fleet config, pursued until its outcome is
// certain.
type edit struct {
	sim   *simulation
	entry *entry
	store *store
	write *sharedstate.Write
	name  string
}

// startEdit sets the default weights, which changes every engine.
func startEdit(sim *simulation, via *entry, s *store) {
	sim.Edits++
	name := fmt.Sprintf("edit %d", sim.Edits)
	s.get(&via.process, fleetconfig.ObjectName, func(o sharedstate.Object, err error) {
		if err != nil {
			return
		}
		config := fleetconfig.Config{}
		_ = json.Unmarshal(o.Value, &config)
		id := sharedstate.NewWriteID()
		weights := fmt.Sprint(sim.Edits)
		config.WriteID = id
		config.Defaults.Weights = &weights
		config.History = append(config.History, fleetconfig.Edit{What: name})
		data, err := json.Marshal(config)
		if err != nil {
			panic(err)
		}
		e := &edit{sim: sim, entry: via, store: s, name: name}
		e.write = sharedstate.NewWrite(fleetconfig.ObjectName, o.Version, data, id)
		e.advance()
	})
}

func (e *edit) advance() {
	switch e.write.NextCall() {
	case sharedstate.CallGet:
		e.store.get(&e.entry.process, e.write.Name, func(o sharedstate.Object, err error) {
			e.write.GetDone(o, err)
			e.sim.runOn(&e.entry.process, 100*time.Millisecond, e.advance)
		})
	case sharedstate.CallPut:
		e.store.put(&e.entry.process, e.write.Name, e.write.BaseVersion, e.write.Value, func(version uint64, err error) {
			e.write.PutDone(version, err)
			e.sim.runOn(&e.entry.process, 100*time.Millisecond, e.advance)
		})
	default:
		e.sim.editOutcomes[e.name] = e.write.Outcome()
		e.sim.Outcomes["edit "+e.write.Outcome().String()]++
		if e.write.Outcome() == sharedstate.Applied {
			e.entry.offer(e.write.Object())
		}
	}
}

// checkEdits compares the outcomes reported to operators with the history in the
// store. A superseded edit may have been active before, so either is correct.
func (sim *simulation) checkEdits(s *store) {
	config := fleetconfig.Config{}
	_ = json.Unmarshal(s.objects[fleetconfig.ObjectName].Value, &config)
	stored := map[string]bool{}
	for _, e := range config.History {
		sim.checkInvariant(!stored[e.What], "an edit is made once", "%s", e.What)
		stored[e.What] = true
	}
	for name, outcome := range sim.editOutcomes {
		switch outcome {
		case sharedstate.Applied:
			sim.checkInvariant(stored[name], "accepted configuration never reverts", "%s was applied but is not in the history", name)
		case sharedstate.NotApplied:
			sim.checkInvariant(!stored[name], "a refused edit has no effect", "%s was not applied but is in the history", name)
		}
	}
}
