package requests

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// Recover returns the Table that replaces this one after Step panicked, with the
// effects that answer all active requests. The old Table must not be used again.
//
// With an empty table, callers would wait until their deadlines, attempts
// reported as "not run" could start, and new runs would exceed the slots while
// old ones continue. So waiting requests are rejected and recorded, and runs keep
// their slots; their streams get a refusal with the verdict MayHaveRun.
func (t *Table) Recover(now time.Time) (*Table, []Effect) {
	next := New(t.cfg, t.rng)
	next.lastSerial = t.lastSerial
	next.closedReason = t.closedReason
	next.suspect = t.suspect
	next.engine = t.engine
	next.rates = t.rates
	next.ledger = t.ledger
	next.ledger.reserved = 0
	notStarted := next.takeOverEffects(t)
	for _, r := range t.activeBySerial() {
		next.adopt(now, r, notStarted)
	}
	if e, ok := t.currentEvent.(RunFinished); ok {
		next.finishLostRun(now, e.Run)
	}
	return next, next.effects
}

// takeOverEffects emits the effects of the Step that panicked, except runs and
// claims, which are not started. It returns those runs.
func (t *Table) takeOverEffects(old *Table) map[RunID]bool {
	notStarted := map[RunID]bool{}
	if old.currentEvent == nil {
		return notStarted
	}
	for _, e := range old.effects {
		switch e := e.(type) {
		case Run:
			notStarted[e.Run] = true
		case Claim:
		default:
			t.emit(e)
		}
	}
	return notStarted
}

func (t *Table) adopt(now time.Time, r *request, notStarted map[RunID]bool) {
	t.active[r.key] = r
	t.byItemID[r.key.queueItemID()] = r
	t.ledger.reserved = len(t.active)
	if r.subscriber != nil {
		t.byStream[r.subscriber.stream] = r
	}
	if r.phase != running || notStarted[r.run] {
		r.phase = queued
		t.rejectWaiting(now, r, verdict.NewRejection(verdict.CodeInternal, recoveringMessage, DefaultRetryAfter))
		return
	}
	t.byRun[r.run] = r
	t.detach(now, r, verdict.New(verdict.MayHaveRun, verdict.CodeInternal, recoveringMessage))
}

const recoveringMessage = "the sidecar recovers from a fault"

// finishLostRun finishes a run whose completion the old table was processing when
// it panicked. The event is not repeated, and the run would hold its slot
// forever.
func (t *Table) finishLostRun(now time.Time, run RunID) {
	r, ok := t.byRun[run]
	if !ok {
		return
	}
	t.settleClaim(r, verdict.MayHaveRun, nil)
	t.recordOutcome(now, r, verdict.MayHaveRun)
}
