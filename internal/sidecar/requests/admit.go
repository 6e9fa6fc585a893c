package requests

import (
	"time"

	"github.com/google/uuid"

	"pistachioroad.dev/pistachioroad/internal/decide/queue"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// startReceived admits a Start, attaches it to the active request with its key,
// replays a cached answer or rejects it.
func (t *Table) startReceived(now time.Time, e StartReceived) {
	id, err := uuid.FromBytes(e.Start.GetRequestId())
	if err != nil || (e.Start.GetGenerate() == nil && e.Start.GetCall() == nil) {
		t.rejectStart(e, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "not a request"))
		return
	}
	k := key{id: id, prefill: e.Start.GetGenerate().GetPrefillOnly()}
	if r, ok := t.active[k]; ok {
		t.duplicateStart(now, r, e)
		return
	}
	if t.ledger.mayHaveForgotten(now, e.Age) {
		// The frame is older than a removed record, and so older than the
		// maximum frame age: a copy of it cannot start later and needs no record.
		t.rejectStart(e, verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "the request may have run and been forgotten"))
		return
	}
	if rec, ok := t.ledger.records[k]; ok && t.answerFromRecord(now, rec, e) {
		return
	}
	r := t.newRequest(now, k, e)
	if refusal := t.checkAdmission(now, r, e.Age); refusal != nil {
		t.rejectNew(now, r, e, refusal)
		return
	}
	t.admit(now, r, e.Stream)
}

func (t *Table) newRequest(now time.Time, k key, e StartReceived) *request {
	return &request{
		key:         k,
		start:       e.Start,
		fingerprint: fingerprint(e.Start),
		arrivedAt:   now,
		deadline:    now.Add(budget(e.Start, t.cfg.MaxRunTime) - max(0, e.Age)),
	}
}

// checkAdmission returns the reason to reject r, or nil.
func (t *Table) checkAdmission(now time.Time, r *request, age time.Duration) *verdict.Error {
	switch {
	case t.ledger.tooOld(now, age):
		return verdict.NewRejection(verdict.CodeDeadlineExceeded, "the request came too late", DefaultRetryAfter)
	case !now.Before(r.deadline):
		return verdict.New(verdict.NotRun, verdict.CodeDeadlineExceeded, "the deadline has passed on the way")
	case t.closedReason != nil:
		refusal := *t.closedReason
		return &refusal
	case t.suspect:
		return verdict.NewRejection(verdict.CodeNoBackend, "the engine broke off", DefaultRetryAfter)
	case t.ledger.full():
		return verdict.NewRejection(verdict.CodeOverloaded, "too many recent requests to remember", time.Second)
	case r.keyed() && len(t.byClaim) >= t.cfg.QueueLength:
		return verdict.NewRejection(verdict.CodeOverloaded, "too many requests wait for a claim", DefaultRetryAfter)
	case t.engine.Load.KVBlocks > 0 && kvBlocks(r.start) > t.engine.Load.KVBlocks:
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the request needs more KV cache than the engine has")
	}
	return nil
}

// admit claims the idempotency key of r, or queues it if it needs none.
func (t *Table) admit(now time.Time, r *request, stream Stream) {
	t.track(r)
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
		ID:           r.key.queueItemID(),
		Class:        queueClass(r.start.GetClass()),
		Caller:       r.start.GetCaller(),
		PromptTokens: promptTokens(r.start),
		OutputTokens: outputTokens(r.start),
		Deadline:     r.deadline,
	})
	if !ok {
		t.rejectWaiting(now, r, verdict.NewRejection(verdict.CodeOverloaded, "the queue is full", wait))
	}
}

// queueClass returns the queue's class number, 0 being the most urgent.
func queueClass(c wire.Class) int {
	if c == wire.Class_CLASS_UNSPECIFIED {
		c = wire.Class_CLASS_NORMAL
	}
	return int(c) - int(wire.Class_CLASS_INTERACTIVE)
}

// rejectNew rejects a Start and records it, so that a second copy of the frame
// does not start either.
func (t *Table) rejectNew(now time.Time, r *request, e StartReceived, refusal *verdict.Error) {
	t.ledger.recordNotRun(now, r.key, e.Start.GetAttempt())
	t.logDecision(r, "refused", refusal.Error())
	t.rejectStart(e, t.withWorstVerdict(r.key, refusal))
}

// answerFromRecord answers a Start from the record of its request. It returns
// false if the attempt may run.
func (t *Table) answerFromRecord(now time.Time, rec *record, e StartReceived) bool {
	isNew := e.Start.GetAttempt() > rec.maxAttempt
	if rec.verdict == verdict.NotRun {
		if isNew {
			return false
		}
		t.ledger.recordNotRun(now, rec.key, e.Start.GetAttempt())
		t.rejectStart(e, verdict.New(verdict.NotRun, verdict.CodeCancelled, "the attempt was answered not run before"))
		return true
	}
	if rec.fingerprint != fingerprint(e.Start) {
		t.rejectStart(e, verdict.New(verdict.MayHaveRun, verdict.CodeBadRequest, "the request id belongs to another request"))
		return true
	}
	if rec.final != nil && rec.resumeFrom == e.Start.GetGenerate().GetResumeFrom() {
		t.replay(e.Stream, rec.key, e.Start.GetAttempt(), rec.chunks, rec.final)
		return true
	}
	if rec.idempotent && isNew {
		return false
	}
	t.rejectStart(e, verdict.New(rec.verdict, verdict.CodeOutcomeUnknown, "the request was started before and its answer was not kept"))
	return true
}
