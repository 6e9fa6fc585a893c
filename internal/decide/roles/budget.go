package roles

import "pistachioroad.dev/pistachioroad/internal/backend"

const (
	// freeChanges is the number of role changes allowed without any demand: before
	// the first requests arrive, changes disturb nobody. Beyond that, a large fleet
	// with few callers would pay for changes that speed up no answer.
	freeChanges = 16
	// requestsPerChange is the number of requests that justify one change: a change
	// costs as much as several answers, and a fleet with the wrong share loses a few
	// percent of its answers.
	requestsPerChange = 200
	// maxConcurrentShare is the fraction of the fleet that may change roles
	// concurrently.
	maxConcurrentShare = 0.25
)

// LimitByDemand returns the first of the changes from Decide, as many as the requests
// seen so far justify, given the number of changes already made. Changes needed to
// reach minDecodeEngines are always allowed.
//
// It limits changes in a large fleet with little load: its share may be off by
// hundreds of engines while every request finds an idle one, and no answer gets
// faster when all of them are brought to the share.
func LimitByDemand(engines []Engine, changes []RoleChange, requests int64, made int) []RoleChange {
	budget := freeChanges + int(requests/requestsPerChange) - made
	needed := minDecodeEngines - count(engines, backend.Decode)
	return changes[:min(len(changes), max(0, budget, needed))]
}

// LimitConcurrent returns the first of the changes from Decide, as many as may be made
// concurrently while engines have work: one, or maxConcurrentShare of the fleet if
// the target role has at most half of the engines that it should have.
//
// It handles the replacement of many engines. New engines start in an initial role of
// their own, and each change waits until the answers of its engine have finished. One at
// a time, a fleet whose prefill engines were replaced would lack them for a minute.
func LimitConcurrent(engines []Engine, changes []RoleChange) []RoleChange {
	limit := 1
	if len(changes) > 0 {
		have := count(engines, changes[0].Role)
		if 2*have <= have+len(changes) {
			limit = max(limit, int(maxConcurrentShare*float64(len(engines))))
		}
	}
	return changes[:min(len(changes), limit)]
}
