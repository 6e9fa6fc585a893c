package requests

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

func (t *Table) track(r *request) {
	r.serial = t.nextSerial()
	t.active[r.key] = r
	t.byItemID[r.key.queueItemID()] = r
	t.ledger.reserved = len(t.active)
}

// untrack removes r from the active requests. The caller records its outcome.
func (t *Table) untrack(r *request) {
	t.unsubscribe(r)
	delete(t.active, r.key)
	delete(t.byItemID, r.key.queueItemID())
	delete(t.byRun, r.run)
	delete(t.byClaim, r.claim)
	t.ledger.reserved = len(t.active)
}

func (t *Table) subscribe(r *request, stream Stream, attempt uint32) {
	r.attempt = max(r.attempt, attempt)
	r.subscriber = &subscriber{stream: stream, attempt: attempt, digest: wire.NewDigest()}
	t.byStream[stream] = r
}

func (t *Table) unsubscribe(r *request) {
	if r.subscriber != nil {
		delete(t.byStream, r.subscriber.stream)
	}
	r.subscriber = nil
}

// recordOutcome ends r's activity and records its outcome. The record is nil for
// NotRun.
func (t *Table) recordOutcome(now time.Time, r *request, v verdict.Verdict) *record {
	t.untrack(r)
	countOutcome(v)
	if v != verdict.NotRun {
		return t.ledger.recordStarted(now, r, v)
	}
	t.ledger.recordNotRun(now, r.key, r.attempt)
	return nil
}

// rejectWaiting rejects a request that has not started and now never will.
func (t *Table) rejectWaiting(now time.Time, r *request, refusal *verdict.Error) {
	invariant.Check(r.phase != running, "not run is true", "request %s is rejected while running", r.key.requestID())
	t.queue.Remove(r.key.queueItemID())
	t.settleClaim(r, verdict.NotRun, nil)
	t.logDecision(r, "refused", refusal.Error())
	sub := r.subscriber
	t.recordOutcome(now, r, verdict.NotRun)
	if sub != nil {
		t.sendRefusal(sub.stream, r.key, sub.attempt, t.withWorstVerdict(r.key, refusal))
	}
}

// withWorstVerdict returns the refusal with the worst verdict over all attempts
// of the request that this sidecar has a record of.
func (t *Table) withWorstVerdict(k key, refusal *verdict.Error) *verdict.Error {
	if rec, ok := t.ledger.records[k]; ok {
		refusal.Verdict = verdict.Worst(refusal.Verdict, rec.verdict)
	}
	return refusal
}

func countOutcome(v verdict.Verdict) {
	metrics.GetOrRegisterCounter("requests.outcome."+v.String(), nil).Inc(1)
}
