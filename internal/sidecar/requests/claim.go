package requests

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// claim requests the claim of r's idempotency key.
func (t *Table) claim(r *request) {
	r.phase = claiming
	r.claim = ClaimID(t.nextSerial())
	t.byClaim[r.claim] = r
	t.emit(Claim{
		Claim:    r.claim,
		Request:  r.key.requestID(),
		Service:  r.start.GetService(),
		Key:      r.start.GetIdempotencyKey(),
		Digest:   r.start.GetBodyDigest(),
		Deadline: r.deadline,
	})
}

func (t *Table) claimDecided(now time.Time, e ClaimDecided) {
	r, ok := t.byClaim[e.Claim]
	if !ok {
		// The request was cancelled in the meantime and never starts: release
		// its key.
		if e.Granted {
			t.emit(SettleClaim{Claim: e.Claim, Verdict: verdict.NotRun})
		}
		return
	}
	delete(t.byClaim, e.Claim)
	switch {
	case e.Granted:
		r.claimHeld = true
		t.enqueue(now, r)
	case e.Final != nil:
		t.claimReplayed(now, r, e)
	default:
		t.claimRejected(now, r, e.Err)
	}
}

// claimReplayed sends the stored answer of an earlier request with the key.
func (t *Table) claimReplayed(now time.Time, r *request, e ClaimDecided) {
	sub := r.subscriber
	t.logDecision(r, "replayed", "the idempotency key has a kept answer")
	rec := t.recordOutcome(now, r, verdict.Ran)
	for _, c := range e.Chunks {
		r.answer.add(c.GetData(), c.GetTokens())
	}
	final := &wire.Final{Status: e.Final.GetStatus(), Headers: e.Final.GetHeaders(), Replayed: true}
	t.ledger.cacheAnswer(rec, r.answer, final)
	if sub != nil {
		t.replay(sub.stream, r.key, sub.attempt, r.answer.chunks, final)
	}
}

// claimRejected rejects a keyed call that must not run here. The verdict is that
// of the key: an earlier request with it may have run.
func (t *Table) claimRejected(now time.Time, r *request, err *verdict.Error) {
	t.logDecision(r, "refused", err.Error())
	sub := r.subscriber
	t.recordOutcome(now, r, err.Verdict)
	if sub != nil {
		t.sendRefusal(sub.stream, r.key, sub.attempt, err)
	}
}

// settleClaim records the outcome of r's claim, if it holds one.
func (t *Table) settleClaim(r *request, v verdict.Verdict, final *wire.Final) {
	if !r.claimHeld {
		return
	}
	r.claimHeld = false
	settle := SettleClaim{Claim: r.claim, Verdict: v}
	if v == verdict.Ran && final != nil && !r.answer.dropped {
		settle.Chunks, settle.Final = r.answer.chunks, final
	}
	t.emit(settle)
}
