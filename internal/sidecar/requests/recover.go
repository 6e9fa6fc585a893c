package requests

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// Recover returns the Table that goes on after Step panicked, and the answers
// to all that the old one knew of. The old Table must not be used any more.
//
// A duty that restarts with an empty table would leave its callers waiting for
// their whole deadlines, forget what it told them, and start as many runs again
// as still go on. So what waited is refused and remembered, and what runs keeps
// its slot and its record; its stream is told that it may have run.
func (t *Table) Recover(now time.Time) (*Table, []Effect) {
	next := New(t.cfg, t.rng)
	next.serial = t.serial
	next.closed = t.closed
	next.suspect = t.suspect
	next.engine = t.engine
	next.meter = t.meter
	next.ledger = t.ledger
	next.ledger.reserved = 0
	begun := next.salvage(t)
	for _, r := range t.inOrder() {
		next.adopt(now, r, begun)
	}
	if e, ok := t.handling.(RunFinished); ok {
		next.lostEnd(now, e.Run)
	}
	return next, next.effects
}

// salvage takes over the effects of the Step that did not return, but for what
// it was about to begin, which it returns.
func (t *Table) salvage(old *Table) map[RunID]bool {
	begun := map[RunID]bool{}
	if old.handling == nil {
		return begun
	}
	for _, e := range old.effects {
		switch e := e.(type) {
		case Run:
			begun[e.Run] = true
		case Claim:
		default:
			t.emit(e)
		}
	}
	return begun
}

func (t *Table) adopt(now time.Time, r *request, begun map[RunID]bool) {
	t.live[r.key] = r
	t.items[r.key.item()] = r
	t.ledger.reserved = len(t.live)
	if r.stream != nil {
		t.streams[r.stream.stream] = r
	}
	if r.phase != running || begun[r.run] {
		r.phase = queued
		t.endUnstarted(now, r, verdict.NewRejection(verdict.CodeInternal, recovering, DefaultRetryAfter))
		return
	}
	t.runs[r.run] = r
	t.dismiss(now, r, verdict.New(verdict.MayHaveRun, verdict.CodeInternal, recovering))
}

const recovering = "the sidecar recovers from a fault"

// lostEnd ends a run whose end the old table was handling: it does not come
// again, and the run would hold its slot for good.
func (t *Table) lostEnd(now time.Time, run RunID) {
	r, ok := t.runs[run]
	if !ok {
		return
	}
	t.settle(r, verdict.MayHaveRun, nil)
	t.retire(now, r, verdict.MayHaveRun)
}
