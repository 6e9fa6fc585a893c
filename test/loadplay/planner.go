package loadplay

import (
	"math"
	"slices"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/shift"
)

// planner decides the roles; shift.Planner is one.
type planner interface {
	Step(now time.Time, f shift.Fleet) shift.Decision
}

func shiftConfig(d Deployment) shift.Config {
	return shift.Config{RoleChangeCost: d.RoleChangeCost, ChangeTime: changeTime}
}

func newOurs(d Deployment, _ []Request) planner { return shift.New(shiftConfig(d)) }

// fixed never changes a role.
type fixed struct{}

func newFixed(Deployment, []Request) planner { return fixed{} }

func (fixed) Step(time.Time, shift.Fleet) shift.Decision { return shift.Decision{} }

// spiller is the cheap lever of the decision code alone, for planners that
// differ in the role changes only.
type spiller struct{ *shift.Planner }

func newSpiller() spiller {
	return spiller{shift.New(shift.Config{RoleChangeCost: math.Inf(1)})}
}

// eager changes a role as soon as one side is busier than the other by a
// threshold and a change would even them out.
type eager struct{ spiller spiller }

// eagerThreshold is a customary one.
const eagerThreshold = 1.25

func newEager(Deployment, []Request) planner { return eager{spiller: newSpiller()} }

func (e eager) Step(now time.Time, f shift.Fleet) shift.Decision {
	d := e.spiller.Step(now, f)
	prefills, decodes, changing := roles(f.Engines)
	if changing > 0 {
		return d
	}
	needPrefill := f.Demand.PrefillTokens / f.Capacity.PrefillTokens
	needDecode := f.Demand.DecodeTokens / f.Capacity.DecodeTokens
	busyPrefill := needPrefill / float64(prefills)
	busyDecode := needDecode / float64(decodes)
	switch {
	case busyPrefill > eagerThreshold*busyDecode && decodes > 1:
		if needDecode/float64(decodes-1) < busyPrefill {
			d.Changes = change(f.Engines, shift.Decode, shift.Prefill, 1)
		}
	case busyDecode > eagerThreshold*busyPrefill && prefills > 1:
		if needPrefill/float64(prefills-1) < busyDecode {
			d.Changes = change(f.Engines, shift.Prefill, shift.Decode, 1)
		}
	}
	return d
}

func roles(engines []shift.Engine) (prefills, decodes, changing int) {
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

// change takes the n idlest engines from one role to the other.
func change(engines []shift.Engine, from, to shift.Role, n int) []shift.Change {
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
