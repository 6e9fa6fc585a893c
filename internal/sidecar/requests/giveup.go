package requests

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// cancelled gives a request up.
func (t *Table) cancelled(now time.Time, e CancelReceived) {
	if r, ok := t.streams[e.Stream]; ok {
		t.giveUp(now, r, verdict.CodeCancelled, "the caller gave the request up")
	}
}

// giveUp answers at once that r is given up. What waits never starts; a run is
// stopped if it is idempotent, and otherwise goes to its end.
func (t *Table) giveUp(now time.Time, r *request, code verdict.Code, why string) {
	if r.phase != running {
		t.endUnstarted(now, r, verdict.New(verdict.NotRun, code, why))
		return
	}
	t.note(r, "given up", why)
	t.dismiss(now, r, verdict.New(verdict.MayHaveRun, code, why))
	t.stop(r)
}

// dismiss refuses the stream of a run, which goes on without it.
func (t *Table) dismiss(now time.Time, r *request, refusal *verdict.Error) {
	if r.stream != nil {
		t.sendRefusal(r.stream.stream, r.key, r.stream.attempt, refusal)
	}
	t.unsubscribe(r)
	r.orphanedAt = now
}

// stop stops an idempotent run.
func (t *Table) stop(r *request) {
	if !r.idempotent() || r.stopping {
		return
	}
	t.cancelRun(r)
}

// cancelRun stops a run. Pieces that still come are dropped, so what was kept
// is no whole answer any more and must not pass for one.
func (t *Table) cancelRun(r *request) {
	r.stopping = true
	r.answer.drop()
	t.emit(CancelRun{Run: r.run})
}

// streamEnded makes an orphan of the request on the stream. What has not
// started is dropped: its entry asks on another connection and hears so.
func (t *Table) streamEnded(now time.Time, e StreamClosed) {
	r, ok := t.streams[e.Stream]
	if !ok {
		return
	}
	t.unsubscribe(r)
	r.orphanedAt = now
	if r.phase != running {
		t.endUnstarted(now, r, verdict.New(verdict.NotRun, verdict.CodeCancelled, "its stream ended"))
		return
	}
	t.note(r, "orphaned", "its stream ended")
}

// stopAdmitting refuses all that waits, so that it can go elsewhere.
func (t *Table) stopAdmitting(now time.Time, e StopAdmitting) {
	t.closed = verdict.NewRejection(e.Code, e.Reason, DefaultRetryAfter)
	for _, r := range t.inOrder() {
		if r.phase != running {
			refusal := *t.closed
			t.endUnstarted(now, r, &refusal)
		}
	}
}

// handOver ends the idempotent runs; their entries go on from what they have.
func (t *Table) handOver(now time.Time) {
	for _, r := range t.inOrder() {
		if r.phase == running && r.idempotent() {
			t.giveUp(now, r, verdict.CodeDraining, "the backend server changes or leaves: resume elsewhere")
		}
	}
}
