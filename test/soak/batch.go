package soak

import (
	"fmt"

	"github.com/samber/lo"
)

// minRunsForCoverage is the number of runs from which on every kind of fault and
// verdict must have occurred.
const minRunsForCoverage = 5

// Batch accumulates the reports of several runs.
type Batch struct {
	runs  int
	total Report
}

// NewBatch returns an empty Batch.
func NewBatch() *Batch {
	return &Batch{total: Report{Faults: map[string]int{}, Verdicts: map[string]int{}, Outcomes: map[string]int{}}}
}

// Add adds the report of one run.
func (b *Batch) Add(r Report) {
	b.runs++
	b.total.Steps += r.Steps
	b.total.Requests += r.Requests
	b.total.Runs += r.Runs
	b.total.Orders += r.Orders
	b.total.Edits += r.Edits
	b.total.Checks += r.Checks
	merge(b.total.Faults, r.Faults)
	merge(b.total.Verdicts, r.Verdicts)
	merge(b.total.Outcomes, r.Outcomes)
}

func merge(into, from map[string]int) {
	for k, n := range from {
		into[k] += n
	}
}

// Missing returns the kinds of fault and verdict that occurred in no run, since
// the batch does not test them. It returns none for fewer runs than
// minRunsForCoverage, which need not meet all kinds.
func (b *Batch) Missing() []string {
	if b.runs < minRunsForCoverage {
		return nil
	}
	missing := lo.Filter(FaultKinds, func(k string, _ int) bool { return b.total.Faults[k] == 0 })
	return append(missing, lo.Filter(VerdictKinds, func(k string, _ int) bool { return b.total.Verdicts[k] == 0 })...)
}

// Summary returns the totals of the batch in a few lines.
func (b *Batch) Summary() string {
	return fmt.Sprintf("%d runs: %d steps, %d requests, %d runs at backend servers, %d orders, %d edits, %d checks\nfaults:   %s\nverdicts: %s\noutcomes: %s",
		b.runs, b.total.Steps, b.total.Requests, b.total.Runs, b.total.Orders, b.total.Edits, b.total.Checks,
		counts(b.total.Faults), counts(b.total.Verdicts), counts(b.total.Outcomes))
}
