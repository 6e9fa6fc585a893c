package requests

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// duplicateStart handles a Start for an active request. The request does not
// run again: the answer is redirected to the newer attempt.
//
// Duplicates come from entries that retry after a lost connection, or from two
// requests with the same id. Running both would execute a call twice; attaching
// without checking the fingerprint would send one caller the other's answer.
func (t *Table) duplicateStart(now time.Time, r *request, e StartReceived) {
	reject := func(code verdict.Code, reason string) {
		t.rejectStart(e, verdict.New(verdict.MayHaveRun, code, reason))
	}
	if r.fingerprint != fingerprint(e.Start) {
		reject(verdict.CodeBadRequest, "the request id belongs to another request")
		return
	}
	if e.Start.GetAttempt() <= r.attempt {
		reject(verdict.CodeOutcomeUnknown, "the request is under way for this or a later attempt")
		return
	}
	next, ok := resumePoint(r, e.Start)
	if !ok || r.cancelling || t.ledger.tooOld(now, e.Age) {
		reject(verdict.CodeOutcomeUnknown, "the request is under way and cannot be joined")
		return
	}
	t.attach(r, e, next)
}

// resumePoint returns the index of the chunk of r's answer from which a new
// attempt continues, or false if it cannot.
func resumePoint(r *request, s *wire.Start) (int, bool) {
	resumedFrom := r.start.GetGenerate().GetResumeFrom()
	from := s.GetGenerate().GetResumeFrom()
	if from < resumedFrom {
		return 0, false
	}
	return r.answer.indexAfterTokens(int(from - resumedFrom))
}

func (t *Table) attach(r *request, e StartReceived, next int) {
	if old := r.subscriber; old != nil {
		t.sendRefusal(old.stream, r.key, old.attempt,
			verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "a later attempt took over"))
		t.unsubscribe(r)
	}
	t.logDecision(r, "attached", "a later attempt takes the answer over")
	t.subscribe(r, e.Stream, e.Start.GetAttempt())
	for _, c := range mergeChunks(r.answer.chunks[next:]) {
		t.sendChunk(r, c)
	}
}
