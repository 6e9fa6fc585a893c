package place

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/request"
)

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
// engine, transfer aside: what passes anyway, and what the prompts that it reads
// itself were seen to add. The more of its slots are taken, the longer it counts,
// so that answers spread.
func (f *Fleet) handoverTo(now time.Time, e *engine) time.Duration {
	spread := 1 + takenWeight*e.taken()
	return time.Duration(spread*float64(f.handover.Least())) + f.handover.Behind(e.wait(now))
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
