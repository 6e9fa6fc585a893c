package loadplay

import (
	"math/rand/v2"
	"sync"
)

// Run is one scenario of one deployment, played by every policy on one trace.
type Run struct {
	Deployment Deployment
	Scenario   Scenario
	Seed       uint64
	Rows       []Row
	// Courses are in the order of Rows.
	Courses [][]Sample
}

// sizeSpread is by how much the seed varies the size of a scenario's load.
const sizeSpread = 0.08

// NewTrace draws the trace of a scenario. The seed varies also the size of its
// load, so that no threshold can fit one size only.
func NewTrace(seed uint64, s Scenario) []Request {
	rng := rand.New(rand.NewPCG(seed, 0))
	scale := 1 + sizeSpread*(2*rng.Float64()-1)
	return Trace(seed, s.Length, s.Sources(scale))
}

// Experiment plays the policies; at most parallel plays run at a time. Rows are
// in the order of the policies whatever the parallelism.
func Experiment(seed uint64, d Deployment, s Scenario, policies []Policy, parallel chan struct{}) Run {
	trace := NewTrace(seed, s)
	run := Run{
		Deployment: d,
		Scenario:   s,
		Seed:       seed,
		Rows:       make([]Row, len(policies)),
		Courses:    make([][]Sample, len(policies)),
	}
	var wg sync.WaitGroup
	for i, p := range policies {
		wg.Go(func() {
			parallel <- struct{}{}
			defer func() { <-parallel }()
			run.Rows[i], run.Courses[i] = Play(seed, d, s, p, trace)
		})
	}
	wg.Wait()
	compare(run.Rows)
	return run
}

// compare fills in the shares that need another policy's row.
func compare(rows []Row) {
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
		rows[i].OracleShare = ratio(rows[i].Goodput, oracle.Goodput)
		rows[i].EagerChanges = ratio(float64(rows[i].Changes), float64(eager.Changes))
	}
}
