package place

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
	"pistachioroad.dev/pistachioroad/internal/request"
)

// answerCost is what it costs to generate an answer at an engine: the chance that
// it misses its deadline there, which is also returned by itself, and the same for
// the answers that are there and that it delays. One that misses its deadline costs its
// caller all of the wait.
//
// Long answers need the engines whose tokens come fastest, while short ones end in
// time anywhere. Spread by the number of streams, the longest answers of slow or
// crowded engines are cut by their deadlines.
func (f *Fleet) answerCost(now time.Time, j Job, u Constraints, e *engine) (cost time.Duration, miss float64) {
	if j.Prompt.Output <= 0 || !f.answersKnown() {
		return 0, 0
	}
	added := predict.DecodeBatch{PromptTokens: float64(f.context(j.Prompt))}
	between := e.between(e.running(now).Plus(added))
	answer := answerOf(j.Prompt)
	takes := f.lengths.RemainingTime(answer, between)
	miss = f.lengths.MissProbability(answer, between, u.Remaining)
	added.TotalAge = takes / 2
	slower := float64(e.between(added)-e.between(predict.DecodeBatch{})) / float64(between)
	return part(miss, u.Remaining) + e.delayCost(part(slower, takes)), miss
}

// answerOf is what is known of a prompt's answer.
func answerOf(p request.Prompt) predict.Answer {
	return predict.Answer{HintTokens: p.Output, EventsDone: p.Done}
}

// context is how many tokens an engine needs before it goes on with an answer: the
// prompt, and what was generated of the answer elsewhere.
func (f *Fleet) context(p request.Prompt) int { return p.Tokens + f.lengths.Tokens(p.Done) }

// answersKnown reports whether enough was seen to compare engines by the answers
// they generate. An engine of which nothing is known then counts as an average one:
// if it cost nothing, all entries would crowd it with long answers.
func (f *Fleet) answersKnown() bool { return f.lengths.Calibrated() && f.steps.Calibrated() }

// delayCost is what it costs to delay all streams of an engine by d.
func (e *engine) delayCost(d time.Duration) time.Duration { return part(e.risk, d) }

// between is the expected time between two events of a stream.
func (e *engine) between(r predict.DecodeBatch) time.Duration {
	return part(e.generating.Slowdown(), e.steps.InterEventTime(r))
}

// riskOf is how much it costs to delay an answer that begins at an engine, as a
// part of the delay.
func (f *Fleet) riskOf(now time.Time, e *engine, answer predict.Answer, left time.Duration) float64 {
	if answer.HintTokens <= 0 || !f.answersKnown() {
		return 0
	}
	return f.lengths.MissSensitivity(answer, e.between(e.running(now)), left)
}
