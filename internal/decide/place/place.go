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
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/request"
)

const (
	// readRate is the prompt tokens that an engine reads in a millisecond, and
	// readPiece how many it reads in one step, from the users' sheet of their
	// engines. Correcting them by what each engine's reads took was tried and
	// gained nothing on days with slow engines (worth 0.805 and 0.802): the reads
	// that wait there say as much.
	readRate  = 112.0
	readPiece = 2_048
	// decodeReadPart is the part of readRate at which an engine in the decode
	// role reads, in pieces of decodeReadPiece, by the platform's protocol.
	decodeReadPart  = 0.5
	decodeReadPiece = readPiece / 4
	// attentionMS is the time for one new token to attend to one before it,
	// measured on long prompts.
	attentionMS = 0.2e-6
	// stepMS is what a step takes beside the tokens that it reads, and
	// streamStepMS what each running stream adds to it: the sheet's figure, and
	// one measured. Without them an engine that decodes seems to read at 56
	// tokens a millisecond where it reads at 36 between the tokens of others.
	stepMS       = 3.5
	streamStepMS = 0.1
	// minimumFresh tokens are read even of a prompt that is kept whole.
	minimumFresh = 16
	// readTTL is how much longer than expected a read is believed in.
	readTTL = 2 * time.Second
	// forgetEvery spaces the passes over all jobs: a pass over the ten thousand
	// of the largest deployments takes under a millisecond.
	forgetEvery = time.Second
	// firstToken is the time from the end of the read to the first token at the
	// caller: measured at 36 ms on idle engines.
	firstToken = 36 * time.Millisecond
	// transferSetup is the time to begin a transfer of KV cache, with the call
	// and the step that follow.
	transferSetup = 20 * time.Millisecond
	// otherDataCentre is how many times longer a transfer takes between data
	// centres, by the platform's protocol.
	otherDataCentre = 2
	// readWeight and decodeReadWeight count an engine's read time beyond what it
	// delays the request itself: it delays all that come after it and, at an
	// engine that decodes, each token of its streams. Measured on both sites'
	// standard days (mean worth): 1 and 1 0.621 and 0.750, 1.5 and 2.5 0.640 and
	// 0.765, 2 and 3 0.639 and 0.767, 1 and 4 0.631 and 0.762.
	readWeight       = 1.5
	decodeReadWeight = 2.5
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
	// for the transfer and the decoder.
	Wait, Read, Extra time.Duration
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
	// until is when its caller leaves.
	until time.Time
}

// NewFleet returns a Fleet without engines.
func NewFleet() *Fleet {
	return &Fleet{engines: make(map[string]*engine), jobs: make(map[JobID]*job)}
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
			f.engines[e.ID] = newEngine(e)
			continue
		}
		was.Engine = e
		was.cache.limit = e.KVTokens
		f.engines[e.ID] = was
	}
}

// Plan chooses the engines for a job and says whether it is let in; false if
// there is none that could run it. Engines of other groups, and then those to be
// avoided, are used if there are no others.
func (f *Fleet) Plan(now time.Time, j Job, u Urgency) (Plan, Admission, bool) {
	f.forgetOverdue(now)
	for _, s := range planScopes {
		if p, ok := f.plan(now, j, s); ok {
			return p, admit(p, u), true
		}
	}
	return Plan{}, Admission{}, false
}

func (f *Fleet) plan(now time.Time, j Job, s scope) (Plan, bool) {
	var best Plan
	bestCost := time.Duration(-1)
	decoders := f.decoders(now, j, s)
	for _, id := range f.order {
		e := f.engines[id]
		if !e.usable(now, j, s) {
			continue
		}
		p, ok := f.planWith(now, j, e, decoders)
		if !ok {
			continue
		}
		cost := p.Expected() + time.Duration(e.readWeight()*float64(p.Read))
		if bestCost < 0 || cost < bestCost {
			best, bestCost = p, cost
		}
	}
	return best, bestCost >= 0
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
		Read:    reader.readTime(j.Prompt, kept),
	}
	if reader.Role != backend.Prefill {
		p.Extra = firstToken
		return p, true
	}
	decoder, extra := f.decoderFor(j, reader, decoders)
	if decoder == nil {
		return p, false
	}
	p.Decoder = decoder.ID
	p.Extra = firstToken + extra
	return p, true
}

// decoderChoice is the engine with the shortest step in each data centre. A
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
		if best, ok := choice[e.DataCentre]; !ok || e.stepTime() < best.stepTime() {
			choice[e.DataCentre] = e
		}
	}
	return choice
}

// decoderFor returns the engine that would generate soonest what reader read,
// and what it adds to the first token; nil if there is none.
func (f *Fleet) decoderFor(j Job, reader *engine, choice decoderChoice) (*engine, time.Duration) {
	var best *engine
	var least time.Duration
	for _, e := range choice {
		cost := f.transferTime(j, reader, e) + e.stepTime()
		if best == nil || cost < least || (cost == least && e.ID < best.ID) {
			best, least = e, cost
		}
	}
	return best, least
}

func (f *Fleet) transferTime(j Job, from, to *engine) time.Duration {
	t := time.Duration(j.Prompt.Tokens) * f.perToken
	if from.DataCentre != to.DataCentre {
		t *= otherDataCentre
	}
	return transferSetup + t
}

// OtherDecoder chooses another engine to generate what p.Reader has read; false
// if there is none.
func (f *Fleet) OtherDecoder(now time.Time, j Job, p Plan) (Plan, bool) {
	reader, ok := f.engines[p.Reader]
	if !ok {
		return p, false
	}
	for _, s := range decoderScopes {
		decoder, _ := f.decoderFor(j, reader, f.decoders(now, j, s))
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
	reader.add(now, &read{job: p.ID, cost: p.Plan.Read, sent: now})
	reader.cache.use(p.Prompt.Parts)
	j := &job{reader: reader, reading: true, until: now.Add(p.Left)}
	f.jobs[p.ID] = j
	if d, ok := f.engines[p.Plan.Decoder]; ok {
		j.generateAt(d)
		if p.Plan.Split() {
			d.cache.use(p.Prompt.Parts)
		}
	}
}

// Moved notes that another decoder than the planned one generates for a job.
func (f *Fleet) Moved(id JobID, decoder string) {
	if j, ok := f.jobs[id]; ok {
		j.generateAt(f.engines[decoder])
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

// ReadDone notes that the prompt of a job has been read.
func (f *Fleet) ReadDone(now time.Time, id JobID) {
	j, ok := f.jobs[id]
	if !ok || !j.reading {
		return
	}
	j.reading = false
	j.reader.remove(now, id)
}

// Ended notes that a job no longer works anywhere.
func (f *Fleet) Ended(now time.Time, id JobID) {
	j, ok := f.jobs[id]
	if !ok {
		return
	}
	f.ReadDone(now, id)
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
	return len(e.reads) + e.streams
}
