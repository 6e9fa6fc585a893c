package loadplay

import (
	"math/rand/v2"
	"sync"
)

// Comparison holds the results of several policies on the same trace, for one
// scenario of one deployment.
type Comparison struct {
	Deployment Deployment
	Scenario   Scenario
	Seed       uint64
	Rows       []Row
	// TimeSeries are in the order of Rows.
	TimeSeries [][]Sample
}

// loadScaleSpread is how far the seed scales a scenario's load up or down, as a
// fraction.
const loadScaleSpread = 0.08

// NewTrace draws the trace of a scenario. The seed also scales the load, so that
// no threshold can be tuned to one load level.
func NewTrace(seed uint64, s Scenario) []Request {
	rng := rand.New(rand.NewPCG(seed, 0))
	scale := 1 + loadScaleSpread*(2*rng.Float64()-1)
	return Trace(seed, s.Duration, s.Sources(scale))
}

// Experiment simulates each policy on the scenario's trace; the capacity of
// parallel limits the simulations that run concurrently. Rows are in the order
// of policies.
func Experiment(seed uint64, d Deployment, s Scenario, policies []Policy, parallel chan struct{}) Comparison {
	trace := NewTrace(seed, s)
	run := Comparison{
		Deployment: d,
		Scenario:   s,
		Seed:       seed,
		Rows:       make([]Row, len(policies)),
		TimeSeries: make([][]Sample, len(policies)),
	}
	var wg sync.WaitGroup
	for i, p := range policies {
		wg.Go(func() {
			parallel <- struct{}{}
			defer func() { <-parallel }()
			run.Rows[i], run.TimeSeries[i] = Simulate(seed, d, s, p, trace)
		})
	}
	wg.Wait()
	fillRelativeMeasures(run.Rows)
	return run
}

// fillRelativeMeasures fills in the measures relative to the oracle and eager
// rows.
func fillRelativeMeasures(rows []Row) {
	var oracle, eager Row
	for _, r := range rows {
		switch r.Policy {
		case OracleName:
			oracle = r
		case EagerName:
			eager = r
		}
	}
	for i := range rows {
		rows[i].OracleFraction = ratio(rows[i].Goodput, oracle.Goodput)
		rows[i].EagerChangeRatio = ratio(float64(rows[i].Changes), float64(eager.Changes))
	}
}
