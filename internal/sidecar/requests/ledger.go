package requests

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

var (
	keptDropped = metrics.GetOrRegisterCounter("requests.kept.dropped", nil)
	ledgerFull  = metrics.GetOrRegisterCounter("requests.ledger.full", nil)
)

// ledger remembers what became of requests, so that "not run" stays true and
// nothing runs twice.
//
// A Start can arrive after its sender was told "not run": it lay in a buffer
// while this process was paused, or TCP sent it again after minutes. Without a
// record it would run, and one would notice a hold that nobody asked for. Time
// alone does not bound how late a frame can be, so the ledger bounds it: a
// frame older than maxAge is refused unseen. What was sent before a record was
// made is older than that once the record is dropped, maxAge later; the record
// of a started request is kept past its deadline too, after which its entry
// sends no further attempt.
//
// A ledger that is full drops nothing early. It refuses every frame sent up to
// now instead, which takes no memory at all.
type ledger struct {
	maxAge time.Duration
	size   int
	// reserved is the room kept for the requests that have no outcome yet.
	reserved int
	records  map[key]*record
	expiry   expiryHeap
	// floor refuses each Start that was sent up to it.
	floor time.Time
	// forgotten is the latest arrival of a started request whose record was
	// dropped.
	forgotten time.Time

	// kept lists the records with an answer, the oldest first.
	kept      *list.List
	keptBytes int
	maxBytes  int
}

// record is what became of a request.
type record struct {
	key key
	// attempts: no attempt up to this one starts any more.
	attempts uint32
	// verdict is NotRun for a request that never started.
	verdict    verdict.Verdict
	idempotent bool
	arrived    time.Time
	until      time.Time
	index      int

	print      uint64
	resumeFrom uint32
	chunks     []*wire.Chunk
	final      *wire.Final
	bytes      int
	place      *list.Element
}

// allAttempts is the attempts of a record that lets none start.
const allAttempts = ^uint32(0)

func newLedger(size, maxBytes int, maxAge time.Duration) *ledger {
	return &ledger{
		maxAge:   maxAge,
		size:     size,
		records:  map[key]*record{},
		kept:     list.New(),
		maxBytes: maxBytes,
	}
}

// full reports whether there is no room for another record.
func (l *ledger) full() bool { return len(l.records)+l.reserved >= l.size }

// late reports whether a Start of that age is refused unseen.
func (l *ledger) late(now time.Time, age time.Duration) bool {
	if age == AgeUnknown {
		return !l.floor.IsZero() && now.Before(l.floor.Add(l.maxAge))
	}
	return age >= l.maxAge || !now.Add(-age).After(l.floor)
}

// hasForgotten reports whether a Start of that age may have run and been
// forgotten.
func (l *ledger) hasForgotten(now time.Time, age time.Duration) bool {
	if age == AgeUnknown || l.forgotten.IsZero() {
		return false
	}
	return !now.Add(-age).After(l.forgotten)
}

// hasForgottenAny reports whether any request that ran may have been forgotten.
func (l *ledger) hasForgottenAny() bool { return !l.forgotten.IsZero() }

// refuse records that no attempt up to the one given starts any more.
func (l *ledger) refuse(now time.Time, k key, attempts uint32) {
	if r, ok := l.records[k]; ok {
		r.attempts = max(r.attempts, attempts)
		l.keepUntil(r, now.Add(l.maxAge))
		return
	}
	if l.full() {
		ledgerFull.Inc(1)
		l.floor = now
		return
	}
	l.add(&record{key: k, attempts: attempts, until: now.Add(l.maxAge)})
}

// close records the outcome of a request that started.
func (l *ledger) close(now time.Time, r *request, v verdict.Verdict) *record {
	until := r.deadline
	if now.After(until) {
		until = now
	}
	attempts := r.attempt
	if before, ok := l.records[r.key]; ok {
		attempts = max(attempts, before.attempts)
		l.drop(before)
	}
	rec := &record{
		key:        r.key,
		attempts:   attempts,
		verdict:    v,
		idempotent: r.idempotent(),
		arrived:    now,
		until:      until.Add(2 * l.maxAge),
		print:      r.print,
		resumeFrom: r.start.GetGenerate().GetResumeFrom(),
	}
	l.add(rec)
	return rec
}

func (l *ledger) add(r *record) {
	invariant.Check(len(l.records) < l.size, "bounded ledger",
		"%d records, at most %d may be", len(l.records), l.size)
	l.records[r.key] = r
	heap.Push(&l.expiry, r)
}

// keepUntil keeps r at least until the time given.
func (l *ledger) keepUntil(r *record, until time.Time) {
	if until.After(r.until) {
		r.until = until
		heap.Fix(&l.expiry, r.index)
	}
}

// keep adds the whole answer to r and drops the oldest answers beyond the
// bound. A dropped answer leaves its record: "ran" stays true.
func (l *ledger) keep(r *record, a answer, f *wire.Final) {
	if a.dropped || a.bytes > l.maxBytes {
		return
	}
	r.chunks, r.final, r.bytes = a.chunks, f, a.bytes
	r.place = l.kept.PushBack(r)
	l.keptBytes += r.bytes
	l.shrink(l.maxBytes)
}

// shrink drops the oldest answers until the rest fits into limit.
func (l *ledger) shrink(limit int) {
	for l.keptBytes > limit && l.kept.Len() > 0 {
		keptDropped.Inc(1)
		l.dropAnswer(l.kept.Front().Value.(*record))
	}
}

func (l *ledger) dropAnswer(r *record) {
	if r.place == nil {
		return
	}
	l.kept.Remove(r.place)
	l.keptBytes -= r.bytes
	r.chunks, r.final, r.bytes, r.place = nil, nil, 0, nil
}

func (l *ledger) drop(r *record) {
	l.dropAnswer(r)
	heap.Remove(&l.expiry, r.index)
	delete(l.records, r.key)
}

// expire drops the records whose time has passed.
func (l *ledger) expire(now time.Time) {
	for len(l.expiry) > 0 && !now.Before(l.expiry[0].until) {
		r := l.expiry[0]
		if r.verdict != verdict.NotRun && r.arrived.After(l.forgotten) {
			l.forgotten = r.arrived
		}
		l.drop(r)
	}
}

// expiryHeap orders records by until.
type expiryHeap []*record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].until.Before(h[j].until) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *expiryHeap) Push(x any) {
	r := x.(*record)
	r.index = len(*h)
	*h = append(*h, r)
}

func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
