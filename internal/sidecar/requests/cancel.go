package requests

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// cancelReceived handles a caller's cancellation.
func (t *Table) cancelReceived(now time.Time, e CancelReceived) {
	if r, ok := t.byStream[e.Stream]; ok {
		t.abandon(now, r, verdict.CodeCancelled, "the caller gave the request up")
	}
}

// abandon rejects r's stream immediately. A waiting request never starts; a run
// is cancelled if it is idempotent and otherwise continues to completion.
func (t *Table) abandon(now time.Time, r *request, code verdict.Code, reason string) {
	if r.phase != running {
		t.rejectWaiting(now, r, verdict.New(verdict.NotRun, code, reason))
		return
	}
	t.logDecision(r, "given up", reason)
	t.detach(now, r, verdict.New(verdict.MayHaveRun, code, reason))
	t.cancelIfIdempotent(r)
}

// detach rejects the stream of a run, which continues without it.
func (t *Table) detach(now time.Time, r *request, refusal *verdict.Error) {
	if r.subscriber != nil {
		t.sendRefusal(r.subscriber.stream, r.key, r.subscriber.attempt, refusal)
	}
	t.unsubscribe(r)
	r.orphanedAt = now
}

// cancelIfIdempotent cancels an idempotent run, once.
func (t *Table) cancelIfIdempotent(r *request) {
	if !r.idempotent() || r.cancelling {
		return
	}
	t.cancelRun(r)
}

// cancelRun cancels a run. Later chunks are dropped, so the chunks kept so far
// are discarded: they must not be taken for the complete answer.
func (t *Table) cancelRun(r *request) {
	r.cancelling = true
	r.answer.drop()
	t.emit(CancelRun{Run: r.run})
}

// streamClosed orphans the request of the stream. A request that has not started
// is rejected: its entry sends a Resolve on another connection and gets that
// outcome.
func (t *Table) streamClosed(now time.Time, e StreamClosed) {
	r, ok := t.byStream[e.Stream]
	if !ok {
		return
	}
	t.unsubscribe(r)
	r.orphanedAt = now
	if r.phase != running {
		t.rejectWaiting(now, r, verdict.New(verdict.NotRun, verdict.CodeCancelled, "its stream ended"))
		return
	}
	t.logDecision(r, "orphaned", "its stream ended")
}

// stopAdmitting rejects all waiting requests, so that entries can send them to
// another backend server.
func (t *Table) stopAdmitting(now time.Time, e StopAdmitting) {
	t.closedReason = verdict.NewRejection(e.Code, e.Reason, DefaultRetryAfter)
	for _, r := range t.activeBySerial() {
		if r.phase != running {
			refusal := *t.closedReason
			t.rejectWaiting(now, r, &refusal)
		}
	}
}

// handOver cancels the idempotent runs. Their entries resume them elsewhere from
// the output received so far.
func (t *Table) handOver(now time.Time, e HandOver) {
	for _, r := range t.activeBySerial() {
		inTime := !e.End.IsZero() && !r.deadline.After(e.End)
		if r.phase == running && r.idempotent() && !inTime {
			t.abandon(now, r, verdict.CodeDraining, "the backend server changes or leaves: resume elsewhere")
		}
	}
}

// endRuns cancels all runs. Their entries are told so, which otherwise would ask for the
// outcomes until they give up, and claims are settled.
func (t *Table) endRuns(now time.Time) {
	for _, r := range t.activeBySerial() {
		if r.phase != running {
			continue
		}
		code := verdict.CodeOutcomeUnknown
		if r.idempotent() {
			code = verdict.CodeDraining
		}
		t.logDecision(r, "ended", "the sidecar is shutting down")
		t.detach(now, r, verdict.New(verdict.MayHaveRun, code, "the sidecar is shutting down"))
		if !r.cancelling {
			t.cancelRun(r)
		}
	}
}
