package requests

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

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

func (t *Table) claimAnswered(now time.Time, e ClaimDecided) {
	r, ok := t.claims[e.Claim]
	if !ok {
		// The request was given up meanwhile and never starts: its key is
		// free again.
		if e.Granted {
			t.emit(SettleClaim{Claim: e.Claim, Verdict: verdict.NotRun})
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
func (t *Table) claimReplayed(now time.Time, r *request, e ClaimDecided) {
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
	settle := SettleClaim{Claim: r.claim, Verdict: v}
	if v == verdict.Ran && final != nil && !r.answer.dropped {
		settle.Chunks, settle.Final = r.answer.chunks, final
	}
	t.emit(settle)
}
