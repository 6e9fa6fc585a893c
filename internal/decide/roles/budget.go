package roles

import "pistachioroad.dev/pistachioroad/internal/backend"

const (
	// freeMoves are the changes of role that need no demand: before the first
	// requests come, changes disturb nobody. Beyond them a large fleet that few
	// callers use would pay for changes that no answer gains from.
	freeMoves = 16
	// requestsPerMove pay for one change: it costs as much as some answers, and a
	// fleet that is off its share loses a few in a hundred.
	requestsPerMove = 200
	// mostAway is the part of the fleet that may change its role together.
	mostAway = 0.25
)

// Afford returns the first of the changes that Decide wants, as many as the
// requests seen so far pay for, given the number that were made. Engines without
// which nothing could be generated are always changed.
//
// It answers a large fleet with little to do. Its share may be off by hundreds
// of engines while each request finds an idle one, and no answer gains from
// bringing all of them to the share.
func LimitByDemand(engines []Engine, moves []RoleChange, requests int64, made int) []RoleChange {
	paid := freeMoves + int(requests/requestsPerMove) - made
	needed := leastDecode - count(engines, backend.Decode)
	return moves[:min(len(moves), max(0, paid, needed))]
}

// AtOnce returns the first of the changes that Decide wants, as many as may be made
// together while engines have work: one, or a part of the fleet if the role that
// they join has at most half of its engines.
//
// It answers the replacement of many engines. The new ones start in a role of their
// own, and each change waits until the answers of its engine have ended: one at a
// time, a fleet whose readers were replaced is short of them for a minute.
func LimitConcurrent(engines []Engine, moves []RoleChange) []RoleChange {
	most := 1
	if len(moves) > 0 {
		have := count(engines, moves[0].Role)
		if 2*have <= have+len(moves) {
			most = max(most, int(mostAway*float64(len(engines))))
		}
	}
	return moves[:min(len(moves), most)]
}
