package planner

import (
	"math"
	"time"

	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/decide/shift"
	"pistachioroad.dev/pistachioroad/internal/engine"
)

// modelShift decides the roles of one model's engines.
type modelShift struct {
	config  shift.Config
	planner *shift.Planner
}

// shiftRoles asks the role decision of each model.
func (pl *Planner) shiftRoles(d *draft) {
	byModel := lo.GroupBy(sortedKeys(d.plan.Engines), func(name string) string {
		return d.plan.Engines[name].Model
	})
	for _, model := range sortedKeys(byModel) {
		pl.shiftModel(d, model, byModel[model])
	}
}

func (pl *Planner) shiftModel(d *draft, model string, names []string) {
	m := pl.model(d, model)
	fleet, fresh := pl.fleet(d, model, names)
	// Half of the fleet unseen: the demand is not known, and a change made on
	// it would be a guess.
	if 2*fresh <= len(names) {
		return
	}
	for _, change := range m.planner.Step(d.now, fleet).Changes {
		row := d.plan.Engines[change.Name]
		row.Role = engine.Role(change.To)
		row.Reason = change.Reason
		d.set(change.Name, row, "role "+string(change.To))
		pl.since[change.Name] = d.now
	}
}

// model returns the state of a model's decision. It begins anew when operators
// change its settings.
func (pl *Planner) model(d *draft, model string) *modelShift {
	config := d.shiftConfig(model)
	m := pl.models[model]
	if m == nil {
		m = &modelShift{}
		pl.models[model] = m
	}
	if m.planner == nil || m.config != config {
		m.config = config
		m.planner = shift.New(config)
	}
	return m
}

func (pl *Planner) fleet(d *draft, model string, names []string) (shift.Fleet, int) {
	fleet, fresh := shift.Fleet{Demand: d.picture.Demand[model]}, 0
	for _, name := range names {
		row := d.plan.Engines[name]
		vm, present := d.engines[name]
		if _, ok := pl.since[name]; !ok {
			// A planner that has just taken over does not know how long the
			// role is held, and counts from now.
			pl.since[name] = d.now
		}
		report, ok := d.fresh(name)
		drained := present && lo.FromPtr(d.values(vm, row.Model).Drained)
		fleet.Engines = append(fleet.Engines, shift.Engine{
			Name:         name,
			Role:         shift.Role(row.Role),
			Movable:      ok && present && !vm.Leaving && !drained,
			Changing:     d.changing(name),
			RoleSince:    pl.since[name],
			QueuedTokens: int(report.GetQueuedTokens()),
		})
		if !ok {
			continue
		}
		fresh++
		fleet.Demand.PrefillBacklog += float64(report.GetQueuedTokens())
		fleet.Capacity.PrefillTokens += report.GetPrefillRate()
		fleet.Capacity.DecodeTokens += report.GetDecodeRate()
	}
	fleet.Capacity.PrefillTokens /= math.Max(1, float64(fresh))
	fleet.Capacity.DecodeTokens /= math.Max(1, float64(fresh))
	return fleet, fresh
}

// shiftConfig takes the operators' settings of the decision.
func (d *draft) shiftConfig(model string) shift.Config {
	values := d.picture.Config.For(fleetScope(model), d.now)
	return shift.Config{
		RoleChangeCost: lo.FromPtr(values.RoleChangeCost),
		Dwell:          time.Duration(lo.FromPtr(values.ChangeDwell)),
		MaxInFlight:    lo.FromPtr(values.MaxChangesInFlight),
	}
}
