package planner

import (
	"math"
	"time"

	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/decide/shift"
	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/plan"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// demandWindow smooths the rates of arriving work.
const demandWindow = 5 * time.Second

// modelShift decides the roles of one model's engines.
type modelShift struct {
	config  shift.Config
	planner *shift.Planner
	rates   map[string]*arrivals
}

// arrivals turns a sidecar's counters into smoothed rates, in tokens a second.
type arrivals struct {
	at                     time.Time
	seen                   *wire.Load
	prefill, short, output float64
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
	fleet, fresh := pl.fleet(d, m, names)
	// Half of the fleet unseen: the demand is not known, and a change made on
	// it would be a guess.
	if 2*fresh <= len(names) {
		return
	}
	for _, change := range m.planner.Step(d.now, fleet).Changes {
		row := d.plan.Engines[change.Name]
		row.Role = engine.Role(change.To)
		row.Reason = change.Why
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
		m = &modelShift{rates: map[string]*arrivals{}}
		pl.models[model] = m
	}
	if m.planner == nil || m.config != config {
		m.config = config
		m.planner = shift.New(config)
	}
	return m
}

func (pl *Planner) fleet(d *draft, m *modelShift, names []string) (shift.Fleet, int) {
	fleet, fresh := shift.Fleet{}, 0
	vms := d.engines(pl.region)
	for _, name := range names {
		row := d.plan.Engines[name]
		vm, present := vms[name]
		if _, ok := pl.since[name]; !ok {
			// A planner that has just taken over does not know how long the
			// role is held, and counts from now.
			pl.since[name] = d.now
		}
		report, ok := d.fresh(name)
		drained := present && lo.FromPtr(d.values(vm, row.Model).Drained)
		fleet.Engines = append(fleet.Engines, shift.Engine{
			Name:         name,
			Role:         shiftRole(row.Role),
			Movable:      ok && present && !vm.Leaving && !drained,
			Changing:     d.changing(name),
			Since:        pl.since[name],
			QueuedTokens: int(report.GetQueuedTokens()),
		})
		if !ok {
			continue
		}
		fresh++
		m.add(d.now, name, report, &fleet, row)
	}
	fleet.Capacity.PrefillTokens /= math.Max(1, float64(fresh))
	fleet.Capacity.DecodeTokens /= math.Max(1, float64(fresh))
	return fleet, fresh
}

// add takes one sidecar's report into the demand and the mean capacity.
func (m *modelShift) add(now time.Time, name string, load *wire.Load, fleet *shift.Fleet, row plan.Engine) {
	if m.rates[name] == nil {
		m.rates[name] = &arrivals{}
	}
	rate := m.rates[name]
	rate.observe(now, load)
	fleet.Demand = fleet.Demand.Plus(shift.Demand{
		PrefillTokens:      rate.prefill,
		ShortPrefillTokens: rate.short,
		DecodeTokens:       rate.output,
		PrefillBacklog:     float64(load.GetQueuedTokens()),
	})
	if row.Role == engine.RoleDecode {
		fleet.Demand.DecodeBacklog += float64(load.GetRunningTokens())
	}
	fleet.Capacity.PrefillTokens += load.GetPrefillRate()
	fleet.Capacity.DecodeTokens += load.GetDecodeRate()
}

// observe takes the next counters. Counters that went back belong to a sidecar
// that restarted.
func (a *arrivals) observe(now time.Time, load *wire.Load) {
	dt := now.Sub(a.at).Seconds()
	if a.seen == nil || load.GetArrivedOutputTokens() < a.seen.GetArrivedOutputTokens() {
		a.at, a.seen = now, load
		return
	}
	if dt <= 0 {
		return
	}
	weight := 1 - math.Exp(-dt/demandWindow.Seconds())
	smooth(&a.prefill, weight, rise(load.GetArrivedPrefillTokens(), a.seen.GetArrivedPrefillTokens())/dt)
	smooth(&a.short, weight, rise(load.GetArrivedShortPrefillTokens(), a.seen.GetArrivedShortPrefillTokens())/dt)
	smooth(&a.output, weight, rise(load.GetArrivedOutputTokens(), a.seen.GetArrivedOutputTokens())/dt)
	a.at, a.seen = now, load
}

func smooth(value *float64, weight, sample float64) {
	*value += weight * (sample - *value)
}

func rise(now, before uint64) float64 {
	if now < before {
		return 0
	}
	return float64(now - before)
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
