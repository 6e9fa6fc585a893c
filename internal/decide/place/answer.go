package place

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
)

// missPart is what an answer that misses its deadline costs, as a part of the time
// that its caller would have waited.
const missPart = 0.12

// answerCost is what it costs to generate an answer at an engine: the chance that
// it misses its deadline there, and the same for the answers that are there and
// that it delays.
//
// Long answers need the engines whose tokens come fastest, while short ones end in
// time anywhere. Spread by the number of streams, the longest answers of slow or
// crowded engines are cut by their deadlines.
func (f *Fleet) answerCost(now time.Time, j Job, u Urgency, e *engine) time.Duration {
	if j.Prompt.Output <= 0 || !f.answersKnown() {
		return 0
	}
	added := predict.Running{Tokens: float64(j.Prompt.Tokens)}
	between := e.between(e.running(now).Plus(added))
	answer := f.lengths.Duration(j.Prompt.Output, between)
	miss := part(missPart*f.lengths.Exceeds(j.Prompt.Output, between, u.Left), u.Left)
	added.Age = answer / 2
	slower := float64(e.between(added)-e.between(predict.Running{})) / float64(between)
	return miss + e.delayCost(part(slower, answer))
}

// answersKnown reports whether enough was seen to compare engines by the answers
// they generate. An engine of which nothing is known then counts as an average one:
// if it cost nothing, all entries would crowd it with long answers.
func (f *Fleet) answersKnown() bool { return f.lengths.Known() && f.steps.Known() }

// delayCost is what it costs to delay all streams of an engine by d.
func (e *engine) delayCost(d time.Duration) time.Duration { return part(e.risk, d) }

// between is the expected time between two events of a stream.
func (e *engine) between(r predict.Running) time.Duration {
	return part(e.generating.Slowness(), e.steps.Between(r))
}

// riskOf is how much it costs to delay an answer that begins at an engine, as a
// part of the delay.
func (f *Fleet) riskOf(now time.Time, e *engine, length int, left time.Duration) float64 {
	if length <= 0 || !f.answersKnown() {
		return 0
	}
	return missPart * f.lengths.Sensitivity(length, e.between(e.running(now)), left)
}
