package place

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
	"pistachioroad.dev/pistachioroad/internal/request"
)

// answerCost returns the cost of generating an answer at an engine, and the probability
// that it misses its deadline there. The cost is that probability, times the remaining
// time, since a missed deadline costs the caller the whole wait, plus the same for the
// answers there that it delays.
//
// Long answers need the engines with the shortest inter-event times, while short ones
// finish in time anywhere. If answers were spread by the number of streams, the longest
// ones on slow or crowded engines would be cut off by their deadlines.
func (f *Fleet) answerCost(now time.Time, j Job, c Constraints, e *engine) (cost time.Duration, miss float64) {
	if j.Prompt.ExpectedOutputTokens <= 0 || !f.decodeCalibrated() {
		return 0, 0
	}
	added := predict.DecodeBatch{PromptTokens: float64(f.contextTokens(j.Prompt))}
	answer := answerOf(j.Prompt)
	interEvent := f.answerInterEventTime(now, e, e.decodeBatch(now).Plus(added), answer)
	duration := f.answerLengths.RemainingTime(answer, interEvent)
	miss = f.answerLengths.MissProbability(answer, interEvent, c.Remaining)
	added.TotalAge = duration / 2
	slowdown := float64(e.usualInterEventTime(added)-e.usualInterEventTime(predict.DecodeBatch{})) / float64(interEvent)
	return scale(miss, c.Remaining) + e.delayCost(scale(slowdown, duration)), miss
}

// answerOf returns what is known of a prompt's answer.
func answerOf(p request.Prompt) predict.Answer {
	return predict.Answer{HintTokens: p.ExpectedOutputTokens, EventsDone: p.DeliveredEvents}
}

// contextTokens returns how many tokens an engine needs in its KV cache before it
// continues an answer: the prompt, and what was generated of the answer elsewhere.
func (f *Fleet) contextTokens(p request.Prompt) int {
	return p.Tokens + f.answerLengths.Tokens(p.DeliveredEvents)
}

// decodeCalibrated reports whether there are enough samples to compare engines by the
// answers they generate. An engine without samples then counts as an average one: if it
// cost nothing, all gateways would crowd it with long answers.
func (f *Fleet) decodeCalibrated() bool {
	return f.answerLengths.Calibrated() && f.interEventModel.Calibrated()
}

// delayCost returns the cost of delaying all streams of an engine by d.
func (e *engine) delayCost(d time.Duration) time.Duration { return scale(e.delayCostRate, d) }

// usualInterEventTime returns the expected time between two events of a stream at the usual
// contention.
func (e *engine) usualInterEventTime(b predict.DecodeBatch) time.Duration {
	return scale(e.decodeSpeed.Slowdown(), e.interEventModel.InterEventTime(b))
}

// interEventTime returns the expected time between two events of a stream at the moment.
func (e *engine) interEventTime(now time.Time, b predict.DecodeBatch) time.Duration {
	return scale(e.contended(now).Now(), e.usualInterEventTime(b))
}

// answerInterEventTime returns the expected time between two events of an answer, on average
// over the rest of it: contention rarely lasts as long as an answer.
func (f *Fleet) answerInterEventTime(now time.Time, e *engine, b predict.DecodeBatch, a predict.Answer) time.Duration {
	usual := e.usualInterEventTime(b)
	c := e.contended(now)
	if c.Weight == 0 {
		return usual
	}
	return scale(c.Over(f.answerLengths.RemainingTime(a, usual)), usual)
}

// streamDelayCostRate returns the cost of delaying an answer that starts at an engine,
// per unit of delay.
func (f *Fleet) streamDelayCostRate(now time.Time, e *engine, answer predict.Answer, remaining time.Duration) float64 {
	if answer.HintTokens <= 0 || !f.decodeCalibrated() {
		return 0
	}
	return f.answerLengths.MissSensitivity(answer, f.answerInterEventTime(now, e, e.decodeBatch(now), answer), remaining)
}
