package place

import (
	"math"
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/kvmemory"
	"pistachioroad.dev/pistachioroad/internal/decide/predict"
)

const (
	// maxMarginFraction bounds the margin for unknown placements as a fraction of an
	// engine's memory, so that a late link does not close all engines. With a quarter,
	// engines crashed in 3 of 8 simulated bursts at an announcement delay of 200 ms.
	maxMarginFraction = 0.5
	// keptFraction is the last part of an engine's memory, in which requests with a
	// better claim go first.
	keptFraction = 0.1
	// maxAnswerFraction bounds what is reserved for one answer, as a fraction of an
	// engine's memory: the lengths that callers expect may be false.
	maxAnswerFraction = 0.25
	// meanHintGain is the EWMA weight of an answer in the mean expected length: a hundred
	// count.
	meanHintGain = 0.01
	// minLongRoomTime and maxLongRoomTime bound for how long small requests leave room after
	// a long prompt was rejected: as long as it took since the one before. A gateway among
	// many sees few long prompts, and room for a second would be gone before the next one.
	minLongRoomTime = time.Second
	maxLongRoomTime = 5 * time.Second
	// smallFraction is the largest fraction of the room for a long prompt that counts as
	// small.
	smallFraction = 0.5
)

// MemoryShortage is why a request is rejected for want of KV memory.
type MemoryShortage uint8

const (
	// NoShortage means that it is not.
	NoShortage MemoryShortage = iota
	// NoRoom means that it fits at no engine now.
	NoRoom
	// TooLarge means that it exceeds the memory of each engine.
	TooLarge
)

// String returns the name used in logs and metrics.
func (s MemoryShortage) String() string {
	switch s {
	case NoRoom:
		return "no_room"
	case TooLarge:
		return "too_large"
	default:
		return "none"
	}
}

// fleetMemory is the state of a Fleet for the reservation of KV memory.
type fleetMemory struct {
	MemoryReservation
	// largest is the memory of the largest engine, 0 if one has no known limit.
	// decodeEngines is the number of engines that generate answers.
	largest, decodeEngines int
	unannounced            kvmemory.Unannounced
	// prefillHolding has the holding times at prefill engines, decodeHolding those of
	// answers.
	prefillHolding, decodeHolding kvmemory.HoldingTime
	claims                        kvmemory.Claims
	// meanHint is the mean length of answers that callers expect.
	meanHint float64
	// longRooms is what small requests leave free for long prompts, by the priority of these.
	longRooms [kvmemory.PriorityClasses]longRoom
}

// longRoom is how many tokens small requests leave free until a time.
type longRoom struct {
	tokens int
	until  time.Time
	// rejectedAt is when a long prompt was last rejected.
	rejectedAt time.Time
}

// jobMemory is what a job has reserved.
type jobMemory struct {
	// prefill is its demand at a prefill engine, decode that at its decode engine.
	prefill, decode kvmemory.Demand
	// prefillEngine and decodeEngine are where they are reserved, nil if nowhere.
	prefillEngine, decodeEngine *engine
	// heldUntil is when prefilled KV cache that is not fetched expires, zero before the
	// prompt has been prefilled.
	heldUntil time.Time
	// valid is set if the demand is known.
	valid bool
}

// memoryNeed is what a job to place needs of the engines' memory. A nil memoryNeed fits
// everywhere.
type memoryNeed struct {
	prefill, decode kvmemory.Demand
	// largest is the memory of the largest engine, 0 if one has no known limit.
	largest int
	// margin is for unknown placements, keptShare the share of the last part that is kept
	// for others, and longRoom how many tokens are left free for long prompts.
	margin    int
	keptShare float64
	longRoom  int
	// lost is for placements whose announcement was lost, as a fraction of the known ones,
	// and earlier is for placements at each decode engine from before this gateway started.
	lost    float64
	earlier int
	// noRoom is set once an engine was refused.
	noRoom bool
}

// MemoryReservation says whether and for how long KV memory is reserved.
type MemoryReservation struct {
	Enabled bool
	// HandleTTL is how long an engine holds KV cache that is not fetched.
	HandleTTL time.Duration
	// MaxRemaining is the longest time that callers wait, 0 if unknown. Announcements that
	// state more are false.
	MaxRemaining time.Duration
}

// SetMemoryReservation sets the reservation of KV memory. Jobs that were placed before are
// not counted.
func (f *Fleet) SetMemoryReservation(r MemoryReservation) { f.memory.MemoryReservation = r }

// memoryNeed returns what a job needs, or nil if memory is not reserved.
func (f *Fleet) memoryNeed(now time.Time, j Job, c Constraints) *memoryNeed {
	if !f.memory.Enabled {
		return nil
	}
	n := &memoryNeed{margin: f.memory.unannounced.Margin(now), largest: f.memory.largest}
	// Only the placements of the gateway's group are known, and they are at its engines.
	groups := max(1, int(j.Group.Count))
	n.earlier = groups * f.memory.unannounced.Earlier(now, &f.memory.decodeHolding) / max(1, f.memory.decodeEngines)
	n.lost = f.memory.unannounced.Lost()
	n.prefill, n.decode = f.demands(j, c.Remaining)
	n.keptShare = f.memory.claims.Observe(now, j.Priority, n.decode.Tokens(), c.Remaining)
	if c.Committed {
		n.keptShare = 0
	}
	if !c.Committed {
		n.longRoom = f.longRoomFor(now, j.Priority, n.decode.Tokens())
	}
	return n
}

// longRoomFor returns how many tokens a request leaves free for long prompts. It leaves none
// for prompts of a less urgent priority.
func (f *Fleet) longRoomFor(now time.Time, priority, tokens int) int {
	room := 0
	for _, r := range f.memory.longRooms[:kvmemory.PriorityClass(priority)+1] {
		if now.Before(r.until) && float64(tokens) <= smallFraction*float64(r.tokens) {
			room = max(room, r.tokens)
		}
	}
	return room
}

// demands returns the demands of a job at a prefill engine and at its decode engine.
func (f *Fleet) demands(j Job, remaining time.Duration) (prefill, decode kvmemory.Demand) {
	context := f.contextTokens(j.Prompt)
	answer := f.expectedAnswerTokens(j, remaining)
	return kvmemory.NewDemand(j.Prompt, context, 0), kvmemory.NewDemand(j.Prompt, context, answer)
}

// expectedAnswerTokens returns how many tokens are reserved for the rest of an answer: one
// standard deviation more than the caller expects, or others if it does not say, but not
// more than can be generated until its deadline.
func (f *Fleet) expectedAnswerTokens(j Job, remaining time.Duration) int {
	limit := float64(math.MaxInt32)
	if largest := f.memory.largest; largest > 0 {
		limit = maxAnswerFraction * float64(largest)
	}
	if f.decodeCalibrated() {
		interEvent := max(time.Microsecond, f.interEventModel.InterEventTime(predict.DecodeBatch{}))
		events := min(int(max(0, remaining)/interEvent)+1, math.MaxInt32)
		limit = min(limit, float64(f.answerLengths.Tokens(events)))
	}
	if j.Prompt.MaxOutputTokens > 0 {
		limit = min(limit, float64(j.Prompt.MaxOutputTokens))
	}
	hint := float64(j.Prompt.ExpectedOutputTokens)
	if hint <= 0 {
		hint = f.memory.meanHint
	}
	expected := hint*f.answerLengths.Spread() - float64(f.answerLengths.Tokens(j.Prompt.DeliveredEvents))
	return int(max(0, min(expected, limit)))
}

// fitsPrefill reports whether an engine has room to prefill the prompt and, unless it is a
// prefill engine, to generate the answer.
func (n *memoryNeed) fitsPrefill(e *engine) bool {
	if n == nil {
		return true
	}
	if e.Role == backend.Prefill {
		return n.fits(e, n.prefill)
	}
	return n.fits(e, n.decode)
}

// fitsDecode reports whether an engine has room for the prompt and the answer.
func (n *memoryNeed) fitsDecode(e *engine) bool { return n == nil || n.fits(e, n.decode) }

func (n *memoryNeed) fits(e *engine, d kvmemory.Demand) bool {
	if n.missing(e, d) <= 0 {
		return true
	}
	n.noRoom = true
	return false
}

// missing returns how many tokens an engine lacks for a demand, at most 0 if it has room.
func (n *memoryNeed) missing(e *engine, d kvmemory.Demand) int {
	if e.KVTokens <= 0 {
		return 0
	}
	if e.memory.Reserved() == 0 {
		// What is kept for others must not refuse a request for which there would
		// never be room.
		return d.Tokens() + n.earlierAt(e) - e.KVTokens
	}
	free := e.KVTokens - e.memory.Reserved() - n.held(e)
	if d.Tokens() <= free {
		return 0
	}
	return e.memory.Added(d) - free
}

// held returns how many free tokens of an engine are not for this request.
func (n *memoryNeed) held(e *engine) int {
	held := int(n.lost*float64(e.memory.Reserved())) + min(n.margin, int(maxMarginFraction*float64(e.KVTokens)))
	held += int(n.keptShare * keptFraction * float64(e.KVTokens))
	return held + n.earlierAt(e) + n.longRoom
}

// earlierAt returns how many tokens placements from before this gateway started are expected
// to hold at an engine. At prefill engines they have ended before it serves.
func (n *memoryNeed) earlierAt(e *engine) int {
	if e.Role == backend.Prefill {
		return 0
	}
	return n.earlier
}

// tooLarge reports whether the job exceeds the memory of each engine.
func (n *memoryNeed) tooLarge() bool {
	return n != nil && n.largest > 0 && n.decode.Tokens() > n.largest
}

// refused reports whether an engine was refused for want of memory.
func (n *memoryNeed) refused() bool { return n != nil && n.noRoom }

// refuseTooLarge rejects a job that exceeds the memory of each engine. It counts neither
// as a rejection of its size nor as overload: a retry meets the same engines.
func refuseTooLarge(c Constraints) Admission {
	return Admission{RetryAfter: max(minRetryAfter, MaxRetryAfter(c.Remaining)), Memory: TooLarge}
}

// refuseForMemory rejects a job that fits at no engine now.
func (f *Fleet) refuseForMemory(now time.Time, j Job, c Constraints) Admission {
	earliest := f.roomExpected(j, MaxRetryAfter(c.Remaining))
	a := Admission{RetryAfter: max(minRetryAfter, retryAfter(earliest, c, f.rejectionRate)), Memory: NoRoom}
	f.updateRejectionRate(true)
	if f.rejectedBySize(now, j) {
		a.LongRoom = f.keepLongRoom(now, j.Priority, j.need)
	}
	return a
}

// roomExpected returns when engines are expected to have room for a job, at most latest: one
// that generates the answer and one that prefills, which may be the same.
func (f *Fleet) roomExpected(j Job, latest time.Duration) time.Duration {
	prefill, decode := latest, latest
	for _, id := range f.engineIDs {
		e := f.engines[id]
		if e.Role == backend.Prefill {
			prefill = min(prefill, j.need.roomAt(e, j.need.prefill, &f.memory.prefillHolding, latest))
			continue
		}
		t := j.need.roomAt(e, j.need.decode, &f.memory.decodeHolding, latest)
		prefill, decode = min(prefill, t), min(decode, t)
	}
	return max(prefill, decode)
}

// roomAt returns when an engine is expected to have room for a demand, at most latest.
func (n *memoryNeed) roomAt(e *engine, d kvmemory.Demand, h *kvmemory.HoldingTime, latest time.Duration) time.Duration {
	missing := n.missing(e, d)
	if missing <= 0 {
		return 0
	}
	if t, ok := h.Until(missing, e.memory.Reserved()); ok {
		return min(t, latest)
	}
	return latest
}

// keepLongRoom makes small requests leave room for long prompts like the one that needs n.
// It reports whether they did not before.
//
// It guards against long prompts for which there is never room in a burst: short ones fill
// what each finished request frees. Each gateway decides by itself, from its own refusals:
// all of them see the same burst.
func (f *Fleet) keepLongRoom(now time.Time, priority int, n *memoryNeed) bool {
	r := &f.memory.longRooms[kvmemory.PriorityClass(priority)]
	begins := !now.Before(r.until)
	if begins {
		r.tokens = 0
	}
	r.tokens = max(r.tokens, n.decode.Tokens())
	r.until = now.Add(min(max(now.Sub(r.rejectedAt), minLongRoomTime), maxLongRoomTime))
	r.rejectedAt = now
	return begins
}

// updateMemory computes what depends on the set of engines.
func (f *Fleet) updateMemory() {
	f.memory.largest, f.memory.decodeEngines = 0, 0
	unlimited := false
	for _, e := range f.engines {
		unlimited = unlimited || e.KVTokens <= 0
		f.memory.largest = max(f.memory.largest, e.KVTokens)
		if e.Role != backend.Prefill {
			f.memory.decodeEngines++
		}
	}
	if unlimited {
		f.memory.largest = 0
	}
}

// reserve computes the demand of a job that is placed, and reserves its prefill. A demand
// that exceeds the engine's memory is false, since no gateway places it.
func (f *Fleet) reserve(now time.Time, j *job, p Placement) {
	if !f.memory.Enabled {
		return
	}
	if longest := f.memory.MaxRemaining; longest > 0 && p.Remaining > longest {
		j.deadline = now.Add(longest)
	}
	m := &j.memory
	if hint := float64(p.Prompt.ExpectedOutputTokens); hint > 0 {
		hint = min(hint, maxAnswerFraction*float64(j.prefillEngine.KVTokens))
		if f.memory.meanHint == 0 {
			f.memory.meanHint = hint
		}
		f.memory.meanHint += meanHintGain * (hint - f.memory.meanHint)
	}
	m.prefill, m.decode = f.demands(Job{Prompt: p.Prompt}, p.Remaining)
	if m.decode.Tokens() > j.prefillEngine.KVTokens {
		return
	}
	m.valid = true
	if p.AnnouncementDelay > 0 {
		f.memory.unannounced.Observe(now, m.decode.Tokens(), p.AnnouncementDelay, p.Remaining)
	}
	if p.Plan.Split() {
		j.prefillEngine.memory.Reserve(m.prefill)
		f.memory.prefillHolding.Reserve(now, m.prefill.Tokens())
		m.prefillEngine = j.prefillEngine
	}
}

// reserveDecode reserves memory at the engine that generates a job's answer.
func (f *Fleet) reserveDecode(now time.Time, j *job, e *engine) {
	if m := &j.memory; m.valid {
		e.memory.Reserve(m.decode)
		f.memory.decodeHolding.Reserve(now, m.decode.Tokens())
		m.decodeEngine = e
	}
}

// releaseDecode ends the reservation at a job's decode engine.
func (f *Fleet) releaseDecode(now time.Time, j *job) {
	if m := &j.memory; m.decodeEngine != nil {
		m.decodeEngine.memory.Release(m.decode)
		f.memory.decodeHolding.Release(now, m.decode.Tokens())
		m.decodeEngine = nil
	}
}

// releasePrefill ends the reservation at a job's prefill engine.
func (f *Fleet) releasePrefill(now time.Time, j *job) {
	if m := &j.memory; m.prefillEngine != nil {
		m.prefillEngine.memory.Release(m.prefill)
		f.memory.prefillHolding.Release(now, m.prefill.Tokens())
		m.prefillEngine = nil
	}
}

// kvFetched records that a job's decode engine has fetched its KV cache. It reports
// whether that was unknown.
func (f *Fleet) kvFetched(now time.Time, j *job) bool {
	held := j.memory.prefillEngine != nil
	f.releasePrefill(now, j)
	return held
}

// expireHandle releases prefilled KV cache that was not fetched in time.
func (f *Fleet) expireHandle(now time.Time, j *job) {
	if until := j.memory.heldUntil; !until.IsZero() && now.After(until) {
		f.releasePrefill(now, j)
	}
}
