package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// tieFraction and minTieMargin set by how much the expected time of a
	// candidate may exceed the best and still count as equal. They match the
	// typical error of load reports.
	tieFraction  = 0.1
	minTieMargin = 20 * time.Millisecond
)

// PowerOfTwoChoices draws two random candidates among those nearly equal to the
// best and picks the better one. If it always picked the best, all entries would
// send to the same server, as they have the same load report. Drawing from all
// candidates would lose the prefix cache hits.
type PowerOfTwoChoices struct{}

// Pick implements Picker.
func (PowerOfTwoChoices) Pick(rng *rand.Rand, scored []Scored) Scored {
	slices.SortFunc(scored, func(a, b Scored) int {
		return cmp.Or(cmp.Compare(a.ExpectedTTFT, b.ExpectedTTFT), cmp.Compare(a.Name, b.Name))
	})
	limit := scored[0].ExpectedTTFT + max(minTieMargin, time.Duration(tieFraction*float64(scored[0].ExpectedTTFT)))
	near := 1
	for near < len(scored) && scored[near].ExpectedTTFT <= limit {
		near++
	}
	return scored[min(rng.IntN(near), rng.IntN(near))]
}
