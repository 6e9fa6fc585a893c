package requests

import (
	"time"

	"github.com/google/uuid"

	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// resolve answers with the outcome of a request. "Not run" is final.
//
// The entry does not know whether its Start arrived. A Start still in transit
// could arrive after its caller was told "not run", and run. So "not run" is
// recorded before it is sent.
func (t *Table) resolve(now time.Time, e ResolveReceived) {
	id, err := uuid.FromBytes(e.Resolve.GetRequestId())
	if err != nil {
		t.sendResolution(e, wire.Outcome_OUTCOME_UNKNOWN, nil)
		return
	}
	k := key{id: id}
	if r, ok := t.active[k]; ok && t.resolveActive(now, r, e) {
		return
	}
	rec, ok := t.ledger.records[k]
	switch {
	case ok && rec.verdict == verdict.Ran:
		t.sendResolution(e, wire.Outcome_OUTCOME_RAN, rec)
	case ok && rec.verdict == verdict.MayHaveRun:
		t.sendResolution(e, wire.Outcome_OUTCOME_MAY_HAVE_RUN, nil)
	case t.ledger.mayHaveForgotten(now, e.StartAge), t.ledger.hasForgottenAny() && e.StartAge == AgeUnknown:
		t.sendResolution(e, wire.Outcome_OUTCOME_MAY_HAVE_RUN, nil)
	default:
		t.ledger.recordNotRun(now, k, resolvedAttempts(e.Resolve))
		t.sendResolution(e, wire.Outcome_OUTCOME_NOT_RUN, nil)
	}
}

func resolvedAttempts(r *wire.Resolve) uint32 {
	if r.GetAttempt() == 0 {
		return allAttempts
	}
	return r.GetAttempt()
}

// resolveActive answers for a running request. A waiting one is rejected, so that
// its entry, which lost contact on the first connection, can send it elsewhere
// before the deadline; it returns false and the record gives the answer. For a
// running request ResumeWait starts again, as its entry still wants the outcome.
func (t *Table) resolveActive(now time.Time, r *request, e ResolveReceived) bool {
	if r.phase == running {
		r.orphanedAt = now
		t.sendResolution(e, wire.Outcome_OUTCOME_RUNNING, nil)
		return true
	}
	t.rejectWaiting(now, r, verdict.New(verdict.NotRun, verdict.CodeCancelled, "its entry asked for the outcome"))
	return false
}
