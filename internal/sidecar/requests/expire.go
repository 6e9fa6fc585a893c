package requests

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/queue"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// expire rejects and cancels requests whose time limits have passed.
func (t *Table) expire(now time.Time) {
	for _, removed := range t.queue.TakeExpired(now) {
		if r := t.byItemID[removed.ID]; r != nil {
			t.rejectWaiting(now, r, removalError(removed.Reason))
		}
	}
	for _, r := range t.activeBySerial() {
		t.expireRequest(now, r)
	}
}

func removalError(reason queue.Reason) *verdict.Error {
	if reason == queue.Displaced {
		return verdict.NewRejection(verdict.CodeOverloaded, reason.String(), DefaultRetryAfter)
	}
	return verdict.New(verdict.NotRun, verdict.CodeDeadlineExceeded, reason.String())
}

func (t *Table) expireRequest(now time.Time, r *request) {
	expired := !now.Before(r.deadline)
	switch {
	case expired && r.phase != running:
		t.rejectWaiting(now, r, verdict.New(verdict.NotRun, verdict.CodeDeadlineExceeded, "the deadline has passed while waiting"))
	case r.phase != running:
	case expired && r.subscriber != nil:
		t.abandon(now, r, verdict.CodeDeadlineExceeded, "the deadline has passed")
	case r.subscriber == nil && now.Sub(r.orphanedAt) >= t.cfg.ResumeWait:
		t.cancelIfIdempotent(r)
	case now.Sub(r.startedAt) >= t.cfg.MaxRunTime && !r.cancelling:
		t.cancelRun(r)
	}
}
