package requests

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/queue"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// expire answers what the passing of time has decided.
func (t *Table) expire(now time.Time) {
	for _, removed := range t.queue.TakeExpired(now) {
		if r := t.items[removed.ID]; r != nil {
			t.endUnstarted(now, r, removalError(removed.Reason))
		}
	}
	for _, r := range t.inOrder() {
		t.expireOne(now, r)
	}
}

func removalError(reason queue.Reason) *verdict.Error {
	if reason == queue.Displaced {
		return verdict.NewRejection(verdict.CodeOverloaded, reason.String(), DefaultRetryAfter)
	}
	return verdict.New(verdict.NotRun, verdict.CodeDeadlineExceeded, reason.String())
}

func (t *Table) expireOne(now time.Time, r *request) {
	late := !now.Before(r.deadline)
	switch {
	case late && r.phase != running:
		t.endUnstarted(now, r, verdict.New(verdict.NotRun, verdict.CodeDeadlineExceeded, "the deadline has passed while waiting"))
	case r.phase != running:
	case late && r.stream != nil:
		t.giveUp(now, r, verdict.CodeDeadlineExceeded, "the deadline has passed")
	case r.stream == nil && now.Sub(r.orphanedAt) >= t.cfg.ResumeWait:
		t.stop(r)
	case now.Sub(r.startedAt) >= t.cfg.MaxRun && !r.stopping:
		t.cancelRun(r)
	}
}
