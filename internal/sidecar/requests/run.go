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

// startReady starts what waits, as far as the engine has room.
func (t *Table) startReady(now time.Time) {
	if t.closed != nil || t.suspect {
		return
	}
	for {
		slots, pieces := t.room()
		item, ok := t.queue.Pop(now, queue.Capacity{Slots: slots, KVBlocks: pieces})
		if !ok {
			return
		}
		t.start(now, t.items[item.ID])
	}
}

// start is the only place where a run begins.
func (t *Table) start(now time.Time, r *request) {
	t.checkStart(now, r)
	r.phase = running
	r.run = RunID(t.nextSerial())
	r.startedAt = now
	waitTimer.Update(now.Sub(r.arrivedAt))
	t.runs[r.run] = r
	t.note(r, "started", "attempt runs with "+r.deadline.Sub(now).Round(time.Millisecond).String()+" left")
	t.emit(Run{Run: r.run, Start: r.start, Deadline: r.deadline})
}

func (t *Table) checkStart(now time.Time, r *request) {
	invariant.Check(now.Before(r.deadline), "no start after the deadline",
		"request %s is %s late", r.key.name(), now.Sub(r.deadline))
	invariant.Check(r.phase == queued && t.live[r.key] == r, "a request runs at most once",
		"request %s is started in phase %d", r.key.name(), r.phase)
	invariant.Check(!r.keyed() || r.claimed, "a claim before the call",
		"request %s has a key and no claim", r.key.name())
	rec, ok := t.ledger.records[r.key]
	if !ok {
		return
	}
	invariant.Check(r.start.GetAttempt() > rec.attempts, "not run is final",
		"request %s: attempt %d starts, %d was refused", r.key.name(), r.start.GetAttempt(), rec.attempts)
	invariant.Check(rec.verdict == verdict.NotRun || rec.idempotent, "a request runs at most once",
		"request %s starts again and %s", r.key.name(), rec.verdict)
}

// piece passes a part of the answer on and keeps it.
func (t *Table) piece(now time.Time, e ChunkReceived) {
	r, ok := t.runs[e.Run]
	if !ok || r.stopping {
		return
	}
	if !r.answer.begun {
		t.meter.prefilled(promptTokens(r.start), now.Sub(r.startedAt))
	}
	c := r.answer.add(e.Data, e.Tokens)
	t.boundAnswers(r)
	if r.stream != nil {
		t.sendChunk(r, c)
	}
}

// boundAnswers keeps the answers within their bound: kept ones go first, then
// r's own. A run without its chunks goes on; only a later attempt cannot join.
func (t *Table) boundAnswers(r *request) {
	running := 0
	for _, other := range t.runs {
		running += other.answer.bytes
	}
	t.ledger.shrink(max(0, t.cfg.MaxAnswerBytes-running))
	if running > t.cfg.MaxAnswerBytes {
		r.answer.drop()
	}
}

// ended takes the outcome of a run.
func (t *Table) ended(now time.Time, e RunFinished) {
	r, ok := t.runs[e.Run]
	if !ok {
		return
	}
	runTimer.Update(now.Sub(r.startedAt))
	if e.Err != nil {
		t.endedBroken(now, r, e.Err)
		return
	}
	final := e.Final
	t.meterRun(now, r, final)
	t.settle(r, verdict.Ran, final)
	if r.stream != nil {
		t.sendFinal(r.stream, r.key, final)
	}
	t.note(r, "ran", "whole answer")
	rec := t.retire(now, r, verdict.Ran)
	t.ledger.keep(rec, r.answer, final)
}

func (t *Table) meterRun(now time.Time, r *request, final *wire.Final) {
	took := now.Sub(r.startedAt)
	if r.start.GetCall() != nil {
		t.meter.served(took)
		return
	}
	t.meter.decoded(int(r.answer.tokens), took)
}

// endedBroken takes the end of a run without a whole answer.
func (t *Table) endedBroken(now time.Time, r *request, err *verdict.Error) {
	told := *err
	if told.Verdict == verdict.NotRun && r.answer.begun {
		told.Verdict = verdict.MayHaveRun
	}
	if t.cfg.ModelEngine && told.Code == verdict.CodeAnswerBroken && !r.stopping {
		t.suspect = true
		t.emit(CheckEngine{})
	}
	t.settle(r, told.Verdict, nil)
	t.note(r, "ended", told.Error())
	stream := r.stream
	t.retire(now, r, told.Verdict)
	if stream != nil {
		t.sendRefusal(stream.stream, r.key, stream.attempt, t.atWorst(r.key, &told))
	}
}
