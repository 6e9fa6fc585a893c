package loadplay

import (
	"math"
	"slices"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/shift"
)

// planner decides the roles of the engines, as shift.Planner does.
type planner interface {
	Step(now time.Time, f shift.Fleet) shift.Decision
}

func shiftConfig(d Deployment) shift.Config {
	return shift.Config{RoleChangeCost: d.RoleChangeCost, ChangeTime: changeTime}
}

func newProductionPlanner(d Deployment, _ []Request) planner { return shift.New(shiftConfig(d)) }

// fixed is a planner that never changes a role.
type fixed struct{}

func newFixedPlanner(Deployment, []Request) planner { return fixed{} }

func (fixed) Step(time.Time, shift.Fleet) shift.Decision { return shift.Decision{} }

// spilloverPlanner adjusts the spillover of prefill work to decode engines as
// the decision code does, but never changes a role. Alternative planners use it,
// so that they differ in the role changes only.
type spilloverPlanner struct{ *shift.Planner }

func newSpilloverPlanner() spilloverPlanner {
	return spilloverPlanner{shift.New(shift.Config{RoleChangeCost: math.Inf(1)})}
}

// eager changes a role as soon as the utilisation of one role exceeds that of
// the other by a threshold and a change would balance them.
type eager struct{ spillover spilloverPlanner }

// eagerThreshold is a common choice of a utilisation ratio.
const eagerThreshold = 1.25

func newEagerPlanner(Deployment, []Request) planner { return eager{spillover: newSpilloverPlanner()} }

func (e eager) Step(now time.Time, f shift.Fleet) shift.Decision {
	d := e.spillover.Step(now, f)
	prefills, decodes, changing := countRoles(f.Engines)
	if changing > 0 {
		return d
	}
	prefillDemand := f.Demand.PrefillTokens / f.Capacity.PrefillTokens
	decodeDemand := f.Demand.DecodeTokens / f.Capacity.DecodeTokens
	prefillUtilisation := prefillDemand / float64(prefills)
	decodeUtilisation := decodeDemand / float64(decodes)
	switch {
	case prefillUtilisation > eagerThreshold*decodeUtilisation && decodes > 1:
		if decodeDemand/float64(decodes-1) < prefillUtilisation {
			d.Changes = changeRoles(f.Engines, shift.Decode, shift.Prefill, 1)
		}
	case decodeUtilisation > eagerThreshold*prefillUtilisation && prefills > 1:
		if prefillDemand/float64(prefills-1) < decodeUtilisation {
			d.Changes = changeRoles(f.Engines, shift.Prefill, shift.Decode, 1)
		}
	}
	return d
}

func countRoles(engines []shift.Engine) (prefills, decodes, changing int) {
	for _, e := range engines {
		if e.Role == shift.Prefill {
			prefills++
		} else {
			decodes++
		}
		if e.Changing {
			changing++
		}
	}
	return prefills, decodes, changing
}

// changeRoles changes the role of the n engines with the fewest queued tokens.
func changeRoles(engines []shift.Engine, from, to shift.Role, n int) []shift.Change {
	var ready []shift.Engine
	for _, e := range engines {
		if e.Role == from && !e.Changing {
			ready = append(ready, e)
		}
	}
	slices.SortStableFunc(ready, func(a, b shift.Engine) int { return a.QueuedTokens - b.QueuedTokens })
	var changes []shift.Change
	for _, e := range ready[:min(n, len(ready))] {
		changes = append(changes, shift.Change{Name: e.Name, From: from, To: to, Reason: "threshold"})
	}
	return changes
}
