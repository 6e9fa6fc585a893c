package roles

import (
	"cmp"
	"math"
	"slices"

	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/backend"
)

// Pace is how slow an engine is compared with the others in its role.
type Speed struct {
	// Slowness is how many times as long as an average one it takes, 0 while that
	// is not known.
	Slowdown float64
	// Doubt is the standard error of Slowness, as a part of it.
	RelativeError float64
}

// sureDoubts is by how many standard errors two engines must differ for one to
// count as slower.
const sureDoubts = 4

// surelySlower reports whether a is slower than b by more than what chance makes
// of two equal engines.
func surelySlower(a, b Speed) bool {
	return math.Log(a.Slowdown/b.Slowdown) > sureDoubts*math.Hypot(a.RelativeError, b.RelativeError)
}

// fitting returns the engines of one role that fit another role better than the
// rest: fast ones to generate, slow ones to read.
//
// It answers fleets whose engines differ. Prompts that wait at a slow reader go
// to others, while an answer stays where it began: at a slow engine each of its
// tokens is late, and the longest answers miss their deadline. One notices by
// long answers that are cut at some engines only.
func fitting(engines []Engine, role backend.Role) []Engine {
	known := lo.Filter(engines, func(e Engine, _ int) bool { return e.Speed.Slowdown > 0 })
	if len(known) == 0 {
		return engines
	}
	better := func(a, b Engine) bool {
		if role == backend.Decode {
			return surelySlower(b.Speed, a.Speed)
		}
		return surelySlower(a.Speed, b.Speed)
	}
	byPace := func(a, b Engine) int { return cmp.Compare(a.Speed.Slowdown, b.Speed.Slowdown) }
	best := slices.MaxFunc(known, byPace)
	if role == backend.Decode {
		best = slices.MinFunc(known, byPace)
	}
	fit := lo.Filter(known, func(e Engine, _ int) bool { return !better(best, e) })
	if len(fit) == len(known) {
		return engines
	}
	return fit
}
