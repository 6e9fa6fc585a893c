package place

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/request"
)

// decodeCandidate is an engine that could generate an answer, with the cost of that.
type decodeCandidate struct {
	*engine
	// handoverTime is the expected time from the end of a prefill to the first token,
	// without the KV transfer, and answerCost the cost of the rest of the answer there.
	handoverTime, answerCost time.Duration
	// missProbability is the probability that the answer misses its deadline there.
	missProbability float64
}

// cost returns the cost by which candidates are compared, without the KV transfer.
func (d decodeCandidate) cost() time.Duration { return d.handoverTime + d.answerCost }

// decodeCandidates has the candidate with the lowest cost in each data centre. The best
// one for any prefill engine is among them, so that one pass over the engines serves
// all prefill engines.
type decodeCandidates map[string]decodeCandidate

// decodeCandidates returns the candidates for a job.
func (f *Fleet) decodeCandidates(now time.Time, j Job, c Constraints, s scope) decodeCandidates {
	candidates := make(decodeCandidates)
	for _, id := range f.engineIDs {
		e := f.engines[id]
		if e.Role == backend.Prefill || !e.eligible(now, j, s) || !e.fits(j) || !j.need.fitsDecode(e) {
			continue
		}
		d := decodeCandidate{engine: e, handoverTime: f.handoverTime(now, e) + connectTime(j, e)}
		d.answerCost, d.missProbability = f.answerCost(now, j, c, e)
		d.answerCost += terminationCost(j, e) + failureCost(j, e)
		if best, ok := candidates[e.DataCentre]; !ok || d.cost() < best.cost() {
			candidates[e.DataCentre] = d
		}
	}
	return candidates
}

// in returns the candidate in a data centre.
func (c decodeCandidates) in(dataCentre string) decodeCandidates {
	d, ok := c[dataCentre]
	if !ok {
		return nil
	}
	return decodeCandidates{dataCentre: d}
}

// lostAnswerCost is the cost of losing an answer with its engine.
const lostAnswerCost = 500 * time.Millisecond

// terminationCost returns the cost of the answers that are lost if a suspect job
// terminates the engine.
func terminationCost(j Job, e *engine) time.Duration {
	if !j.Suspect {
		return 0
	}
	return time.Duration(e.streams) * lostAnswerCost
}

// bestFor returns the decode engine with the lowest cost for a prompt that an engine
// prefills, and the KV transfer time; false if there is none.
func (c decodeCandidates) bestFor(f *Fleet, j Job, prefillEngine *engine, l distance) (decodeCandidate, time.Duration, bool) {
	var best decodeCandidate
	var transfer, leastCost time.Duration
	for _, d := range c {
		t := f.kvTransferTime(j.Prompt, prefillEngine, d.engine)
		cost := t + d.cost()
		if l.cost > 0 {
			crossing, _ := l.ofHandover(prefillEngine, d.engine, t)
			cost += crossing
		}
		if best.engine == nil || cost < leastCost || (cost == leastCost && d.ID < best.ID) {
			best, transfer, leastCost = d, t, cost
		}
	}
	return best, transfer, best.engine != nil
}

// handoverTime returns the expected time from the end of a prefill to the first token
// from a decode engine, without the KV transfer: the base time, and the observed delay
// by prompts that this engine prefills itself. The base time grows with slot
// utilization, so that answers spread.
func (f *Fleet) handoverTime(now time.Time, e *engine) time.Duration {
	spread := 1 + slotUtilizationWeight*e.slotUtilization()
	return time.Duration(spread*float64(f.handoverModel.BaseDelay())) + f.handoverModel.BacklogDelay(e.queueDelay(now))
}

// kvTransferTime returns the transfer time of a prompt's KV cache between two engines.
func (f *Fleet) kvTransferTime(prompt request.Prompt, from, to *engine) time.Duration {
	t := time.Duration(f.contextTokens(prompt)) * f.kvTransferPerToken
	if from.DataCentre != to.DataCentre {
		t *= crossDataCentreFactor
	}
	return t
}

// AlternateDecodeEngine chooses another engine to generate the answer to a prompt that
// p.PrefillEngine has prefilled; false if there is none.
func (f *Fleet) AlternateDecodeEngine(now time.Time, j Job, c Constraints, p Plan) (Plan, bool) {
	prefillEngine, ok := f.engines[p.PrefillEngine]
	if !ok {
		return p, false
	}
	j.need = f.memoryNeed(now, j, c)
	for _, s := range alternateDecodeScopes {
		if best, _, ok := f.decodeCandidates(now, j, c, s).bestFor(f, j, prefillEngine, f.fullDistance(j)); ok {
			p.DecodeEngine = best.ID
			return p, true
		}
		if j.need.refused() {
			break
		}
	}
	return p, false
}
