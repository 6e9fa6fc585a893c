package requests

import (
	"time"

	"github.com/google/uuid"

	"pistachioroad.dev/pistachioroad/internal/decide/queue"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// arrived admits a Start, attaches it to the same request, or refuses it.
func (t *Table) arrived(now time.Time, e Arrived) {
	id, err := uuid.FromBytes(e.Start.GetRequestId())
	if err != nil || (e.Start.GetGenerate() == nil && e.Start.GetCall() == nil) {
		t.refuseFrame(e, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "not a request"))
		return
	}
	k := key{id: id, prefill: e.Start.GetGenerate().GetPrefillOnly()}
	if r, ok := t.live[k]; ok {
		t.again(now, r, e)
		return
	}
	if t.ledger.hasForgotten(now, e.Age) {
		// It is too late to start as well, so there is nothing to record.
		t.refuseFrame(e, verdict.New(verdict.MayHaveRun, verdict.CodeUnknownResult, "the request may have run and been forgotten"))
		return
	}
	if rec, ok := t.ledger.records[k]; ok && t.answered(now, rec, e) {
		return
	}
	t.meter.arrive(e.Start)
	r := t.newRequest(now, k, e)
	if refusal := t.admission(now, r, e.Age); refusal != nil {
		t.turnAway(now, r, e, refusal)
		return
	}
	t.admit(now, r, e.Stream)
}

func (t *Table) newRequest(now time.Time, k key, e Arrived) *request {
	return &request{
		key:       k,
		start:     e.Start,
		print:     fingerprint(e.Start),
		arrivedAt: now,
		deadline:  now.Add(budget(e.Start, t.cfg.MaxRun) - max(0, e.Age)),
	}
}

// admission returns why r is not let in, nil if it is.
func (t *Table) admission(now time.Time, r *request, age time.Duration) *verdict.Error {
	switch {
	case t.ledger.late(now, age):
		return verdict.Refused(verdict.CodeDeadline, "the request came too late", DefaultRetryAfter)
	case !now.Before(r.deadline):
		return verdict.New(verdict.NotRun, verdict.CodeDeadline, "the deadline has passed on the way")
	case t.closed != nil:
		refusal := *t.closed
		return &refusal
	case t.suspect:
		return verdict.Refused(verdict.CodeNoBackend, "the engine broke off", DefaultRetryAfter)
	case t.ledger.full():
		return verdict.Refused(verdict.CodeOverloaded, "too many recent requests to remember", time.Second)
	case r.keyed() && len(t.claims) >= t.cfg.QueueLength:
		return verdict.Refused(verdict.CodeOverloaded, "too many requests wait for a claim", DefaultRetryAfter)
	case t.engine.Load.Pieces > 0 && pieces(r.start) > t.engine.Load.Pieces:
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the request needs more KV cache than the engine has")
	}
	return nil
}

// admit lets r in: to the claim of its key, or to the queue.
func (t *Table) admit(now time.Time, r *request, stream Stream) {
	t.enlist(r)
	t.subscribe(r, stream, r.start.GetAttempt())
	if r.keyed() {
		t.claim(r)
		return
	}
	t.enqueue(now, r)
}

func (t *Table) enlist(r *request) {
	r.serial = t.nextSerial()
	t.live[r.key] = r
	t.items[r.key.item()] = r
	t.ledger.reserved = len(t.live)
}

// forget removes r from what has no outcome. Its outcome is recorded next.
func (t *Table) forget(r *request) {
	t.unsubscribe(r)
	delete(t.live, r.key)
	delete(t.items, r.key.item())
	delete(t.runs, r.run)
	delete(t.claims, r.claim)
	t.ledger.reserved = len(t.live)
}

func (t *Table) subscribe(r *request, stream Stream, attempt uint32) {
	r.attempt = max(r.attempt, attempt)
	r.stream = &subscriber{stream: stream, attempt: attempt, digest: wire.NewDigest()}
	t.streams[stream] = r
}

func (t *Table) unsubscribe(r *request) {
	if r.stream != nil {
		delete(t.streams, r.stream.stream)
	}
	r.stream = nil
}

func (t *Table) enqueue(now time.Time, r *request) {
	r.phase = queued
	ok, wait := t.queue.Push(now, queue.Item{
		ID:           r.key.item(),
		Class:        queueClass(r.start.GetClass()),
		Caller:       r.start.GetCaller(),
		PromptTokens: promptTokens(r.start),
		OutputTokens: outputTokens(r.start),
		Deadline:     r.deadline,
	})
	if !ok {
		t.endUnstarted(now, r, verdict.Refused(verdict.CodeOverloaded, "the queue is full", wait))
	}
}

// queueClass numbers the classes from 0, the most urgent.
func queueClass(c wire.Class) int {
	if c == wire.Class_CLASS_UNSPECIFIED {
		c = wire.Class_CLASS_NORMAL
	}
	return int(c) - int(wire.Class_CLASS_INTERACTIVE)
}

// again answers a Start for a request that has no outcome yet. It never runs a
// second time: the newer attempt takes the answer over.
//
// An entry that lost its connection sends the request again, or two requests
// came under one id. Run twice, they would place a hold twice; joined blindly,
// one caller would read the other's answer.
func (t *Table) again(now time.Time, r *request, e Arrived) {
	refuse := func(code verdict.Code, why string) {
		t.refuseFrame(e, verdict.New(verdict.MayHaveRun, code, why))
	}
	if r.print != fingerprint(e.Start) {
		refuse(verdict.CodeBadRequest, "the request id belongs to another request")
		return
	}
	if e.Start.GetAttempt() <= r.attempt {
		refuse(verdict.CodeUnknownResult, "the request is under way for this or a later attempt")
		return
	}
	next, ok := resumePoint(r, e.Start)
	if !ok || r.stopping || t.ledger.late(now, e.Age) {
		refuse(verdict.CodeUnknownResult, "the request is under way and cannot be joined")
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

func (t *Table) attach(r *request, e Arrived, next int) {
	if old := r.stream; old != nil {
		t.sendRefusal(old.stream, r.key, old.attempt,
			verdict.New(verdict.MayHaveRun, verdict.CodeUnknownResult, "a later attempt took over"))
		t.unsubscribe(r)
	}
	t.note(r, "attached", "a later attempt takes the answer over")
	t.subscribe(r, e.Stream, e.Start.GetAttempt())
	for _, c := range merge(r.answer.chunks[next:]) {
		t.sendChunk(r, c)
	}
}

// answered answers a Start from the record of its request. It returns false if
// the attempt may run.
func (t *Table) answered(now time.Time, rec *record, e Arrived) bool {
	isNew := e.Start.GetAttempt() > rec.attempts
	if rec.verdict == verdict.NotRun {
		if isNew {
			return false
		}
		t.ledger.refuse(now, rec.key, e.Start.GetAttempt())
		t.refuseFrame(e, verdict.New(verdict.NotRun, verdict.CodeCancelled, "the attempt was answered not run before"))
		return true
	}
	if rec.print != fingerprint(e.Start) {
		t.refuseFrame(e, verdict.New(verdict.MayHaveRun, verdict.CodeBadRequest, "the request id belongs to another request"))
		return true
	}
	if rec.final != nil && rec.resumeFrom == e.Start.GetGenerate().GetResumeFrom() {
		t.replay(e.Stream, rec.key, e.Start.GetAttempt(), rec.chunks, rec.final)
		return true
	}
	if rec.idempotent && isNew {
		return false
	}
	t.refuseFrame(e, verdict.New(rec.verdict, verdict.CodeUnknownResult, "the request was started before and its answer was not kept"))
	return true
}

// turnAway refuses a Start that was not let in, and remembers that: a second
// copy of the frame must not start either.
func (t *Table) turnAway(now time.Time, r *request, e Arrived, refusal *verdict.Error) {
	t.ledger.refuse(now, r.key, e.Start.GetAttempt())
	t.note(r, "refused", refusal.Error())
	t.refuseFrame(e, t.atWorst(r.key, refusal))
}

// cancelled gives a request up.
func (t *Table) cancelled(now time.Time, e Cancelled) {
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
func (t *Table) streamEnded(now time.Time, e StreamEnded) {
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

// resolve tells what became of a request, for good.
//
// The entry does not know whether its Start arrived. If "never seen" were said
// of a Start still under way, it would arrive after its caller was told "not
// run", and run. So the answer is recorded before it is given.
func (t *Table) resolve(now time.Time, e ResolveAsked) {
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
	case t.ledger.hasForgotten(now, e.StartAge):
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
func (t *Table) resolvedLive(now time.Time, r *request, e ResolveAsked) bool {
	if r.phase == running {
		r.orphanedAt = now
		t.sendResolution(e, wire.Outcome_OUTCOME_RUNNING, nil)
		return true
	}
	t.endUnstarted(now, r, verdict.New(verdict.NotRun, verdict.CodeCancelled, "its entry asked for the outcome"))
	return false
}
