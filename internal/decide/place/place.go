// Package place decides which model engine reads a prompt, which one generates
// the answer, and whether the request is let in at all.
//
// It answers long prompts that share parts, on engines that read at a bounded
// rate. By the fewest requests in flight, a prompt goes where its shared parts
// are not cached and half of all tokens read are read again; by cache alone, a
// popular part makes one engine the queue of all. A Fleet therefore estimates
// the time to the first token at each engine: the prompts that wait there, in
// tokens and not in requests, and what the engine must read of this one. It is
// pure code; time is passed in.
package place

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/predict"
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/request"
)

const (
	// decodeSlowness is how many times as slowly an engine in the decode role
	// reads, by the platform's protocol, until reads there were seen.
	decodeSlowness = 2
	// readTTL is how much longer than expected a read is believed in.
	readTTL = 2 * time.Second
	// forgetEvery spaces the passes over all jobs: a pass over the ten thousand
	// of the largest deployments takes under a millisecond.
	forgetEvery = time.Second
	// priorHandover is the time from the end of a read to the first token from
	// another engine, transfer aside, until one was seen: the call, the begin of
	// a transfer and a step.
	priorHandover = 15 * time.Millisecond
	// otherDataCentre is how many times longer a transfer takes between data
	// centres, by the platform's protocol.
	otherDataCentre = 2
	// readWeight is how much an engine's read time counts beyond what it delays
	// the request itself: it delays all that come after it. Measured without
	// processor time, mean worth of six days each on fast engines and on slow
	// ones: 2.5 0.510 and 0.714, 4 0.515 and 0.709; only with 4 the longest
	// answers are served on every day.
	readWeight = 4
	// crowdWeight is what is added to it at an engine that generates, for each
	// stream to a free slot: a read there delays each token of all of them. With
	// 10 such engines stay idle while callers are refused, with 0 streams pile up
	// until all slots are taken (0.511 and 0.651 of worth).
	crowdWeight = 1
	// takenWeight is how much longer an engine with all slots taken counts to take
	// for a first token than an idle one. With 20, transfers cross data centres
	// for a few streams' difference (0.536 of worth in place of 0.638).
	takenWeight = 1
	// readShare is the part of its time for which an engine that generates reads
	// prompts itself, while others only read. Without the bound its streams run at
	// a quarter of their pace, and the answers whose prompts others read wait
	// behind its own: 0.487 and 0.678 of worth in place of 0.510 and 0.714.
	readShare = 0.5
	// mostAllowance is how much of that time is kept for a burst: some prompts.
	mostAllowance = 100 * time.Millisecond
)

// JobID identifies a placed request among all entries.
type JobID uint64

// Job is a request to place.
type Job struct {
	ID     JobID
	Prompt request.Prompt
	// DataCentre is the entry's.
	DataCentre string
	// Exclude names engines that refused or failed the request.
	Exclude func(id string) bool
	// Group is the entry's.
	Group Group
}

// Plan says where a request goes.
type Plan struct {
	// Reader reads the prompt. It is Decoder itself if no transfer is needed.
	Reader, Decoder string
	// Kept is what Reader is thought to keep of the prompt, in tokens.
	Kept int
	// Wait and Read make up the expected time to the first token, with Extra
	// for the way, the transfer and the decoder.
	Wait, Read, Extra time.Duration
	// Learned says that the expectation rests on enough reads that were seen.
	Learned bool
}

// Placement is a request that goes where its plan says.
type Placement struct {
	ID     JobID
	Prompt request.Prompt
	Plan   Plan
	// Left is how long its caller waits at most.
	Left time.Duration
}

// Expected is the expected time to the first token.
func (p Plan) Expected() time.Duration { return p.Wait + p.Read + p.Extra }

// Split reports whether one engine reads and another generates.
func (p Plan) Split() bool { return p.Reader != p.Decoder }

// Fleet is the load of the engines of one service as this entry knows it. Its
// methods are for one goroutine at a time.
type Fleet struct {
	engines map[string]*engine
	order   []string
	// readings are what is believed of reads, by the role of the engine.
	readings map[backend.Role]*predict.Reading
	// handover is the time from the end of a read to the first token from
	// another engine, transfer aside, over all engines.
	handover predict.Average
	// refusals is the part of the requests that was refused lately.
	refusals float64
	// perToken is the transfer time of one token's KV cache.
	perToken time.Duration
	jobs     map[JobID]*job
	// placed counts the jobs so far.
	placed int64
	// forgotten is when jobs were last looked through for overdue ones.
	forgotten time.Time
}

// job remembers where a placed request's work is. It points at engines and not
// at their ids: the end of a job must not lower the work of a later start.
type job struct {
	// reader and decoder are nil if the engine was not known.
	reader, decoder *engine
	reading         bool
	// readAt is when the read ended, zero if the end was not seen here or the
	// answer moved to another decoder since.
	readAt time.Time
	// transfer is what the plan allows for the transfer of KV cache, and backlog
	// what the decoder had to read itself when the prompt's read ended.
	transfer, backlog time.Duration
	// until is when its caller leaves.
	until time.Time
}

// NewFleet returns a Fleet without engines.
func NewFleet() *Fleet {
	return &Fleet{
		engines: make(map[string]*engine),
		jobs:    make(map[JobID]*job),
		readings: map[backend.Role]*predict.Reading{
			backend.Prefill: predict.NewReading(1), backend.Decode: predict.NewReading(decodeSlowness),
		},
		handover: predict.NewAverage(priorHandover),
	}
}

// SetTransfer sets the time to move one token's KV cache.
func (f *Fleet) SetTransfer(perToken time.Duration) { f.perToken = perToken }

// SetEngines replaces the engines that may get work. One that stays keeps what
// is known of it, unless it has started anew.
func (f *Fleet) SetEngines(engines []Engine) {
	old := f.engines
	f.engines = make(map[string]*engine, len(engines))
	f.order = f.order[:0]
	for _, e := range engines {
		f.order = append(f.order, e.ID)
		was, ok := old[e.ID]
		if !ok || was.Incarnation != e.Incarnation {
			was = newEngine(e)
		}
		was.Engine = e
		was.reading = f.readingOf(e.Role)
		was.cache.limit = e.KVTokens
		f.engines[e.ID] = was
	}
}

// readingOf returns what is believed of reads by engines in a role. Those that
// have no role read as those that generate: whatever they read, they answer.
func (f *Fleet) readingOf(role backend.Role) *predict.Reading {
	if role == backend.Prefill {
		return f.readings[backend.Prefill]
	}
	return f.readings[backend.Decode]
}

// Plan chooses the engines for a job and says whether it is let in; false if
// there is none that could run it. Engines of other groups, and then those to be
// avoided, are used if there are no others.
func (f *Fleet) Plan(now time.Time, j Job, u Urgency) (Plan, Admission, bool) {
	f.forgetOverdue(now)
	for _, s := range planScopes {
		if p, ok := f.plan(now, j, s); ok {
			a := admit(p, u, f.refusals)
			f.countRefusal(!a.Admit)
			return p, a, true
		}
	}
	return Plan{}, Admission{}, false
}

// countRefusal takes the outcome of one request into the share of refusals.
func (f *Fleet) countRefusal(refused bool) {
	value := 0.0
	if refused {
		value = 1
	}
	f.refusals += refusalGain * (value - f.refusals)
}

func (f *Fleet) plan(now time.Time, j Job, s scope) (Plan, bool) {
	var best Plan
	bestCost := time.Duration(-1)
	decoders := f.decoders(now, j, s)
	readers := f.hasReaders(now, j, s)
	for _, id := range f.order {
		e := f.engines[id]
		if !e.usable(now, j, s) {
			continue
		}
		p, ok := f.planWith(now, j, e, decoders)
		if !ok || (e.Role == backend.Decode && readers && !e.maySpendOnReads(now)) {
			continue
		}
		cost := p.Expected() + time.Duration(e.readWeight()*float64(p.Read))
		if bestCost < 0 || cost < bestCost {
			best, bestCost = p, cost
		}
	}
	return best, bestCost >= 0
}

// hasReaders reports whether an engine only reads.
func (f *Fleet) hasReaders(now time.Time, j Job, s scope) bool {
	for _, e := range f.engines {
		if e.Role == backend.Prefill && e.usable(now, j, s) {
			return true
		}
	}
	return false
}

func (e *engine) usable(now time.Time, j Job, s scope) bool {
	if s == ownEngines && !j.Group.has(e.hash) {
		return false
	}
	if s != allEngines && now.Before(e.avoidUntil) {
		return false
	}
	return j.Exclude == nil || !j.Exclude(e.ID)
}

// planWith is the plan in which reader reads.
func (f *Fleet) planWith(now time.Time, j Job, reader *engine, decoders decoderChoice) (Plan, bool) {
	reader.expire(now)
	kept := reader.cache.leading(j.Prompt.Parts)
	p := Plan{
		Reader:  reader.ID,
		Decoder: reader.ID,
		Kept:    kept,
		Wait:    reader.wait(now),
		Read:    reader.cost(predict.WorkOf(j.Prompt.Tokens, kept)),
		Extra:   reader.reading.Latency(),
		Learned: reader.reading.Known(),
	}
	if reader.Role != backend.Prefill {
		return p, true
	}
	decoder, extra := f.decoderFor(now, j, reader, decoders)
	if decoder == nil {
		return p, false
	}
	p.Decoder = decoder.ID
	p.Extra += extra
	return p, true
}

// decoderChoice is the engine with the shortest handover in each data centre. A
// reader's best decoder is among them, so one pass over the engines serves all
// readers: a pass for each took most of a gateway's processor at a thousand
// engines.
type decoderChoice map[string]*engine

// decoders returns the decoderChoice for a job.
func (f *Fleet) decoders(now time.Time, j Job, s scope) decoderChoice {
	choice := make(decoderChoice)
	for _, id := range f.order {
		e := f.engines[id]
		if e.Role == backend.Prefill || !e.usable(now, j, s) {
			continue
		}
		if best, ok := choice[e.DataCentre]; !ok || f.handoverTo(now, e) < f.handoverTo(now, best) {
			choice[e.DataCentre] = e
		}
	}
	return choice
}

// decoderFor returns the engine that would generate soonest what reader read,
// and what it adds to the first token; nil if there is none.
func (f *Fleet) decoderFor(now time.Time, j Job, reader *engine, choice decoderChoice) (*engine, time.Duration) {
	var best *engine
	var least time.Duration
	for _, e := range choice {
		cost := f.transferTime(j.Prompt, reader, e) + f.handoverTo(now, e)
		if best == nil || cost < least || (cost == least && e.ID < best.ID) {
			best, least = e, cost
		}
	}
	return best, least
}

// handoverTo is how long after the end of a read the first token comes from an
// engine, transfer aside: what was seen lately, and the prompts that it reads
// itself, which stand before it. The more of its slots are taken, the longer it
// counts, so that answers spread.
func (f *Fleet) handoverTo(now time.Time, e *engine) time.Duration {
	spread := 1 + takenWeight*e.taken()
	return time.Duration(spread*float64(f.handover.Value())) + e.wait(now)
}

// transferTime is how long the KV cache of a prompt takes between two engines.
func (f *Fleet) transferTime(prompt request.Prompt, from, to *engine) time.Duration {
	t := time.Duration(prompt.Tokens) * f.perToken
	if from.DataCentre != to.DataCentre {
		t *= otherDataCentre
	}
	return t
}

// OtherDecoder chooses another engine to generate what p.Reader has read; false
// if there is none.
func (f *Fleet) OtherDecoder(now time.Time, j Job, p Plan) (Plan, bool) {
	reader, ok := f.engines[p.Reader]
	if !ok {
		return p, false
	}
	for _, s := range decoderScopes {
		decoder, _ := f.decoderFor(now, j, reader, f.decoders(now, j, s))
		if decoder != nil {
			p.Decoder = decoder.ID
			return p, true
		}
	}
	return p, false
}

// Placed notes that a request goes where its plan says.
func (f *Fleet) Placed(now time.Time, p Placement) {
	f.Ended(now, p.ID)
	f.placed++
	reader, ok := f.engines[p.Plan.Reader]
	if !ok {
		return
	}
	reader.add(now, &read{job: p.ID, work: predict.WorkOf(p.Prompt.Tokens, p.Plan.Kept), sent: now})
	reader.cache.use(p.Prompt.Parts)
	j := &job{reader: reader, reading: true, until: now.Add(p.Left)}
	f.jobs[p.ID] = j
	if d, ok := f.engines[p.Plan.Decoder]; ok {
		j.generateAt(d)
		if p.Plan.Split() {
			d.cache.use(p.Prompt.Parts)
			j.transfer = f.transferTime(p.Prompt, reader, d)
		}
	}
}

// Moved notes that another decoder than the planned one generates for a job.
func (f *Fleet) Moved(id JobID, decoder string) {
	if j, ok := f.jobs[id]; ok {
		j.generateAt(f.engines[decoder])
		j.readAt = time.Time{}
	}
}

// generateAt counts the job's stream at d, or nowhere if d is nil.
func (j *job) generateAt(d *engine) {
	if j.decoder != nil {
		j.decoder.streams--
		invariant.Check(j.decoder.streams >= 0, "streams_not_negative", "engine %s has %d streams", j.decoder.ID, j.decoder.streams)
	}
	if d != nil {
		d.streams++
	}
	j.decoder = d
}

// ReadDone notes that the prompt of a job has been read, and learns from it.
func (f *Fleet) ReadDone(now time.Time, id JobID) {
	j, ok := f.jobs[id]
	if !ok || !j.reading {
		return
	}
	j.reading = false
	j.readAt = now
	j.reader.done(now, id)
	if j.decoder != nil {
		j.backlog = j.decoder.wait(now)
	}
}

// FirstToken notes that the first token of a job has come. It returns true if
// that also was the first sign that its prompt has been read.
func (f *Fleet) FirstToken(now time.Time, id JobID) bool {
	j, ok := f.jobs[id]
	if !ok {
		return false
	}
	if j.reading {
		f.ReadDone(now, id)
		return true
	}
	if !j.readAt.IsZero() && j.decoder != nil && j.decoder != j.reader {
		took := max(0, now.Sub(j.readAt)-j.transfer-j.backlog)
		f.handover.Learn(took)
	}
	j.readAt = time.Time{}
	return false
}

// Ended notes that a job no longer works anywhere.
func (f *Fleet) Ended(now time.Time, id JobID) {
	j, ok := f.jobs[id]
	if !ok {
		return
	}
	if j.reading {
		// The read failed or was given up; how long it took says nothing.
		j.reader.remove(now, id)
	}
	delete(f.jobs, id)
	j.generateAt(nil)
}

// forgetOverdue ends the jobs whose callers must have left. It answers lost ends:
// the gateway that sent a job was killed, or the datagram about its end did not
// arrive. Their streams would count at their decoders for good, so that the
// engines that answer most seem the slowest; one notices by a state dump that
// shows more work at an engine than it reports. A gateway ends each call at its
// deadline, so that no job can run for longer.
func (f *Fleet) forgetOverdue(now time.Time) {
	if now.Sub(f.forgotten) < forgetEvery {
		return
	}
	f.forgotten = now
	for id, j := range f.jobs {
		if now.After(j.until) {
			f.Ended(now, id)
		}
	}
}

// Avoid keeps an engine out until a moment. It answers an engine that refuses,
// fails or changes its role: it has nothing to do, so by its load alone it would
// be the first choice of every entry, and each request would lose a try there.
func (f *Fleet) Avoid(id string, until time.Time) {
	if e, ok := f.engines[id]; ok && until.After(e.avoidUntil) {
		e.avoidUntil = until
	}
}

// Keeps notes parts that an engine said it keeps.
func (f *Fleet) Keeps(id string, parts []request.Part) {
	if e, ok := f.engines[id]; ok {
		e.cache.use(parts)
	}
}

// Requests returns how many placements there were.
func (f *Fleet) Requests() int64 { return f.placed }

// Work returns how many requests an engine reads or generates for.
func (f *Fleet) Work(id string) int {
	e, ok := f.engines[id]
	if !ok {
		return 0
	}
	return len(e.queue.reads) + e.streams
}
