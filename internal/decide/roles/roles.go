// Package roles decides which engines prefill prompts and which decode answers.
//
// It handles a fixed fleet whose engines start in whatever roles they had. Prefill
// speed limits long prompts: a dedicated prefill engine prefills twice as fast as one
// that does so between the decode steps of its own streams. With too few decode
// engines, every stream shares its steps with many others. Symptom: a high time to
// first token while streams run at full speed, or the reverse.
//
// A change makes an engine unavailable for seconds, and both deployments assign a cost
// to it. The roles therefore do not follow the traffic from minute to minute: the
// share is fixed, and changes only restore it.
package roles

import (
	"cmp"
	"math"
	"slices"

	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/backend"
)

const (
	// DefaultDecodeShare is the fraction of decode engines for short answers.
	DefaultDecodeShare = 0.4
	// minDecodeEngines is the minimum number of decode engines: one may crash.
	minDecodeEngines = 2
	// minDeviation is the smallest deviation from the share, in engines, that is corrected:
	// half an engine is rounding.
	minDeviation = 1
)

// Engine is an engine whose role can be changed.
type Engine struct {
	ID         string
	DataCentre string
	Role       backend.Role
	// InFlight is the number of its requests; the least busy engine changes first.
	InFlight int
	Speed    Speed
}

// RoleChange is the change of one engine to another role.
type RoleChange struct {
	ID   string
	Role backend.Role
}

// Decide returns the role changes that bring the engines to the share, in the order in
// which to make them. Each role stays spread over the data centres, so that KV transfers
// rarely cross between them and both roles survive the loss of one.
func Decide(engines []Engine, decodeShare float64) []RoleChange {
	n := len(engines)
	if n <= minDecodeEngines {
		return nil
	}
	want := int(math.Round(decodeShare * float64(n)))
	want = min(max(want, minDecodeEngines), n-1)
	decode := count(engines, backend.Decode)
	from, to, changes := backend.Decode, backend.Prefill, decode-want
	if changes < 0 {
		from, to, changes = backend.Prefill, backend.Decode, -changes
	}
	if changes < minDeviation {
		return nil
	}
	return selectEngines(engines, from, to, changes)
}

func count(engines []Engine, role backend.Role) int {
	n := 0
	for _, e := range engines {
		if e.Role == role {
			n++
		}
	}
	return n
}

// selectEngines selects n engines of a role for another: those whose speed suits the
// other role best, and among them the least busy in the data centre with the most
// engines of the role.
func selectEngines(engines []Engine, from, to backend.Role, n int) []RoleChange {
	candidates := lo.Filter(engines, func(e Engine, _ int) bool { return e.Role == from })
	var changes []RoleChange
	for range n {
		perDataCentre := lo.CountValuesBy(candidates, func(e Engine) string { return e.DataCentre })
		next := slices.MinFunc(bestSuited(candidates, to), func(a, b Engine) int {
			return cmp.Or(
				cmp.Compare(perDataCentre[b.DataCentre], perDataCentre[a.DataCentre]), cmp.Compare(a.DataCentre, b.DataCentre),
				cmp.Compare(a.InFlight, b.InFlight), cmp.Compare(a.ID, b.ID),
			)
		})
		changes = append(changes, RoleChange{ID: next.ID, Role: to})
		candidates = slices.DeleteFunc(candidates, func(e Engine) bool { return e.ID == next.ID })
	}
	return changes
}
