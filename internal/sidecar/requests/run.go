package requests

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/decide/queue"
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

var (
	waitTimer = metrics.GetOrRegisterTimer("requests.wait", nil)
	runTimer  = metrics.GetOrRegisterTimer("requests.run", nil)
)

// startReady starts queued requests as far as the engine has capacity.
func (t *Table) startReady(now time.Time) {
	if t.closedReason != nil || t.suspect {
		return
	}
	for {
		slots, blocks := t.freeCapacity()
		item, ok := t.queue.Pop(now, queue.Capacity{Slots: slots, KVBlocks: blocks})
		if !ok {
			return
		}
		t.start(now, t.byItemID[item.ID])
	}
}

// start begins a run. It is the only place that does.
func (t *Table) start(now time.Time, r *request) {
	t.checkStart(now, r)
	r.phase = running
	r.run = RunID(t.nextSerial())
	r.startedAt = now
	waitTimer.Update(now.Sub(r.arrivedAt))
	t.byRun[r.run] = r
	t.logDecision(r, "started", "attempt runs with "+r.deadline.Sub(now).Round(time.Millisecond).String()+" left")
	t.emit(Run{Run: r.run, Start: r.start, Deadline: r.deadline})
}

func (t *Table) checkStart(now time.Time, r *request) {
	invariant.Check(now.Before(r.deadline), "no start after the deadline",
		"request %s starts %s after its deadline", r.key.requestID(), now.Sub(r.deadline))
	invariant.Check(r.phase == queued && t.active[r.key] == r, "a request runs at most once",
		"request %s starts in phase %d", r.key.requestID(), r.phase)
	invariant.Check(!r.keyed() || r.claimHeld, "a claim before the call",
		"request %s has an idempotency key and no claim", r.key.requestID())
	rec, ok := t.ledger.records[r.key]
	if !ok {
		return
	}
	invariant.Check(r.start.GetAttempt() > rec.maxAttempt, "not run is final",
		"request %s: attempt %d starts, attempts up to %d were rejected", r.key.requestID(), r.start.GetAttempt(), rec.maxAttempt)
	invariant.Check(rec.verdict == verdict.NotRun || rec.idempotent, "a request runs at most once",
		"request %s starts again, recorded verdict %s", r.key.requestID(), rec.verdict)
}

// chunkReceived adds a chunk to the answer and sends it to the subscriber.
func (t *Table) chunkReceived(now time.Time, e ChunkReceived) {
	r, ok := t.byRun[e.Run]
	if !ok || r.cancelling {
		return
	}
	if !r.answer.hasOutput {
		t.rates.observePrefill(promptTokens(r.start), now.Sub(r.startedAt))
	}
	c := r.answer.add(e.Data, e.Tokens)
	t.limitAnswerMemory(r)
	if r.subscriber != nil {
		t.sendChunk(r, c)
	}
}

// limitAnswerMemory keeps answers within MaxAnswerBytes: cached answers are evicted
// first, then r's own chunks. A run without its chunks continues, but a later
// attempt cannot attach to it.
func (t *Table) limitAnswerMemory(r *request) {
	running := 0
	for _, other := range t.byRun {
		running += other.answer.bytes
	}
	t.ledger.evictAnswers(max(0, t.cfg.MaxAnswerBytes-running))
	if running > t.cfg.MaxAnswerBytes {
		r.answer.drop()
	}
}

// runFinished handles the end of a run.
func (t *Table) runFinished(now time.Time, e RunFinished) {
	r, ok := t.byRun[e.Run]
	if !ok {
		return
	}
	runTimer.Update(now.Sub(r.startedAt))
	if e.Err != nil {
		t.runFailed(now, r, e.Err)
		return
	}
	final := e.Final
	t.observeRun(now, r, final)
	t.settleClaim(r, verdict.Ran, final)
	if r.subscriber != nil {
		t.sendFinal(r.subscriber, r.key, final)
	}
	t.logDecision(r, "ran", "whole answer")
	rec := t.recordOutcome(now, r, verdict.Ran)
	t.ledger.cacheAnswer(rec, r.answer, final)
}

func (t *Table) observeRun(now time.Time, r *request, final *wire.Final) {
	took := now.Sub(r.startedAt)
	if r.start.GetCall() != nil {
		t.rates.observeCall(took)
		return
	}
	t.rates.observeDecode(int(r.answer.tokens), took)
}

// runFailed handles a run that finished without a complete answer.
func (t *Table) runFailed(now time.Time, r *request, err *verdict.Error) {
	reported := *err
	if reported.Verdict == verdict.NotRun && r.answer.hasOutput {
		reported.Verdict = verdict.MayHaveRun
	}
	if t.cfg.ModelEngine && reported.Code == verdict.CodeAnswerBroken && !r.cancelling {
		t.suspect = true
		t.emit(CheckEngine{})
	}
	t.settleClaim(r, reported.Verdict, nil)
	t.logDecision(r, "ended", reported.Error())
	sub := r.subscriber
	t.recordOutcome(now, r, reported.Verdict)
	if sub != nil {
		t.sendRefusal(sub.stream, r.key, sub.attempt, t.withWorstVerdict(r.key, &reported))
	}
}
