package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// nearShare and nearFloor say how far above the best a candidate may be
	// and still count as its equal. Load reports are about that wrong.
	nearShare = 0.1
	nearFloor = 20 * time.Millisecond
)

// TwoChoices draws two among the near-equals of the best and takes the better.
// The best alone would be taken by every entry at once, because all of them
// have the same report; drawing from all would give up the cache.
type TwoChoices struct{}

// Pick implements Picker.
func (TwoChoices) Pick(rng *rand.Rand, scored []Scored) Scored {
	slices.SortFunc(scored, func(a, b Scored) int {
		return cmp.Or(cmp.Compare(a.ExpectedTTFT, b.ExpectedTTFT), cmp.Compare(a.Name, b.Name))
	})
	limit := scored[0].ExpectedTTFT + max(nearFloor, time.Duration(nearShare*float64(scored[0].ExpectedTTFT)))
	near := 1
	for near < len(scored) && scored[near].ExpectedTTFT <= limit {
		near++
	}
	return scored[min(rng.IntN(near), rng.IntN(near))]
}
