package requests

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

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

func count(v verdict.Verdict) {
	metrics.GetOrRegisterCounter("requests.outcome."+v.String(), nil).Inc(1)
}
