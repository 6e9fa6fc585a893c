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
	"pistachioroad.dev/pistachioroad/internal/request"
)

const (
	// decodeSlowness is how many times as slowly an engine in the decode role
	// reads, by the platform's protocol, until reads there were seen.
	decodeSlowness = 2
	// readTTL is how much longer than expected a read is believed in.
	readTTL = 2 * time.Second
	// forgetEvery spaces the passes over all jobs.
	forgetEvery = time.Second
	// priorHandover is the time from the end of a read to the first token from
	// another engine, transfer aside, until one was seen: the call, the begin of
	// a transfer and a step.
	priorHandover = 15 * time.Millisecond
	// otherDataCentre is how many times longer a transfer takes between data
	// centres, by the platform's protocol.
	otherDataCentre = 2
	// readWeight is how much an engine's read time counts beyond what it delays
	// the request itself: it delays all that come after it.
	readWeight = 4
	// takenWeight is how much longer an engine with all slots taken counts to take
	// for a first token than an idle one. With much more, transfers cross data
	// centres for a few streams' difference.
	takenWeight = 1
	// shortPart is how much of the average is read of a short prompt at most.
	shortPart = 0.1
	// unreadGain is the part that each prompt adds to the average: a hundred count.
	unreadGain = 0.01
)

// JobID identifies a placed request among all entries.
type JobID uint64

// Job is a request to place.
type Job struct {
	ID     JobID
	Prompt request.Prompt
	// DataCentre is the entry's.
	DataCentre string
	// Route is the name of the route that it came by.
	Route string
	// Exclude names engines that refused or failed the request.
	Exclude func(id string) bool
	// Group is the entry's.
	Group Group
	// Suspect says that an engine has ended under the request: the next one may too,
	// and all that runs there with it.
	Suspect bool
}

// Plan says where a request goes.
type Plan struct {
	// Reader reads the prompt. It is Decoder itself if no transfer is needed.
	PrefillEngine, DecodeEngine string
	// Kept is what Reader is thought to keep of the prompt, in tokens.
	CachedTokens int
	// Wait and Read make up the expected time to the first token, with Lag for what
	// this entry adds itself, and Extra for the way, the transfer and the decoder.
	QueueDelay, PrefillTime, PrefillLag, Overhead time.Duration
	// Answer is what it costs to generate the answer at Decoder, beside the first
	// token: the chances that it and others there miss their deadlines, as a time.
	// Admission does not rest on it.
	AnswerCost time.Duration
	// Miss is the chance that the answer misses its deadline at Decoder.
	MissProbability float64
	// Short says that Reader has little to read of it compared to other prompts.
	Short bool
	// Learned says that the expectation rests on enough reads that were seen.
	Calibrated bool
}

// Placement is a request that goes where its plan says.
type Placement struct {
	ID     JobID
	Prompt request.Prompt
	Plan   Plan
	// Left is how long its caller waits at most.
	Remaining time.Duration
}

// Expected is the expected time to the first token.
func (p Plan) ExpectedTTFT() time.Duration {
	return p.QueueDelay + p.PrefillTime + p.PrefillLag + p.Overhead
}

// Split reports whether one engine reads and another generates.
func (p Plan) Split() bool { return p.PrefillEngine != p.DecodeEngine }

// Fleet is the load of the engines of one service as this entry knows it. Its
// methods are for one goroutine at a time.
type Fleet struct {
	engines map[string]*engine
	order   []string
	// readings are what is believed of reads, by the role of the engine.
	readings map[backend.Role]*predict.PrefillModel
	// handover is the time from the end of a read to the first token from
	// another engine, transfer aside, over all engines.
	handover *predict.HandoverModel
	// steps is the time between two events of a stream.
	steps *predict.DecodeModel
	// lengths is how many events answers have.
	lengths predict.LengthModel
	// ownLag and othersLag are how much longer the reads of this entry and of others
	// take than expected.
	ownLag, othersLag predict.PrefillLag
	// unread is how many tokens engines read of a prompt on average.
	unread float64
	// misses is which answers are expected to miss their deadlines.
	misses misses
	// refusals is the part of the requests that was refused lately.
	refusals float64
	// sizes is how prompts of each length fare.
	sizes sizesByRoute
	// restored is what another process has learned of engines.
	restored map[string]EngineSnapshot
	// perToken is the transfer time of one token's KV cache.
	perToken time.Duration
	jobs     map[JobID]*job
	// placed counts the jobs so far.
	placed int64
	// forgotten is when jobs were last looked through for overdue ones.
	forgotten time.Time
}

// NewFleet returns a Fleet without engines.
func NewFleet() *Fleet {
	return &Fleet{
		engines: make(map[string]*engine),
		jobs:    make(map[JobID]*job),
		sizes:   make(sizesByRoute),
		readings: map[backend.Role]*predict.PrefillModel{
			backend.Prefill: predict.NewPrefillModel(1), backend.Decode: predict.NewPrefillModel(decodeSlowness),
		},
		handover: predict.NewHandoverModel(priorHandover),
		steps:    predict.NewDecodeModel(),
	}
}

// SetTransfer sets the time to move one token's KV cache.
func (f *Fleet) SetKVTransferTime(perToken time.Duration) { f.perToken = perToken }

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
			was.steps = f.steps
			f.restoreEngine(was)
		}
		was.Engine = e
		was.reading = f.readingOf(e.Role)
		was.cache.limit = e.KVTokens
		f.engines[e.ID] = was
	}
}

// readingOf returns what is believed of reads by engines in a role. Those that
// have no role read as those that generate: whatever they read, they answer.
func (f *Fleet) readingOf(role backend.Role) *predict.PrefillModel {
	if role == backend.Prefill {
		return f.readings[backend.Prefill]
	}
	return f.readings[backend.Decode]
}

// Plan chooses the engines for a job and says whether it is let in; false if
// there is none that could run it. Engines of other groups, and then those to be
// avoided, are used if there are no others.
func (f *Fleet) Plan(now time.Time, j Job, u Constraints) (Plan, Admission, bool) {
	f.forgetOverdue(now)
	for _, s := range planScopes {
		if p, ok := f.plan(now, j, u, s); ok {
			a := f.admitBySize(now, j, p, u, admit(p, u, f.refusals))
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

func (f *Fleet) plan(now time.Time, j Job, u Constraints, s scope) (Plan, bool) {
	var best Plan
	bestCost := time.Duration(-1)
	decoders := f.decoders(now, j, u, s)
	for _, id := range f.order {
		e := f.engines[id]
		if !e.usable(now, j, s) {
			continue
		}
		p, ok := f.planWith(now, j, u, e, decoders)
		if !ok {
			continue
		}
		cost := p.ExpectedTTFT() + readWeight*p.PrefillTime + p.AnswerCost
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
func (f *Fleet) planWith(now time.Time, j Job, u Constraints, reader *engine, decoders decoderChoice) (Plan, bool) {
	reader.expire(now)
	kept := reader.cache.leading(j.Prompt.Segments)
	work := predict.NewPrefillWork(f.context(j.Prompt), kept)
	p := Plan{
		PrefillEngine: reader.ID,
		DecodeEngine:  reader.ID,
		CachedTokens:  kept,
		QueueDelay:    reader.wait(now),
		PrefillTime:   reader.cost(work),
		PrefillLag:    f.lag(now),
		Overhead:      reader.reading.FixedLatency(),
		Short:         work.Tokens <= shortPart*f.unread,
		Calibrated:    reader.reading.Calibrated(),
	}
	if reader.Role != backend.Prefill {
		p.AnswerCost, p.MissProbability = f.answerCost(now, j, u, reader)
		p.AnswerCost += reader.delayCost(p.PrefillTime) + f.handoverCost(now, reader, p) + harm(j, reader)
		return p, true
	}
	d, transfer, ok := decoders.bestFor(f, j, reader)
	if !ok {
		return p, false
	}
	p.DecodeEngine = d.ID
	p.Overhead += transfer + d.handover
	p.AnswerCost, p.MissProbability = d.answer, d.miss
	return p, true
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
func (f *Fleet) AddCachedSegments(id string, parts []request.Segment) {
	if e, ok := f.engines[id]; ok {
		e.cache.use(parts)
	}
}

// Requests returns how many placements there were.
func (f *Fleet) Placements() int64 { return f.placed }

// Work returns how many requests an engine reads or generates for.
func (f *Fleet) InFlight(id string) int {
	e, ok := f.engines[id]
	if !ok {
		return 0
	}
	return len(e.queue.reads) + e.streams
}
