// Package roles decides which engines read prompts and which generate answers.
//
// It answers a fixed fleet whose engines start in whatever roles they had. Read
// speed binds long prompts: an engine that reads for others reads twice as fast
// as one that reads between the tokens of its own streams. Too few engines that
// generate, and every stream shares its steps with many others. One notices by
// first tokens that come late while streams run at full speed, or the reverse.
//
// Each change takes an engine away for seconds and is priced by both users, so
// there is no following of the mix from minute to minute: the share is set, and
// changes only repair it.
package roles

import (
	"cmp"
	"math"
	"slices"

	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/backend"
)

const (
	// DefaultDecodeShare is the part of the engines that generate short answers.
	DefaultDecodeShare = 0.4
	// leastDecode engines generate at least: one may crash.
	leastDecode = 2
	// tolerance is by how many engines the share may be off before a change
	// pays: half an engine is rounding.
	tolerance = 1
)

// Engine is one engine that may be told its role.
type Engine struct {
	ID         string
	DataCentre string
	Role       backend.Role
	// Work is how much it has to do; the least busy one changes first.
	InFlight int
	// Pace is how slow it is.
	Speed Speed
}

// Move is one change of role.
type RoleChange struct {
	ID   string
	Role backend.Role
}

// Decide returns the changes that bring the engines to the share, the first one
// to make first. Engines of each role stay spread over the data centres, so that
// a transfer seldom crosses between them and the loss of one leaves both roles.
func Decide(engines []Engine, decodeShare float64) []RoleChange {
	n := len(engines)
	if n <= leastDecode {
		return nil
	}
	want := int(math.Round(decodeShare * float64(n)))
	want = min(max(want, leastDecode), n-1)
	decode := count(engines, backend.Decode)
	from, to, moves := backend.Decode, backend.Prefill, decode-want
	if moves < 0 {
		from, to, moves = backend.Prefill, backend.Decode, -moves
	}
	if moves < tolerance {
		return nil
	}
	return choose(engines, from, to, moves)
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

// choose takes n engines of a role: those whose speed fits the other role better,
// and among them the least busy of the data centre that has most of the role.
func choose(engines []Engine, from, to backend.Role, n int) []RoleChange {
	left := lo.Filter(engines, func(e Engine, _ int) bool { return e.Role == from })
	var moves []RoleChange
	for range n {
		have := lo.CountValuesBy(left, func(e Engine) string { return e.DataCentre })
		next := slices.MinFunc(fitting(left, to), func(a, b Engine) int {
			return cmp.Or(
				cmp.Compare(have[b.DataCentre], have[a.DataCentre]), cmp.Compare(a.DataCentre, b.DataCentre),
				cmp.Compare(a.InFlight, b.InFlight), cmp.Compare(a.ID, b.ID),
			)
		})
		moves = append(moves, RoleChange{ID: next.ID, Role: to})
		left = slices.DeleteFunc(left, func(e Engine) bool { return e.ID == next.ID })
	}
	return moves
}
