package requests

import (
	"time"

	"github.com/google/uuid"

	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// resolve tells what became of a request, for good.
//
// The entry does not know whether its Start arrived. If "never seen" were said
// of a Start still under way, it would arrive after its caller was told "not
// run", and run. So the answer is recorded before it is given.
func (t *Table) resolve(now time.Time, e ResolveReceived) {
	id, err := uuid.FromBytes(e.Resolve.GetRequestId())
	if err != nil {
		t.sendResolution(e, wire.Outcome_OUTCOME_UNKNOWN, nil)
		return
	}
	k := key{id: id}
	if r, ok := t.live[k]; ok && t.resolvedLive(now, r, e) {
		return
	}
	rec, ok := t.ledger.records[k]
	switch {
	case ok && rec.verdict == verdict.Ran:
		t.sendResolution(e, wire.Outcome_OUTCOME_RAN, rec)
	case ok && rec.verdict == verdict.MayHaveRun:
		t.sendResolution(e, wire.Outcome_OUTCOME_MAY_HAVE_RUN, nil)
	case t.ledger.hasForgotten(now, e.StartAge), t.ledger.hasForgottenAny() && e.StartAge == AgeUnknown:
		t.sendResolution(e, wire.Outcome_OUTCOME_MAY_HAVE_RUN, nil)
	default:
		t.ledger.refuse(now, k, attemptsAsked(e.Resolve))
		t.sendResolution(e, wire.Outcome_OUTCOME_NOT_RUN, nil)
	}
}

func attemptsAsked(r *wire.Resolve) uint32 {
	if r.GetAttempt() == 0 {
		return allAttempts
	}
	return r.GetAttempt()
}

// resolvedLive answers for a request that runs. One that waits is taken out, so
// that its entry, which no longer hears this sidecar, can send it elsewhere
// while there is time; its record answers then.
func (t *Table) resolvedLive(now time.Time, r *request, e ResolveReceived) bool {
	if r.phase == running {
		r.orphanedAt = now
		t.sendResolution(e, wire.Outcome_OUTCOME_RUNNING, nil)
		return true
	}
	t.endUnstarted(now, r, verdict.New(verdict.NotRun, verdict.CodeCancelled, "its entry asked for the outcome"))
	return false
}
