package place

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/request"
)

// decoder is an engine that may generate an answer, with what that costs.
type decoder struct {
	*engine
	// handover is how long after the end of a read the first token comes, transfer
	// aside, and answer what the rest of the answer costs there.
	handover, answer time.Duration
	// miss is the chance that the answer misses its deadline there.
	miss float64
}

// cost is what decoders are compared by, transfer aside.
func (d decoder) cost() time.Duration { return d.handover + d.answer }

// decoderChoice is the cheapest engine in each data centre. A reader's best decoder
// is among them, so that one pass over the engines serves all readers.
type decoderChoice map[string]decoder

// decoders returns the decoderChoice for a job.
func (f *Fleet) decoders(now time.Time, j Job, u Constraints, s scope) decoderChoice {
	choice := make(decoderChoice)
	for _, id := range f.order {
		e := f.engines[id]
		if e.Role == backend.Prefill || !e.usable(now, j, s) {
			continue
		}
		d := decoder{engine: e, handover: f.handoverTo(now, e)}
		d.answer, d.miss = f.answerCost(now, j, u, e)
		d.answer += harm(j, e)
		if best, ok := choice[e.DataCentre]; !ok || d.cost() < best.cost() {
			choice[e.DataCentre] = d
		}
	}
	return choice
}

// lostAnswer is what it costs to lose an answer with its engine.
const lostAnswer = 500 * time.Millisecond

// harm is what it costs if an engine ends under a job.
func harm(j Job, e *engine) time.Duration {
	if !j.Suspect {
		return 0
	}
	return time.Duration(e.streams) * lostAnswer
}

// bestFor returns the decoder that costs least for what reader reads, and the time
// of the transfer; false if there is none.
func (c decoderChoice) bestFor(f *Fleet, j Job, reader *engine) (decoder, time.Duration, bool) {
	var best decoder
	var transfer, least time.Duration
	for _, d := range c {
		t := f.transferTime(j.Prompt, reader, d.engine)
		cost := t + d.cost()
		if best.engine == nil || cost < least || (cost == least && d.ID < best.ID) {
			best, transfer, least = d, t, cost
		}
	}
	return best, transfer, best.engine != nil
}

// handoverTo is how long after the end of a read the first token comes from an
// engine, transfer aside: what passes anyway, and what the prompts that it reads
// itself were seen to add. The more of its slots are taken, the longer it counts,
// so that answers spread.
func (f *Fleet) handoverTo(now time.Time, e *engine) time.Duration {
	spread := 1 + takenWeight*e.taken()
	return time.Duration(spread*float64(f.handover.BaseDelay())) + f.handover.BacklogDelay(e.wait(now))
}

// transferTime is how long the KV cache of a prompt takes between two engines.
func (f *Fleet) transferTime(prompt request.Prompt, from, to *engine) time.Duration {
	t := time.Duration(f.context(prompt)) * f.perToken
	if from.DataCentre != to.DataCentre {
		t *= otherDataCentre
	}
	return t
}

// OtherDecoder chooses another engine to generate what p.Reader has read; false
// if there is none.
func (f *Fleet) AlternateDecodeEngine(now time.Time, j Job, u Constraints, p Plan) (Plan, bool) {
	reader, ok := f.engines[p.PrefillEngine]
	if !ok {
		return p, false
	}
	for _, s := range decoderScopes {
		if best, _, ok := f.decoders(now, j, u, s).bestFor(f, j, reader); ok {
			p.DecodeEngine = best.ID
			return p, true
		}
	}
	return p, false
}
