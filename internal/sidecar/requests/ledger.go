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
	answersEvicted = metrics.GetOrRegisterCounter("requests.kept.dropped", nil)
	ledgerFull     = metrics.GetOrRegisterCounter("requests.ledger.full", nil)
)

// ledger records the outcomes of requests, so that an attempt reported as "not
// run" never starts later and nothing runs twice.
//
// A Start can arrive after its sender was told "not run": it was buffered while
// this process was paused, or TCP retransmitted it minutes later. Without a
// record it would run, for instance booking something that was reported as
// failed. Frame delay has no natural limit, so the ledger imposes one: a frame
// older than maxFrameAge is rejected without further checks. A record is removed
// maxFrameAge after it was made, when all frames sent before it are too old. The
// record of a started request is also kept past its deadline, after which its
// entry sends no further attempt.
//
// A full ledger evicts no record early. Instead it rejects every frame sent up
// to now, which takes no memory.
type ledger struct {
	maxFrameAge time.Duration
	maxRecords  int
	// reserved is the number of records set aside for active requests.
	reserved int
	records  map[key]*record
	expiry   expiryHeap
	// rejectSentUntil is the time up to which sent Starts are rejected.
	rejectSentUntil time.Time
	// forgottenUntil is the latest recordedAt among the removed records of
	// started requests.
	forgottenUntil time.Time

	// withAnswer lists the records with a cached answer, oldest first.
	withAnswer     *list.List
	answerBytes    int
	maxAnswerBytes int
}

// record is the outcome of a request.
type record struct {
	key key
	// maxAttempt is the highest attempt that must not start.
	maxAttempt uint32
	// verdict is NotRun if the request never started.
	verdict    verdict.Verdict
	idempotent bool
	recordedAt time.Time
	expiresAt  time.Time
	heapIndex  int

	fingerprint uint64
	resumeFrom  uint32
	chunks      []*wire.Chunk
	final       *wire.Final
	answerBytes int
	element     *list.Element
}

// allAttempts is the maxAttempt of a record that blocks every attempt.
const allAttempts = ^uint32(0)

func newLedger(maxRecords, maxAnswerBytes int, maxFrameAge time.Duration) *ledger {
	return &ledger{
		maxFrameAge:    maxFrameAge,
		maxRecords:     maxRecords,
		records:        map[key]*record{},
		withAnswer:     list.New(),
		maxAnswerBytes: maxAnswerBytes,
	}
}

// full reports whether there is no space for another record.
func (l *ledger) full() bool { return len(l.records)+l.reserved >= l.maxRecords }

// tooOld reports whether a Start of that age is rejected without further checks.
func (l *ledger) tooOld(now time.Time, age time.Duration) bool {
	if age == AgeUnknown {
		return !l.rejectSentUntil.IsZero() && now.Before(l.rejectSentUntil.Add(l.maxFrameAge))
	}
	return age >= l.maxFrameAge || !now.Add(-age).After(l.rejectSentUntil)
}

// mayHaveForgotten reports whether a Start of that age may have run and its
// record been removed.
func (l *ledger) mayHaveForgotten(now time.Time, age time.Duration) bool {
	if age == AgeUnknown || l.forgottenUntil.IsZero() {
		return false
	}
	return !now.Add(-age).After(l.forgottenUntil)
}

// hasForgottenAny reports whether the record of any started request was removed.
func (l *ledger) hasForgottenAny() bool { return !l.forgottenUntil.IsZero() }

// recordNotRun records that no attempt up to the given one may start.
func (l *ledger) recordNotRun(now time.Time, k key, maxAttempt uint32) {
	if r, ok := l.records[k]; ok {
		r.maxAttempt = max(r.maxAttempt, maxAttempt)
		l.extend(r, now.Add(l.maxFrameAge))
		return
	}
	if l.full() {
		ledgerFull.Inc(1)
		l.rejectSentUntil = now
		return
	}
	l.add(&record{key: k, maxAttempt: maxAttempt, expiresAt: now.Add(l.maxFrameAge)})
}

// recordStarted records the outcome of a request that started or may have.
func (l *ledger) recordStarted(now time.Time, r *request, v verdict.Verdict) *record {
	until := r.deadline
	if now.After(until) {
		until = now
	}
	maxAttempt := r.attempt
	if previous, ok := l.records[r.key]; ok {
		maxAttempt = max(maxAttempt, previous.maxAttempt)
		l.remove(previous)
	}
	rec := &record{
		key:         r.key,
		maxAttempt:  maxAttempt,
		verdict:     v,
		idempotent:  r.idempotent(),
		recordedAt:  now,
		expiresAt:   until.Add(2 * l.maxFrameAge),
		fingerprint: r.fingerprint,
		resumeFrom:  r.start.GetGenerate().GetResumeFrom(),
	}
	l.add(rec)
	return rec
}

func (l *ledger) add(r *record) {
	invariant.Check(len(l.records) < l.maxRecords, "bounded ledger",
		"%d records, limit %d", len(l.records), l.maxRecords)
	l.records[r.key] = r
	heap.Push(&l.expiry, r)
}

// extend keeps r at least until the given time.
func (l *ledger) extend(r *record, until time.Time) {
	if until.After(r.expiresAt) {
		r.expiresAt = until
		heap.Fix(&l.expiry, r.heapIndex)
	}
}

// cacheAnswer adds the complete answer to r and evicts the oldest answers beyond
// the limit. Eviction keeps the record itself, and with it the verdict.
func (l *ledger) cacheAnswer(r *record, a answer, f *wire.Final) {
	if a.dropped || a.bytes > l.maxAnswerBytes {
		return
	}
	r.chunks, r.final, r.answerBytes = a.chunks, f, a.bytes
	r.element = l.withAnswer.PushBack(r)
	l.answerBytes += r.answerBytes
	l.evictAnswers(l.maxAnswerBytes)
}

// evictAnswers evicts the oldest answers until the rest fits into limit.
func (l *ledger) evictAnswers(limit int) {
	for l.answerBytes > limit && l.withAnswer.Len() > 0 {
		answersEvicted.Inc(1)
		l.dropAnswer(l.withAnswer.Front().Value.(*record))
	}
}

func (l *ledger) dropAnswer(r *record) {
	if r.element == nil {
		return
	}
	l.withAnswer.Remove(r.element)
	l.answerBytes -= r.answerBytes
	r.chunks, r.final, r.answerBytes, r.element = nil, nil, 0, nil
}

func (l *ledger) remove(r *record) {
	l.dropAnswer(r)
	heap.Remove(&l.expiry, r.heapIndex)
	delete(l.records, r.key)
}

// expire removes expired records.
func (l *ledger) expire(now time.Time) {
	for len(l.expiry) > 0 && !now.Before(l.expiry[0].expiresAt) {
		r := l.expiry[0]
		if r.verdict != verdict.NotRun && r.recordedAt.After(l.forgottenUntil) {
			l.forgottenUntil = r.recordedAt
		}
		l.remove(r)
	}
}

// expiryHeap orders records by expiry time.
type expiryHeap []*record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt.Before(h[j].expiresAt) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *expiryHeap) Push(x any) {
	r := x.(*record)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
