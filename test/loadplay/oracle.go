package loadplay

import (
	"math"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/shift"
)

// oracle is a planner that knows the whole trace in advance. Dynamic programming
// over the trace gives the number of prefill engines for each time bin.
type oracle struct {
	spillover     spilloverPlanner
	prefillCounts []int
}

// oracleBin is the time resolution of the schedule; a role change takes one bin.
const oracleBin = changeTime

// oraclePlanners returns one oracle for each guess of the cache misses and of
// the headroom that queues need. Neither follows from the trace, so several
// guesses are simulated.
func oraclePlanners() []func(Deployment, []Request) planner {
	var planners []func(Deployment, []Request) planner
	for _, misses := range []float64{1, 1.3, 1.8} {
		for _, headroom := range []float64{1.05, 1.25} {
			planners = append(planners, func(d Deployment, trace []Request) planner {
				return newOracle(d, trace, misses, headroom)
			})
		}
	}
	return planners
}

func newOracle(d Deployment, trace []Request, misses, headroom float64) planner {
	bins := int(scenarioDuration/oracleBin) + 1
	prefill := make([]float64, bins)
	decode := make([]float64, bins)
	for i, w := range minimumWork(trace) {
		r := trace[i]
		bin := int(r.At / oracleBin)
		prefill[bin] += min(w.prefill*misses, float64(r.PromptTokens)/prefillRate) * headroom / oracleBin.Seconds()
		// Decode work starts after the prefill and spreads over some bins.
		for k := range decodeSpreadBins {
			at := min(bins-1, bin+k)
			decode[at] += w.decode * headroom / oracleBin.Seconds() / decodeSpreadBins
		}
	}
	return &oracle{spillover: newSpilloverPlanner(), prefillCounts: optimalSchedule(d, prefill, decode)}
}

// decodeSpreadBins is the number of bins that a stream's decode work spreads over.
const decodeSpreadBins = 2

// optimalSchedule returns the numbers of prefill engines per bin with the most work
// done. best[t][a] is the most work of the first t bins if a engines prefill after
// them, from[t][a] the number of prefill engines in the bin before.
func optimalSchedule(d Deployment, prefill, decode []float64) []int {
	bins, n := len(prefill), d.Engines
	best := make([][]float64, bins+1)
	from := make([][]int, bins+1)
	for t := range best {
		best[t] = make([]float64, n)
		from[t] = make([]int, n)
		for s := range best[t] {
			best[t][s] = math.Inf(-1)
		}
	}
	best[0][d.PrefillEngines] = 0
	for t := range bins {
		for a := 1; a < n; a++ {
			for b := 1; b < n; b++ {
				v := best[t][a] + workDone(min(a, b), n-max(a, b), prefill[t], decode[t])
				v -= oracleChangeCost * math.Abs(float64(a-b))
				if v > best[t+1][b] {
					best[t+1][b], from[t+1][b] = v, a
				}
			}
		}
	}
	return backtrack(best, from)
}

// oracleChangeCost is the least gain of a role change, in engine-seconds per
// bin. It decides between schedules of equal work.
const oracleChangeCost = 0.01

func backtrack(best [][]float64, from [][]int) []int {
	last := len(best) - 1
	state := 1
	for s := range best[last] {
		if best[last][s] > best[last][state] {
			state = s
		}
	}
	path := make([]int, last)
	for t := last; t > 0; t-- {
		path[t-1] = state
		state = from[t][state]
	}
	return path
}

// workDone returns the work done within one bin, in engines. Decode engines use
// their spare capacity for prefill, up to the largest spillover share.
func workDone(prefills, decodes int, prefill, decode float64) float64 {
	prefillCapacity, decodeLoad := float64(prefills), min(decode, float64(decodes))
	if spare := float64(decodes) - decodeLoad; prefill > prefillCapacity {
		prefillCapacity += min(spare, prefill-prefillCapacity, shift.DefaultMaxSpilloverShare*float64(decodes))
	}
	fraction := 1.0
	if prefill > 0 {
		fraction = min(fraction, prefillCapacity/prefill)
	}
	if decode > 0 {
		fraction = min(fraction, float64(decodes)/decode)
	}
	return fraction * (prefill + decode)
}

// Step implements planner.
func (o *oracle) Step(now time.Time, f shift.Fleet) shift.Decision {
	d := o.spillover.Step(now, f)
	bin := min(len(o.prefillCounts)-1, int(now.Sub(epoch)/oracleBin))
	want := o.prefillCounts[bin]
	prefills, _, _ := countRoles(f.Engines)
	if prefills < want {
		d.Changes = changeRoles(f.Engines, shift.Decode, shift.Prefill, want-prefills)
	} else {
		d.Changes = changeRoles(f.Engines, shift.Prefill, shift.Decode, prefills-want)
	}
	return d
}
