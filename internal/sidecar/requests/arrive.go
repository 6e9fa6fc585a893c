package requests

import (
	"time"

	"github.com/google/uuid"

	"pistachioroad.dev/pistachioroad/internal/decide/queue"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// arrived admits a Start, attaches it to the same request, or refuses it.
func (t *Table) arrived(now time.Time, e StartReceived) {
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
		t.refuseFrame(e, verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "the request may have run and been forgotten"))
		return
	}
	if rec, ok := t.ledger.records[k]; ok && t.answered(now, rec, e) {
		return
	}
	r := t.newRequest(now, k, e)
	if refusal := t.admission(now, r, e.Age); refusal != nil {
		t.turnAway(now, r, e, refusal)
		return
	}
	t.admit(now, r, e.Stream)
}

func (t *Table) newRequest(now time.Time, k key, e StartReceived) *request {
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
		return verdict.NewRejection(verdict.CodeDeadlineExceeded, "the request came too late", DefaultRetryAfter)
	case !now.Before(r.deadline):
		return verdict.New(verdict.NotRun, verdict.CodeDeadlineExceeded, "the deadline has passed on the way")
	case t.closed != nil:
		refusal := *t.closed
		return &refusal
	case t.suspect:
		return verdict.NewRejection(verdict.CodeNoBackend, "the engine broke off", DefaultRetryAfter)
	case t.ledger.full():
		return verdict.NewRejection(verdict.CodeOverloaded, "too many recent requests to remember", time.Second)
	case r.keyed() && len(t.claims) >= t.cfg.QueueLength:
		return verdict.NewRejection(verdict.CodeOverloaded, "too many requests wait for a claim", DefaultRetryAfter)
	case t.engine.Load.KVBlocks > 0 && pieces(r.start) > t.engine.Load.KVBlocks:
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
		t.endUnstarted(now, r, verdict.NewRejection(verdict.CodeOverloaded, "the queue is full", wait))
	}
}

// queueClass numbers the classes from 0, the most urgent.
func queueClass(c wire.Class) int {
	if c == wire.Class_CLASS_UNSPECIFIED {
		c = wire.Class_CLASS_NORMAL
	}
	return int(c) - int(wire.Class_CLASS_INTERACTIVE)
}

// turnAway refuses a Start that was not let in, and remembers that: a second
// copy of the frame must not start either.
func (t *Table) turnAway(now time.Time, r *request, e StartReceived, refusal *verdict.Error) {
	t.ledger.refuse(now, r.key, e.Start.GetAttempt())
	t.note(r, "refused", refusal.Error())
	t.refuseFrame(e, t.atWorst(r.key, refusal))
}

// answered answers a Start from the record of its request. It returns false if
// the attempt may run.
func (t *Table) answered(now time.Time, rec *record, e StartReceived) bool {
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
	t.refuseFrame(e, verdict.New(rec.verdict, verdict.CodeOutcomeUnknown, "the request was started before and its answer was not kept"))
	return true
}
