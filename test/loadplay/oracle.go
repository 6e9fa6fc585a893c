package loadplay

import (
	"math"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/shift"
)

// oracle is the planner that knows the future: a schedule of how many engines
// prefill, worked out from the whole trace by dynamic programming.
type oracle struct {
	spiller  spiller
	schedule []int
}

// oracleBin is one step of the schedule; a change takes one bin.
const oracleBin = changeTime

// oracles returns the futures to prepare for. The trace does not tell how much
// of each prompt will be cached, nor how much headroom queues want, so several
// guesses are played.
func oracles() []func(Deployment, []Request) planner {
	var futures []func(Deployment, []Request) planner
	for _, misses := range []float64{1, 1.3, 1.8} {
		for _, headroom := range []float64{1.05, 1.25} {
			futures = append(futures, func(d Deployment, trace []Request) planner {
				return newOracle(d, trace, misses, headroom)
			})
		}
	}
	return futures
}

func newOracle(d Deployment, trace []Request, misses, headroom float64) planner {
	bins := int(length/oracleBin) + 1
	prefill := make([]float64, bins)
	decode := make([]float64, bins)
	for i, w := range ideal(trace) {
		r := trace[i]
		bin := int(r.At / oracleBin)
		prefill[bin] += min(w.prefill*misses, float64(r.Prompt)/prefillRate) * headroom / oracleBin.Seconds()
		// Decode work comes when the prefill is done and goes on for a while.
		for k := range decodeSpread {
			at := min(bins-1, bin+k)
			decode[at] += w.decode * headroom / oracleBin.Seconds() / decodeSpread
		}
	}
	return &oracle{spiller: newSpiller(), schedule: schedule(d, prefill, decode)}
}

// decodeSpread is over how many bins a stream's decode work spreads.
const decodeSpread = 2

// schedule is the sequence of prefill counts with the most work done.
func schedule(d Deployment, prefill, decode []float64) []int {
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
	best[0][d.Prefills] = 0
	for t := range bins {
		for a := 1; a < n; a++ {
			for b := 1; b < n; b++ {
				v := best[t][a] + done(min(a, b), n-max(a, b), prefill[t], decode[t])
				v -= oracleChange * math.Abs(float64(a-b))
				if v > best[t+1][b] {
					best[t+1][b], from[t+1][b] = v, a
				}
			}
		}
	}
	return backtrack(best, from)
}

// oracleChange is the least gain, in engine-seconds per bin, that a change has
// to bring; it decides between schedules of equal work.
const oracleChange = 0.01

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

// done is the work done of one bin's, in engines. Decode engines prefill with
// what they can spare.
func done(prefills, decodes int, prefill, decode float64) float64 {
	have, busy := float64(prefills), min(decode, float64(decodes))
	if spare := float64(decodes) - busy; prefill > have {
		have += min(spare, prefill-have, shift.DefaultMaxSpilloverShare*float64(decodes))
	}
	share := 1.0
	if prefill > 0 {
		share = min(share, have/prefill)
	}
	if decode > 0 {
		share = min(share, float64(decodes)/decode)
	}
	return share * (prefill + decode)
}

// Step implements planner.
func (o *oracle) Step(now time.Time, f shift.Fleet) shift.Decision {
	d := o.spiller.Step(now, f)
	bin := min(len(o.schedule)-1, int(now.Sub(epoch)/oracleBin))
	want := o.schedule[bin]
	prefills, _, _ := roles(f.Engines)
	if prefills < want {
		d.Changes = change(f.Engines, shift.Decode, shift.Prefill, want-prefills)
	} else {
		d.Changes = change(f.Engines, shift.Prefill, shift.Decode, prefills-want)
	}
	return d
}
