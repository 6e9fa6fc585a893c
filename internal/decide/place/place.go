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
	"pistachioroad.dev/pistachioroad/internal/request"
)

const (
	// readRate is the prompt tokens that an engine reads in a millisecond, from
	// the users' sheet of their engines (112). Slower engines are corrected by
	// what they are measured to take.
	readRate = 112.0
	// decodeReadPart is the part of readRate at which an engine in the decode
	// role reads, by the platform's protocol.
	decodeReadPart = 0.5
	// attentionMS is the time for one new token to attend to one before it.
	attentionMS = 0.2e-6
	// minimumFresh tokens are read even of a prompt that is kept whole.
	minimumFresh = 16
	// readTTL is how much longer than expected a read is believed in.
	readTTL = 2 * time.Second
	// decodeStep is the time that each running stream adds to a first token.
	decodeStep = 100 * time.Microsecond
	// transferSetup is the time to begin a transfer of KV cache, with the call
	// that follows.
	transferSetup = 10 * time.Millisecond
	// otherDataCentre is how many times longer a transfer takes between data
	// centres, by the platform's protocol.
	otherDataCentre = 2
	// readWeight counts an engine's read time once more than it delays the
	// request itself: it delays all that come after it too.
	readWeight = 1.0
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

// Expected is the expected time to the first token.
func (p Plan) Expected() time.Duration { return p.Wait + p.Read + p.Extra }

// Split reports whether one engine reads and another generates.
func (p Plan) Split() bool { return p.Reader != p.Decoder }

// Fleet is the load of the engines of one service as this entry knows it. Its
// methods are for one goroutine at a time.
type Fleet struct {
	engines map[string]*engine
	order   []string
	// linkRate is the transfer time of one token.
	perToken time.Duration
	jobs     map[JobID]*job
}

// job remembers where a placed request's work is.
type job struct {
	reader, decoder string
	reading         bool
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

// Plan chooses the engines for a job; false if there is none that could run it.
func (f *Fleet) Plan(now time.Time, j Job) (Plan, bool) {
	var best Plan
	bestCost := time.Duration(-1)
	for _, id := range f.order {
		e := f.engines[id]
		if !e.usable(now, j) {
			continue
		}
		p, ok := f.planWith(now, j, e)
		if !ok {
			continue
		}
		cost := p.Expected() + time.Duration(readWeight*float64(p.Read))
		if bestCost < 0 || cost < bestCost {
			best, bestCost = p, cost
		}
	}
	return best, bestCost >= 0
}

func (e *engine) usable(now time.Time, j Job) bool {
	if now.Before(e.avoidUntil) {
		return false
	}
	return j.Exclude == nil || !j.Exclude(e.ID)
}

// planWith is the plan in which reader reads.
func (f *Fleet) planWith(now time.Time, j Job, reader *engine) (Plan, bool) {
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
		p.Extra = time.Duration(reader.streams) * decodeStep
		return p, true
	}
	decoder, extra := f.decoderFor(now, j, reader)
	if decoder == nil {
		return p, false
	}
	p.Decoder = decoder.ID
	p.Extra = extra
	return p, true
}

// decoderFor returns the engine that would generate soonest what reader read.
func (f *Fleet) decoderFor(now time.Time, j Job, reader *engine) (*engine, time.Duration) {
	var best *engine
	var least time.Duration
	for _, id := range f.order {
		e := f.engines[id]
		if e.Role == backend.Prefill || !e.usable(now, j) {
			continue
		}
		cost := f.transferTime(j, reader, e) + time.Duration(e.streams)*decodeStep
		if len(e.reads) > 0 {
			// Prompts are read between the tokens of others, so a reader's
			// steps are longer.
			cost += decodeReadStep
		}
		if best == nil || cost < least {
			best, least = e, cost
		}
	}
	return best, least
}

// decodeReadStep is one step of an engine that reads a prompt between tokens:
// a piece of 512 tokens at half the rate.
const decodeReadStep = 9 * time.Millisecond

func (f *Fleet) transferTime(j Job, from, to *engine) time.Duration {
	t := time.Duration(j.Prompt.Tokens) * f.perToken
	if from.DataCentre != to.DataCentre {
		t *= otherDataCentre
	}
	return transferSetup + t
}

// Placed notes that a job goes where its plan says.
func (f *Fleet) Placed(now time.Time, id JobID, prompt request.Prompt, p Plan) {
	f.Ended(now, id)
	reader, ok := f.engines[p.Reader]
	if !ok {
		return
	}
	reader.add(now, &read{job: id, cost: p.Read, sent: now})
	reader.cache.use(prompt.Parts)
	f.jobs[id] = &job{reader: p.Reader, decoder: p.Decoder, reading: true}
	if d, ok := f.engines[p.Decoder]; ok {
		d.streams++
		if p.Split() {
			d.cache.use(prompt.Parts)
		}
	}
}

// ReadDone notes that the prompt of a job has been read.
func (f *Fleet) ReadDone(now time.Time, id JobID) {
	j, ok := f.jobs[id]
	if !ok || !j.reading {
		return
	}
	j.reading = false
	if e, ok := f.engines[j.reader]; ok {
		e.remove(now, id)
	}
}

// Ended notes that a job no longer works anywhere.
func (f *Fleet) Ended(now time.Time, id JobID) {
	j, ok := f.jobs[id]
	if !ok {
		return
	}
	f.ReadDone(now, id)
	delete(f.jobs, id)
	if d, ok := f.engines[j.decoder]; ok {
		d.streams = max(0, d.streams-1)
	}
}

// Avoid keeps an engine out until a moment.
func (f *Fleet) Avoid(id string, until time.Time) {
	if e, ok := f.engines[id]; ok {
		e.avoidUntil = until
	}
}
