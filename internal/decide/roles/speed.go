package roles

import (
	"cmp"
	"math"
	"slices"

	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/backend"
)

// Speed is the speed of an engine relative to the others in its role.
type Speed struct {
	// Slowdown is the time that the engine takes as a multiple of the average engine's,
	// 0 while unknown.
	Slowdown float64
	// RelativeError is the standard error of Slowdown, as a fraction of it.
	RelativeError float64
}

// minStandardErrors is by how many standard errors two engines must differ for one to
// count as slower.
const minStandardErrors = 4

// significantlySlower reports whether a is slower than b by more than the sampling error
// of two equal engines.
func significantlySlower(a, b Speed) bool {
	return math.Log(a.Slowdown/b.Slowdown) > minStandardErrors*math.Hypot(a.RelativeError, b.RelativeError)
}

// bestSuited returns the engines that suit a role best: the fastest ones for decode,
// the slowest ones for prefill. It returns all engines if no difference is significant.
//
// It handles fleets whose engines differ in speed. Prompts queued at a slow prefill
// engine can go to others, but an answer stays where it began: at a slow engine every
// token is late, and the longest answers miss their deadline. Symptom: long answers
// are cut off at some engines only.
func bestSuited(engines []Engine, role backend.Role) []Engine {
	known := lo.Filter(engines, func(e Engine, _ int) bool { return e.Speed.Slowdown > 0 })
	if len(known) == 0 {
		return engines
	}
	better := func(a, b Engine) bool {
		if role == backend.Decode {
			return significantlySlower(b.Speed, a.Speed)
		}
		return significantlySlower(a.Speed, b.Speed)
	}
	bySlowdown := func(a, b Engine) int { return cmp.Compare(a.Speed.Slowdown, b.Speed.Slowdown) }
	best := slices.MaxFunc(known, bySlowdown)
	if role == backend.Decode {
		best = slices.MinFunc(known, bySlowdown)
	}
	suited := lo.Filter(known, func(e Engine, _ int) bool { return !better(best, e) })
	if len(suited) == len(known) {
		return engines
	}
	return suited
}
