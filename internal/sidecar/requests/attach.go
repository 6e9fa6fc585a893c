package requests

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// again answers a Start for a request that has no outcome yet. It never runs a
// second time: the newer attempt takes the answer over.
//
// An entry that lost its connection sends the request again, or two requests
// came under one id. Run twice, they would place a hold twice; joined blindly,
// one caller would read the other's answer.
func (t *Table) again(now time.Time, r *request, e StartReceived) {
	refuse := func(code verdict.Code, why string) {
		t.refuseFrame(e, verdict.New(verdict.MayHaveRun, code, why))
	}
	if r.print != fingerprint(e.Start) {
		refuse(verdict.CodeBadRequest, "the request id belongs to another request")
		return
	}
	if e.Start.GetAttempt() <= r.attempt {
		refuse(verdict.CodeOutcomeUnknown, "the request is under way for this or a later attempt")
		return
	}
	next, ok := resumePoint(r, e.Start)
	if !ok || r.stopping || t.ledger.late(now, e.Age) {
		refuse(verdict.CodeOutcomeUnknown, "the request is under way and cannot be joined")
		return
	}
	t.attach(r, e, next)
}

// resumePoint returns the chunk of r's answer that a new attempt goes on with.
func resumePoint(r *request, s *wire.Start) (int, bool) {
	before := r.start.GetGenerate().GetResumeFrom()
	from := s.GetGenerate().GetResumeFrom()
	if from < before {
		return 0, false
	}
	return r.answer.after(int(from - before))
}

func (t *Table) attach(r *request, e StartReceived, next int) {
	if old := r.stream; old != nil {
		t.sendRefusal(old.stream, r.key, old.attempt,
			verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "a later attempt took over"))
		t.unsubscribe(r)
	}
	t.note(r, "attached", "a later attempt takes the answer over")
	t.subscribe(r, e.Stream, e.Start.GetAttempt())
	for _, c := range merge(r.answer.chunks[next:]) {
		t.sendChunk(r, c)
	}
}
