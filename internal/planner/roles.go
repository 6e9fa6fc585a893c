package planner

import (
	"math"
	"time"

	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/decide/shift"
	"pistachioroad.dev/pistachioroad/internal/engine"
)

// modelRoles is the state of the role decision for one model.
type modelRoles struct {
	config  shift.Config
	planner *shift.Planner
}

// shiftRoles applies the role changes for each model.
func (pl *Planner) shiftRoles(p *proposal) {
	byModel := lo.GroupBy(sortedKeys(p.plan.Engines), func(name string) string {
		return p.plan.Engines[name].Model
	})
	for _, model := range sortedKeys(byModel) {
		pl.shiftModel(p, model, byModel[model])
	}
}

func (pl *Planner) shiftModel(p *proposal, model string, names []string) {
	m := pl.model(p, model)
	fleet, recent := pl.fleetOf(p, model, names)
	// Without recent reports of more than half of the engines, the demand is
	// unknown and a change would be a guess.
	if 2*recent <= len(names) {
		return
	}
	for _, change := range m.planner.Step(p.now, fleet).Changes {
		row := p.plan.Engines[change.Name]
		row.Role = engine.Role(change.To)
		row.Reason = change.Reason
		p.setRow(change.Name, row, "role "+string(change.To))
		pl.roleSince[change.Name] = p.now
	}
}

// model returns the state of the role decision for a model. It is reset if
// operators change its settings.
func (pl *Planner) model(p *proposal, model string) *modelRoles {
	config := p.shiftConfig(model)
	m := pl.models[model]
	if m == nil {
		m = &modelRoles{}
		pl.models[model] = m
	}
	if m.planner == nil || m.config != config {
		m.config = config
		m.planner = shift.New(config)
	}
	return m
}

// fleetOf returns the input of the role decision, and the number of engines with a
// recent report.
func (pl *Planner) fleetOf(p *proposal, model string, names []string) (shift.Fleet, int) {
	fleet, recent := shift.Fleet{Demand: p.view.Demand[model]}, 0
	for _, name := range names {
		row := p.plan.Engines[name]
		vm, present := p.engines[name]
		if _, ok := pl.roleSince[name]; !ok {
			// A planner that has just acquired the lease does not know when the
			// role was set, so the dwell time starts now.
			pl.roleSince[name] = p.now
		}
		report, ok := p.recentReport(name)
		drained := present && lo.FromPtr(p.configValues(vm, row.Model).Drained)
		fleet.Engines = append(fleet.Engines, shift.Engine{
			Name:         name,
			Role:         shift.Role(row.Role),
			Movable:      ok && present && !vm.Draining && !drained,
			Changing:     p.changing(name),
			RoleSince:    pl.roleSince[name],
			QueuedTokens: int(report.GetQueuedTokens()),
		})
		if !ok {
			continue
		}
		recent++
		fleet.Demand.PrefillBacklog += float64(report.GetQueuedTokens())
		fleet.Capacity.PrefillTokens += report.GetPrefillRate()
		fleet.Capacity.DecodeTokens += report.GetDecodeRate()
	}
	fleet.Capacity.PrefillTokens /= math.Max(1, float64(recent))
	fleet.Capacity.DecodeTokens /= math.Max(1, float64(recent))
	return fleet, recent
}

// shiftConfig returns the operators' settings for the role decision of a model.
func (p *proposal) shiftConfig(model string) shift.Config {
	values := p.view.Config.EffectiveValues(modelScope(model), p.now)
	return shift.Config{
		RoleChangeCost: lo.FromPtr(values.RoleChangeCost),
		MinDwell:       time.Duration(lo.FromPtr(values.ChangeDwell)),
		MaxInFlight:    lo.FromPtr(values.MaxChangesInFlight),
	}
}
