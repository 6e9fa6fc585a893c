package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/predict"
	"pistachioroad.dev/pistachioroad/internal/invariant"
)

// Engine is a model engine that may get work.
type Engine struct {
	ID         string
	DataCentre string
	Role       backend.Role
	// KVTokens is the size of its KV cache.
	KVTokens int
	// Slots is how many requests it runs at once.
	Slots int
	// Incarnation tells starts apart: another one has an empty cache.
	Incarnation int64
}

// engine is an Engine with the work that is on its way to it.
type engine struct {
	Engine
	// hash is that of the id.
	hash  uint64
	cache *cache
	// reading is what is believed of reads by the engines in its role, speed
	// what is believed of this one.
	reading *predict.PrefillModel
	speed   predict.EngineSpeed
	// queue has the prompts that it has to read.
	queue queue
	// since is since when the first of them has been read.
	since time.Time
	// handovers are the answers that it got lately whose prompts others read.
	handovers arrivals
	// streams counts the requests that it generates tokens for, tokens are those of
	// their prompts, and began is when they began on average.
	streams int
	tokens  int
	began   time.Time
	// steps is what is believed of the time between two events of a stream,
	// generating what is believed of this engine's.
	steps      *predict.DecodeModel
	generating predict.EngineSpeed
	// risk is what it costs to delay all streams, as a part of the delay.
	risk float64
	// avoidUntil keeps an engine out that failed.
	avoidUntil time.Time
}

// EngineHash is the short name of an engine between entries.
func EngineHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

func newEngine(e Engine) *engine {
	return &engine{Engine: e, hash: xxhash.Sum64String(e.ID), cache: newCache(e.KVTokens)}
}

// cost is how long the engine is busy with work.
func (e *engine) cost(w predict.PrefillWork) time.Duration {
	return time.Duration(e.speed.Slowdown() * float64(e.reading.ComputeTime(w)))
}

// overdueAfter is how many times the longest read may last beyond what is
// expected of it before its engine counts as standing still.
const overdueAfter = 1.0

// wait is how long a new prompt waits for those before it.
//
// The end of a read is known later than it is: the answer travels. So the time
// since the last known end goes through all reads and not only the first. If
// even the longest of them should have ended, the engine hangs or turned slow
// and nothing passes any more: it is expected to take as long again as it is
// overdue. Without that, an engine that fell silent looks as busy as any other,
// and each gateway sends it prompts until its first time-out.
func (e *engine) wait(now time.Time) time.Duration {
	if e.queue.empty() {
		return 0
	}
	total := e.cost(e.queue.work)
	if overdue, hangs := e.overdue(now); hangs {
		return total + overdue
	}
	return max(0, total-max(0, now.Sub(e.since)))
}

// overdue is by how much the engine's last sign is overdue, and whether it
// counts as standing still.
func (e *engine) overdue(now time.Time) (time.Duration, bool) {
	if e.queue.empty() {
		return 0, false
	}
	longest := e.cost(e.queue.longest) + e.reading.FixedLatency()
	overdue := now.Sub(e.since) - longest
	return overdue, overdue > time.Duration(overdueAfter*float64(longest))
}

// taken is the part of the engine's slots that streams take; 0 if it is not
// known how many it has.
func (e *engine) taken() float64 {
	if e.Slots == 0 {
		return 0
	}
	return float64(e.streams) / float64(e.Slots)
}

// startStream notes that the engine generates for a prompt.
func (e *engine) startStream(now time.Time, tokens int) {
	e.streams++
	e.tokens += tokens
	if e.streams == 1 {
		e.began = now
		return
	}
	e.began = e.began.Add(now.Sub(e.began) / time.Duration(e.streams))
}

// endStream notes the end of a stream that began at a moment.
func (e *engine) endStream(began time.Time, tokens int) {
	e.streams--
	e.tokens -= tokens
	invariant.Check(e.streams >= 0, "streams_not_negative", "engine %s has %d streams", e.ID, e.streams)
	if e.streams == 0 {
		e.risk = 0
		return
	}
	e.began = e.began.Add(e.began.Sub(began) / time.Duration(e.streams))
}

// running is what the engine generates for.
func (e *engine) running(now time.Time) predict.DecodeBatch {
	return predict.DecodeBatch{PromptTokens: float64(e.tokens), TotalAge: time.Duration(e.streams) * max(0, now.Sub(e.began))}
}

// event learns from the time between two events of a stream.
func (e *engine) event(now time.Time, gap time.Duration) {
	r := e.running(now)
	slowness := e.generating.Slowdown()
	if e.steps.Calibrated() {
		e.generating.Observe(e.between(r), gap)
	}
	e.steps.Observe(r, slowness, gap)
}

// full reports whether a new stream would have to wait for a slot.
func (e *engine) full() bool { return e.Slots > 0 && e.streams >= e.Slots }

// add notes a read that begins its way to the engine.
func (e *engine) add(now time.Time, r *read) {
	_, hangs := e.overdue(now)
	r.poisoned = e.full() || hangs
	r.before = r.work
	wait := e.wait(now)
	if total := e.cost(e.queue.work); total > 0 {
		left := min(1, float64(wait)/float64(total))
		r.before = e.queue.work.Scale(left).Plus(r.work)
	}
	r.expected = wait + e.cost(r.work) + e.reading.FixedLatency()
	if e.queue.empty() {
		e.since = now
	}
	e.queue.add(r)
}

// done notes the end of a read and learns from it.
//
// A read that waited for something else than the engine's speed tells nothing of
// that, but while nothing is known it is all there is to learn from: otherwise the
// engines of a role that all hang or are full stay unknown, and as nobody is refused
// by what is not known, they are sent prompts without bound and stay that way.
func (e *engine) done(now time.Time, id JobID) {
	r := e.remove(now, id)
	if r == nil {
		return
	}
	took := now.Sub(r.sent)
	if r.poisoned || e.full() {
		if !e.reading.Calibrated() {
			e.reading.Observe(r.before, 1, took)
		}
		return
	}
	if e.reading.Calibrated() {
		e.speed.Observe(r.expected, took)
	}
	e.reading.Observe(r.before, e.speed.Slowdown(), took)
}

// remove drops a read and returns it. The engine went on with the rest while the
// answer travelled.
func (e *engine) remove(now time.Time, id JobID) *read {
	r := e.queue.remove(id)
	if r == nil {
		return nil
	}
	e.since = now.Add(-e.reading.FixedLatency())
	if next := e.queue.oldest(); next != nil && next.sent.After(e.since) {
		e.since = next.sent
	}
	return r
}

// expire drops reads that never ended: their process was lost, or the message
// about their end was.
func (e *engine) expire(now time.Time) {
	if e.queue.expire(now) {
		e.since = now
	}
}
