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
		item, ok := t.queue.Pop(now, queue.Room{Slots: slots, Pieces: pieces})
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
func (t *Table) piece(now time.Time, e Piece) {
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
	t.ledger.shrink(max(0, t.cfg.ResultBytes-running))
	if running > t.cfg.ResultBytes {
		r.answer.drop()
	}
}

// ended takes the outcome of a run.
func (t *Table) ended(now time.Time, e Ended) {
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
	t.meter.cached(final)
}

// endedBroken takes the end of a run without a whole answer.
func (t *Table) endedBroken(now time.Time, r *request, err *verdict.Error) {
	told := *err
	if told.Verdict == verdict.NotRun && r.answer.begun {
		told.Verdict = verdict.MayHaveRun
	}
	if t.cfg.Engine && told.Code == verdict.CodeBroken && !r.stopping {
		t.suspect = true
		t.emit(Suspect{})
	}
	t.settle(r, told.Verdict, nil)
	t.note(r, "ended", told.Error())
	stream := r.stream
	t.retire(now, r, told.Verdict)
	if stream != nil {
		t.sendRefusal(stream.stream, r.key, stream.attempt, t.atWorst(r.key, &told))
	}
}

// retire records the outcome of r, which ran or was to run.
func (t *Table) retire(now time.Time, r *request, v verdict.Verdict) *record {
	t.forget(r)
	count(v)
	if v != verdict.NotRun {
		return t.ledger.close(now, r, v)
	}
	t.ledger.refuse(now, r.key, r.attempt)
	return nil
}

// endUnstarted refuses a request that waits. It never starts.
func (t *Table) endUnstarted(now time.Time, r *request, refusal *verdict.Error) {
	invariant.Check(r.phase != running, "not run is true", "request %s runs", r.key.name())
	t.queue.Remove(r.key.item())
	t.settle(r, verdict.NotRun, nil)
	t.note(r, "refused", refusal.Error())
	stream := r.stream
	t.retire(now, r, verdict.NotRun)
	if stream != nil {
		t.sendRefusal(stream.stream, r.key, stream.attempt, t.atWorst(r.key, refusal))
	}
}

// atWorst returns the refusal with the verdict over all attempts of a request
// that this sidecar knows of.
func (t *Table) atWorst(k key, refusal *verdict.Error) *verdict.Error {
	if rec, ok := t.ledger.records[k]; ok {
		refusal.Verdict = verdict.Worst(refusal.Verdict, rec.verdict)
	}
	return refusal
}

// expire answers what the passing of time has decided.
func (t *Table) expire(now time.Time) {
	for _, removed := range t.queue.Expired(now) {
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
		return verdict.Refused(verdict.CodeOverloaded, reason.String(), DefaultRetryAfter)
	}
	return verdict.New(verdict.NotRun, verdict.CodeDeadline, reason.String())
}

func (t *Table) expireOne(now time.Time, r *request) {
	late := !now.Before(r.deadline)
	switch {
	case late && r.phase != running:
		t.endUnstarted(now, r, verdict.New(verdict.NotRun, verdict.CodeDeadline, "the deadline has passed while waiting"))
	case r.phase != running:
	case late && r.stream != nil:
		t.giveUp(now, r, verdict.CodeDeadline, "the deadline has passed")
	case r.stream == nil && now.Sub(r.orphanedAt) >= t.cfg.ResumeWait:
		t.stop(r)
	case now.Sub(r.startedAt) >= t.cfg.MaxRun && !r.stopping:
		t.cancelRun(r)
	}
}

// stopAdmitting refuses all that waits, so that it can go elsewhere.
func (t *Table) stopAdmitting(now time.Time, e StopAdmitting) {
	t.closed = verdict.Refused(e.Code, e.Why, DefaultRetryAfter)
	for _, r := range t.inOrder() {
		if r.phase != running {
			refusal := *t.closed
			t.endUnstarted(now, r, &refusal)
		}
	}
}

// handOver ends the idempotent runs; their entries go on from what they have.
func (t *Table) handOver(now time.Time) {
	for _, r := range t.inOrder() {
		if r.phase == running && r.idempotent() {
			t.giveUp(now, r, verdict.CodeDraining, "the backend server is leaving, resume elsewhere")
		}
	}
}

func count(v verdict.Verdict) {
	metrics.GetOrRegisterCounter("requests.outcome."+v.String(), nil).Inc(1)
}

// claim asks for the idempotency key of r.
func (t *Table) claim(r *request) {
	r.phase = claiming
	r.claim = ClaimID(t.nextSerial())
	t.claims[r.claim] = r
	t.emit(Claim{
		Claim:    r.claim,
		Request:  r.key.name(),
		Service:  r.start.GetService(),
		Key:      r.start.GetIdempotencyKey(),
		Digest:   r.start.GetBodyDigest(),
		Deadline: r.deadline,
	})
}

func (t *Table) claimAnswered(now time.Time, e ClaimAnswered) {
	r, ok := t.claims[e.Claim]
	if !ok {
		// The request was given up meanwhile and never starts: its key is
		// free again.
		if e.Granted {
			t.emit(Settle{Claim: e.Claim, Verdict: verdict.NotRun})
		}
		return
	}
	delete(t.claims, e.Claim)
	switch {
	case e.Granted:
		r.claimed = true
		t.enqueue(now, r)
	case e.Final != nil:
		t.claimReplayed(now, r, e)
	default:
		t.claimRefused(now, r, e.Err)
	}
}

// claimReplayed answers with what an earlier request with the key got.
func (t *Table) claimReplayed(now time.Time, r *request, e ClaimAnswered) {
	stream := r.stream
	t.note(r, "replayed", "the idempotency key has a kept answer")
	rec := t.retire(now, r, verdict.Ran)
	for _, c := range e.Chunks {
		r.answer.add(c.GetData(), c.GetTokens())
	}
	final := &wire.Final{Status: e.Final.GetStatus(), Headers: e.Final.GetHeaders(), Replayed: true}
	t.ledger.keep(rec, r.answer, final)
	if stream != nil {
		t.replay(stream.stream, r.key, stream.attempt, r.answer.chunks, final)
	}
}

// claimRefused ends a keyed call that must not run here. Its verdict is that
// of the key, which an earlier request may have run.
func (t *Table) claimRefused(now time.Time, r *request, err *verdict.Error) {
	t.note(r, "refused", err.Error())
	stream := r.stream
	t.retire(now, r, err.Verdict)
	if stream != nil {
		t.sendRefusal(stream.stream, r.key, stream.attempt, err)
	}
}

// settle ends the claim of r, if it holds one.
func (t *Table) settle(r *request, v verdict.Verdict, final *wire.Final) {
	if !r.claimed {
		return
	}
	r.claimed = false
	settle := Settle{Claim: r.claim, Verdict: v}
	if v == verdict.Ran && final != nil && !r.answer.dropped {
		settle.Chunks, settle.Final = r.answer.chunks, final
	}
	t.emit(settle)
}
