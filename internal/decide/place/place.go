// Package place decides which model engine prefills a prompt, which one generates the
// answer, and whether the request is admitted.
//
// It places long prompts that share segments on engines with a limited prefill rate.
// Least-requests balancing sends a prompt where its shared segments are not cached, and
// half of all prefilled tokens are prefilled again; cache affinity alone queues all
// requests for a popular segment at one engine. A Fleet therefore estimates the time to
// first token at each engine: from the queued prompts, in tokens rather than requests,
// and from what the engine must prefill of this one. The package is pure code; time is
// passed in.
package place

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/fairshare"
	"pistachioroad.dev/pistachioroad/internal/decide/locality"
	"pistachioroad.dev/pistachioroad/internal/decide/predict"
	"pistachioroad.dev/pistachioroad/internal/decide/streamversion"
	"pistachioroad.dev/pistachioroad/internal/request"
)

const (
	// priorDecodeSlowdown is how many times as long a decode engine takes for a
	// prefill, according to the platform's protocol, until prefills there were
	// observed.
	priorDecodeSlowdown = 2
	// prefillExpiry is by how much a prefill may exceed its expected time before it
	// counts as lost.
	prefillExpiry = 2 * time.Second
	// jobExpiryInterval is the interval between passes over all jobs.
	jobExpiryInterval = time.Second
	// priorHandoverTime is the time from the end of a prefill to the first token from
	// another engine, without the KV transfer, until one was observed: the call, the
	// start of a transfer and a decode step.
	priorHandoverTime = 15 * time.Millisecond
	// crossDataCentreFactor is how many times as long a KV transfer takes between data
	// centres, according to the platform's protocol.
	crossDataCentreFactor = 2
	// prefillWeight is the weight of an engine's prefill time in the cost of a plan,
	// beyond the delay of the request itself: it delays all requests that come after
	// it.
	prefillWeight = 4
	// slotUtilizationWeight is by what fraction the handover time is increased at an
	// engine with all slots taken, compared with an idle one. With much more, KV
	// transfers cross data centres for a difference of a few streams.
	slotUtilizationWeight = 1
	// shortPrefillFraction is the largest fraction of the mean prefill that counts as
	// short.
	shortPrefillFraction = 0.1
	// meanPrefillGain is the EWMA weight of a prompt in the mean: a hundred count.
	meanPrefillGain = 0.01
)

// JobID identifies a placed request across all gateways.
type JobID uint64

// Job is a request to place.
type Job struct {
	ID     JobID
	Prompt request.Prompt
	// DataCentre is the gateway's.
	DataCentre string
	// Bytes is the size of the request as it is sent to each engine.
	Bytes int
	// Route is the name of its route.
	Route string
	// Exclude reports whether an engine has rejected or failed the request.
	Exclude func(id string) bool
	// Group is the gateway's.
	Group Group
	// Suspect is set if an engine terminated while it ran the request: the next one may
	// too, with all requests that run there.
	Suspect bool
	// Version limits the engines that may generate the answer, or the rest of it. Any
	// engine may prefill the prompt.
	Version streamversion.Constraint
	// FailureRates are the probabilities with which engines fail the request, of those that
	// fail more often than their peers. Repeatable is set if it may then be sent to another.
	FailureRates map[string]float64
	Repeatable   bool
	// Connected has the engines to which this gateway has an idle connection, nil if
	// connections take no time.
	Connected map[string]bool
	// Account is the caller's client account, 0 if accounts have no shares.
	Account fairshare.AccountID
	// Priority is the priority of its route; 0 is the most urgent.
	Priority int

	// need is what it needs of the engines' memory, nil if memory is not reserved.
	need *memoryNeed
}

// Plan is the choice of engines for a request, with its expected latency and cost.
type Plan struct {
	// PrefillEngine prefills the prompt. It is DecodeEngine itself if no KV transfer is
	// needed.
	PrefillEngine, DecodeEngine string
	// CachedTokens is how many tokens of the prompt PrefillEngine is estimated to have
	// cached.
	CachedTokens int
	// QueueDelay, PrefillTime, PrefillLag and Overhead add up to the expected time to
	// first token. PrefillLag is what this gateway itself adds to prefills, Overhead the
	// network latency, KV transfer and handover.
	QueueDelay, PrefillTime, PrefillLag, Overhead time.Duration
	// AnswerCost is the cost of generating the answer at DecodeEngine after the first
	// token: the probabilities that it and other answers there miss their deadlines, as
	// a time. Admission does not depend on it.
	AnswerCost time.Duration
	// DistanceCost is the cost, as a time, of sending the request to engines in other data
	// centres and of a KV transfer between data centres. Crossings counts these sends and
	// transfers, at most three.
	DistanceCost time.Duration
	Crossings    int
	// MissProbability is the probability that the answer misses its deadline at
	// DecodeEngine.
	MissProbability float64
	// ShortPrefill is set if PrefillEngine has little to prefill compared with other
	// prompts.
	ShortPrefill bool
	// Calibrated is set if the expected time is based on enough observed prefills.
	Calibrated bool
}

// Placement is a request that is placed as planned.
type Placement struct {
	ID     JobID
	Prompt request.Prompt
	Plan   Plan
	// Remaining is how long its caller waits at most.
	Remaining time.Duration
	// Account is the caller's client account, 0 if accounts have no shares.
	Account fairshare.AccountID
	// AnnouncementDelay is how long after the placement another gateway's announcement
	// arrived, 0 for a placement of this gateway.
	AnnouncementDelay time.Duration
}

// ExpectedTTFT returns the expected time to first token.
func (p Plan) ExpectedTTFT() time.Duration {
	return p.QueueDelay + p.PrefillTime + p.PrefillLag + p.Overhead
}

// Split reports whether different engines prefill the prompt and generate the answer.
func (p Plan) Split() bool { return p.PrefillEngine != p.DecodeEngine }

// Fleet tracks the load of the engines of one service as known to this gateway. It is
// not safe for concurrent use.
type Fleet struct {
	engines   map[string]*engine
	engineIDs []string
	// prefillModels predict the time of prefills, by the role of the engine.
	prefillModels map[backend.Role]*predict.PrefillModel
	// handoverModel predicts the time from the end of a prefill to the first token from
	// another engine, without the KV transfer, over all engines.
	handoverModel *predict.HandoverModel
	// interEventModel predicts the time between two events of a stream.
	interEventModel *predict.DecodeModel
	// answerLengths predicts how many events an answer has.
	answerLengths predict.LengthModel
	// localLag and remoteLag are by how much the prefills of this gateway and of others
	// exceed their expected times.
	localLag, remoteLag predict.PrefillLag
	// meanPrefillTokens is how many tokens engines prefill of a prompt on average.
	meanPrefillTokens float64
	// expectedMisses tracks the answers that are expected to miss their deadlines.
	expectedMisses expectedMisses
	// rejectionRate is the fraction of recent requests that was rejected.
	rejectionRate float64
	// sizes tracks the admission of prompts by their length.
	sizes sizesByRoute
	// shares limits client accounts to their shares.
	shares accountShares
	// restoredEngines is what another process has learned of engines.
	restoredEngines map[string]EngineSnapshot
	// kvTransferPerToken is the transfer time of one token's KV cache.
	kvTransferPerToken time.Duration
	// distancePrice is what it is worth to stay within a data centre.
	distancePrice locality.Price
	jobs          map[JobID]*job
	// placementCount is the number of placements so far.
	placementCount int64
	// jobsExpiredAt is when overdue jobs were last looked for.
	jobsExpiredAt time.Time
	// memory decides on the KV memory of engines, if it is reserved.
	memory fleetMemory
}

// NewFleet returns a Fleet without engines.
func NewFleet() *Fleet {
	return &Fleet{
		engines: make(map[string]*engine),
		jobs:    make(map[JobID]*job),
		sizes:   make(sizesByRoute),
		shares:  newAccountShares(),
		prefillModels: map[backend.Role]*predict.PrefillModel{
			backend.Prefill: predict.NewPrefillModel(1), backend.Decode: predict.NewPrefillModel(priorDecodeSlowdown),
		},
		handoverModel:   predict.NewHandoverModel(priorHandoverTime),
		interEventModel: predict.NewDecodeModel(),
	}
}

// SetKVTransferTime sets the time to transfer one token's KV cache.
func (f *Fleet) SetKVTransferTime(perToken time.Duration) { f.kvTransferPerToken = perToken }

// SetDistancePrice sets what it is worth to keep requests within their data centre.
func (f *Fleet) SetDistancePrice(p locality.Price) { f.distancePrice = p }

// SetEngines replaces the engines that requests may be placed on. One that remains
// keeps its state unless it has been restarted.
func (f *Fleet) SetEngines(engines []Engine) {
	old := f.engines
	f.engines = make(map[string]*engine, len(engines))
	f.engineIDs = f.engineIDs[:0]
	for _, e := range engines {
		f.engineIDs = append(f.engineIDs, e.ID)
		tracked, ok := old[e.ID]
		if !ok || tracked.Incarnation != e.Incarnation {
			tracked = newEngine(e)
			tracked.interEventModel = f.interEventModel
			f.restoreEngine(tracked)
		}
		tracked.Engine = e
		tracked.prefillModel = f.prefillModelFor(e.Role)
		tracked.cache.limit, tracked.cache.maxSegments = e.KVTokens, e.MaxSegments
		f.engines[e.ID] = tracked
	}
	f.updateMemory()
}

// prefillModelFor returns the model of prefills by engines in a role. Engines without a
// role share that of decode engines: they too generate answers beside their prefills.
func (f *Fleet) prefillModelFor(role backend.Role) *predict.PrefillModel {
	if role == backend.Prefill {
		return f.prefillModels[backend.Prefill]
	}
	return f.prefillModels[backend.Decode]
}

// Plan chooses the engines for a job and decides on its admission; false if no engine
// can run it. Engines of other groups, and then avoided ones, are used if there are no
// others.
func (f *Fleet) Plan(now time.Time, j Job, c Constraints) (Plan, Admission, bool) {
	f.expireJobs(now)
	j.need = f.memoryNeed(now, j, c)
	if j.need.tooLarge() {
		return Plan{}, refuseTooLarge(c), true
	}
	for _, s := range planScopes {
		if p, ok := f.plan(now, j, c, s); ok {
			a := f.admitBySize(now, j, p, c, admit(p, c, f.rejectionRate))
			f.updateRejectionRate(!a.Admit)
			return p, f.limitToShare(now, j, p, c, a), true
		}
		if j.need.refused() {
			// Other scopes have the engines of other groups, whose reservations are
			// unknown, and those that failed.
			return Plan{}, f.refuseForMemory(now, j, c), true
		}
	}
	return Plan{}, Admission{}, false
}

// updateRejectionRate adds the outcome of one request to the rejection rate.
func (f *Fleet) updateRejectionRate(rejected bool) {
	value := 0.0
	if rejected {
		value = 1
	}
	f.rejectionRate += rejectionRateGain * (value - f.rejectionRate)
}

func (f *Fleet) plan(now time.Time, j Job, c Constraints, s scope) (Plan, bool) {
	candidates := f.decodeCandidates(now, j, c, s)
	free := distance{home: j.DataCentre}
	if f.distancePrice <= 0 {
		return f.cheapestPlan(now, j, c, s, candidates, free)
	}
	home, ok := f.cheapestPlan(now, j, c, s, candidates.in(j.DataCentre), distance{home: j.DataCentre, only: j.DataCentre})
	if !ok {
		return f.cheapestPlan(now, j, c, s, candidates, free)
	}
	best, ok := f.cheapestPlan(now, j, c, s, candidates, f.distanceOf(j, c, home))
	if !ok || best.Crossings == 0 || locality.Leaves(home.cost()-best.cost(), best.PrefillTime, uint64(j.ID)) {
		return best, ok
	}
	return home, true
}

// cheapestPlan returns the plan with the lowest cost; false if there is none.
func (f *Fleet) cheapestPlan(now time.Time, j Job, c Constraints, s scope, candidates decodeCandidates, d distance) (Plan, bool) {
	var best Plan
	found := false
	for _, id := range f.engineIDs {
		e := f.engines[id]
		if !d.allows(e) || !e.eligible(now, j, s) || !e.fits(j) || !j.need.fitsPrefill(e) {
			continue
		}
		p, ok := f.planPrefillOn(now, j, c, e, candidates, d)
		if ok && (!found || p.cost() < best.cost()) {
			best, found = p, true
		}
	}
	return best, found
}

// cost returns the cost by which plans are compared.
func (p Plan) cost() time.Duration {
	return p.ExpectedTTFT() + prefillWeight*p.PrefillTime + p.AnswerCost + p.DistanceCost
}

func (e *engine) eligible(now time.Time, j Job, s scope) bool {
	if s == healthyInGroup && !j.Group.has(e.hash) {
		return false
	}
	if s != anyEngine && now.Before(e.avoidUntil) {
		return false
	}
	return j.Exclude == nil || !j.Exclude(e.ID)
}

// fits reports whether the engine's software version allows what it would do for the
// job: prefill engines do not generate the answer.
func (e *engine) fits(j Job) bool {
	return e.Role == backend.Prefill || j.Version.Allows(e.Version)
}

// planPrefillOn returns the plan in which prefillEngine prefills the prompt; false if
// no engine can generate the answer.
func (f *Fleet) planPrefillOn(now time.Time, j Job, c Constraints, prefillEngine *engine, candidates decodeCandidates, l distance) (Plan, bool) {
	prefillEngine.expirePrefills(now)
	cached := prefillEngine.cache.cachedPrefix(j.Prompt.Segments)
	work := predict.NewPrefillWork(f.contextTokens(j.Prompt), cached)
	p := Plan{
		PrefillEngine: prefillEngine.ID,
		DecodeEngine:  prefillEngine.ID,
		CachedTokens:  cached,
		QueueDelay:    prefillEngine.queueDelay(now),
		PrefillTime:   prefillEngine.prefillTime(now, work),
		PrefillLag:    f.prefillLag(now),
		Overhead:      prefillEngine.prefillModel.FixedLatency() + connectTime(j, prefillEngine),
		ShortPrefill:  work.Tokens <= shortPrefillFraction*f.meanPrefillTokens,
		Calibrated:    prefillEngine.prefillModel.Calibrated(),
	}
	p.DistanceCost, p.Crossings = l.ofSend(prefillEngine)
	if prefillEngine.Role != backend.Prefill {
		p.AnswerCost, p.MissProbability = f.answerCost(now, j, c, prefillEngine)
		p.AnswerCost += prefillEngine.delayCost(p.PrefillTime) + f.handoverCost(now, prefillEngine, p) + terminationCost(j, prefillEngine) + failureCost(j, prefillEngine)
		return p, true
	}
	d, transfer, ok := candidates.bestFor(f, j, prefillEngine, l)
	if !ok {
		return p, false
	}
	cost, crossings := l.ofHandover(prefillEngine, d.engine, transfer)
	p.DistanceCost += cost
	p.Crossings += crossings
	p.DecodeEngine = d.ID
	p.Overhead += transfer + d.handoverTime
	p.AnswerCost, p.MissProbability = d.answerCost+failureCost(j, prefillEngine), d.missProbability
	return p, true
}

// Avoid excludes an engine until the given time. It guards against an engine that
// rejects, fails or changes its role: it has no load, so that every gateway would
// choose it first and each request would lose an attempt there.
func (f *Fleet) Avoid(id string, until time.Time) {
	if e, ok := f.engines[id]; ok && until.After(e.avoidUntil) {
		e.avoidUntil = until
	}
}

// AddCachedSegments records segments that an engine reported as cached.
func (f *Fleet) AddCachedSegments(id string, segments []request.Segment) {
	if e, ok := f.engines[id]; ok {
		e.cache.touch(segments)
	}
}

// Placements returns how many requests have been placed.
func (f *Fleet) Placements() int64 { return f.placementCount }

// InFlight returns how many requests an engine prefills or generates answers for.
func (f *Fleet) InFlight(id string) int {
	e, ok := f.engines[id]
	if !ok {
		return 0
	}
	return len(e.queue.prefills) + e.streams
}
