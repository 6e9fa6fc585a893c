package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/contention"
	"pistachioroad.dev/pistachioroad/internal/decide/kvmemory"
	"pistachioroad.dev/pistachioroad/internal/decide/predict"
	"pistachioroad.dev/pistachioroad/internal/decide/streamversion"
	"pistachioroad.dev/pistachioroad/internal/invariant"
)

// Engine is a model engine that requests may be placed on.
type Engine struct {
	ID         string
	DataCentre string
	Role       backend.Role
	Version    streamversion.Version
	// KVTokens is the capacity of its KV cache.
	KVTokens int
	// MaxSegments limits the prompt segments that are remembered as cached by the engine, 0 for
	// no limit.
	MaxSegments int
	// Slots is how many requests it runs concurrently.
	Slots int
	// Incarnation distinguishes the starts of an engine: after a restart its cache is
	// empty.
	Incarnation int64
}

// engine is an Engine with the requests placed on it.
type engine struct {
	Engine
	// hash is the hash of the ID.
	hash  uint64
	cache *prefixCache
	// prefillModel predicts the prefills of all engines in its role, prefillSpeed how
	// much slower or faster this one is.
	prefillModel *predict.PrefillModel
	prefillSpeed predict.EngineSpeed
	// queue has the prompts that it has to prefill.
	queue queue
	// prefillingSince is when it started on the first of them.
	prefillingSince time.Time
	// handovers is the rate of answers handed over to it from prefill engines.
	handovers arrivalRate
	// streams is the number of requests that it generates answers for, contextTokens
	// the sum of their contexts, and meanStreamStart the mean of their start times.
	streams         int
	contextTokens   int
	meanStreamStart time.Time
	// interEventModel predicts the time between two events of a stream, decodeSpeed how
	// much slower or faster this engine is.
	interEventModel *predict.DecodeModel
	decodeSpeed     predict.EngineSpeed
	// delayCostRate is the cost of delaying all streams, per unit of delay.
	delayCostRate float64
	// contention is that of the engine's machine, relative to usualContention, its mean. The
	// learned speeds include the mean: they are from samples with and without a report.
	contention      contention.State
	usualContention contention.Usual
	// avoidUntil is until when an engine that failed is avoided.
	avoidUntil time.Time
	// memory has the reservations in its KV memory.
	memory kvmemory.Memory
}

// EngineHash returns the short identifier of an engine in messages between gateways.
func EngineHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

func newEngine(e Engine) *engine {
	return &engine{Engine: e, hash: xxhash.Sum64String(e.ID), cache: newPrefixCache(e.KVTokens)}
}

// prefillTime returns how long the engine takes for prefill work at the moment.
func (e *engine) prefillTime(now time.Time, w predict.PrefillWork) time.Duration {
	return scale(e.contended(now).Now(), e.usualPrefillTime(w))
}

// usualPrefillTime returns the same at the usual contention.
func (e *engine) usualPrefillTime(w predict.PrefillWork) time.Duration {
	return time.Duration(e.prefillSpeed.Slowdown() * float64(e.prefillModel.ComputeTime(w)))
}

// stallFactor is by how many times its expected duration the largest prefill may be
// overdue before its engine counts as stalled.
const stallFactor = 1.0

// queueDelay returns how long a new prompt waits for those before it.
//
// The end of a prefill is only known after the network latency. So the time since the
// last known end counts against all prefills and not only the first. If even the
// largest of them should have ended, the engine is stalled or has slowed down: it is
// expected to need the time of its whole queue plus the time by which it is already
// overdue. Otherwise an unresponsive engine would look as busy as any other, and each
// gateway would send it prompts until its first time-out.
func (e *engine) queueDelay(now time.Time) time.Duration {
	if e.queue.empty() {
		return 0
	}
	total := e.prefillTime(now, e.queue.work)
	if overdue, stalled := e.overdue(now); stalled {
		return total + overdue
	}
	return max(0, total-max(0, now.Sub(e.prefillingSince)))
}

// overdue returns by how much the engine's next prefill completion is overdue, and
// whether the engine counts as stalled.
func (e *engine) overdue(now time.Time) (time.Duration, bool) {
	if e.queue.empty() {
		return 0, false
	}
	expected := e.prefillTime(now, e.queue.largest) + e.prefillModel.FixedLatency()
	overdue := now.Sub(e.prefillingSince) - expected
	return overdue, overdue > time.Duration(stallFactor*float64(expected))
}

// slotUtilization returns the fraction of the engine's slots taken by streams; 0 if the
// number of slots is unknown.
func (e *engine) slotUtilization() float64 {
	if e.Slots == 0 {
		return 0
	}
	return float64(e.streams) / float64(e.Slots)
}

// startStream records that the engine generates an answer with a context of this size.
func (e *engine) startStream(now time.Time, tokens int) {
	e.streams++
	e.contextTokens += tokens
	if e.streams == 1 {
		e.meanStreamStart = now
		return
	}
	e.meanStreamStart = e.meanStreamStart.Add(now.Sub(e.meanStreamStart) / time.Duration(e.streams))
}

// endStream records the end of a stream that began at the given time.
func (e *engine) endStream(start time.Time, tokens int) {
	e.streams--
	e.contextTokens -= tokens
	invariant.Check(e.streams >= 0, "streams_not_negative", "engine %s has %d streams", e.ID, e.streams)
	if e.streams == 0 {
		e.delayCostRate = 0
		return
	}
	e.meanStreamStart = e.meanStreamStart.Add(e.meanStreamStart.Sub(start) / time.Duration(e.streams))
}

// decodeBatch returns the answers that the engine generates concurrently.
func (e *engine) decodeBatch(now time.Time) predict.DecodeBatch {
	return predict.DecodeBatch{PromptTokens: float64(e.contextTokens), TotalAge: time.Duration(e.streams) * max(0, now.Sub(e.meanStreamStart))}
}

// observeInterEventTime learns from the time between two events of a stream.
func (e *engine) observeInterEventTime(now time.Time, gap time.Duration) {
	batch := e.decodeBatch(now)
	slowdown := e.decodeSpeed.Slowdown()
	if e.interEventModel.Calibrated() {
		e.decodeSpeed.Observe(e.interEventTime(now, batch), gap)
	}
	e.interEventModel.Observe(batch, slowdown, gap)
}

// slotsFull reports whether a new stream would have to wait for a slot.
func (e *engine) slotsFull() bool { return e.Slots > 0 && e.streams >= e.Slots }

// addPrefill records a prefill that is being sent to the engine.
func (e *engine) addPrefill(now time.Time, p *prefill) {
	_, stalled := e.overdue(now)
	p.unrepresentative = e.slotsFull() || stalled
	p.cumulativeWork = p.work
	delay := e.queueDelay(now)
	if total := e.prefillTime(now, e.queue.work); total > 0 {
		fraction := min(1, float64(delay)/float64(total))
		p.cumulativeWork = e.queue.work.Scale(fraction).Plus(p.work)
	}
	p.expectedTime = delay + e.prefillTime(now, p.work) + e.prefillModel.FixedLatency()
	if e.queue.empty() {
		e.prefillingSince = now
	}
	e.queue.add(p)
}

// prefillDone records the end of a prefill and learns from it.
//
// Contention is not learned as the engine's speed, because the expected time has it as a
// factor. The model of all engines learns from the observed times as they are: divided by
// a factor that held for a part of the prefill only, they made all estimates too short and
// queues too long.
//
// A prefill that waited for something other than the engine's speed is no sample of
// that speed, but is used until the model is calibrated. Otherwise the engines of a
// role that are all stalled or full would stay uncalibrated, and since uncalibrated
// estimates reject no request, they would be sent prompts without bound and never
// recover.
func (e *engine) prefillDone(now time.Time, id JobID) {
	p := e.removePrefill(now, id)
	if p == nil {
		return
	}
	took := now.Sub(p.sentAt)
	if p.unrepresentative || e.slotsFull() {
		if !e.prefillModel.Calibrated() {
			e.prefillModel.Observe(p.cumulativeWork, 1, took)
		}
		return
	}
	if e.prefillModel.Calibrated() {
		e.prefillSpeed.Observe(p.expectedTime, took)
	}
	e.prefillModel.Observe(p.cumulativeWork, e.prefillSpeed.Slowdown(), took)
}

// removePrefill removes a prefill and returns it. The engine started on the next one
// while the reply was in transit.
func (e *engine) removePrefill(now time.Time, id JobID) *prefill {
	p := e.queue.remove(id)
	if p == nil {
		return nil
	}
	e.prefillingSince = now.Add(-e.prefillModel.FixedLatency())
	if next := e.queue.oldest(); next != nil && next.sentAt.After(e.prefillingSince) {
		e.prefillingSince = next.sentAt
	}
	return p
}

// expirePrefills removes prefills whose end was never reported: their gateway was lost,
// or the message about their end was.
func (e *engine) expirePrefills(now time.Time) {
	if e.queue.expire(now) {
		e.prefillingSince = now
	}
}
