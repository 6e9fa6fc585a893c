package predict

import "time"

// Running is what an engine generates for: its streams' contexts.
type DecodeBatch struct {
	// Tokens are those of their prompts.
	PromptTokens float64
	// Age is for how long they have run, added up: what they generated so far is
	// in proportion to it.
	TotalAge time.Duration
}

// Plus returns both.
func (r DecodeBatch) Plus(o DecodeBatch) DecodeBatch {
	return DecodeBatch{PromptTokens: r.PromptTokens + o.PromptTokens, TotalAge: r.TotalAge + o.TotalAge}
}

// The coefficients of Steps, in milliseconds.
const (
	perEvent = iota
	perContext
	perAge
	stepCoefficients
)

// priorSteps are the figures before any event was seen. They decay to nothing
// within some tens of events.
var priorSteps = [coefficients]float64{perEvent: 40, perContext: 1e-4, perAge: 0.1}

// Steps is what is believed of the time between two events of a stream at an
// engine of average speed: a time that passes anyway, and what the contexts of
// all its streams add.
type DecodeModel struct {
	fit fit
}

// NewSteps returns Steps that have seen nothing.
func NewDecodeModel() *DecodeModel { return &DecodeModel{fit: newFit(stepCoefficients, priorSteps)} }

// Between is the expected time between two events at an engine of average speed.
func (s *DecodeModel) InterEventTime(r DecodeBatch) time.Duration {
	f, c := r.features(1), &s.fit.solution
	return milliseconds(c[perEvent]*f[perEvent] + c[perContext]*f[perContext] + c[perAge]*f[perAge])
}

// Known reports whether enough events were seen to compare engines by it.
func (s *DecodeModel) Calibrated() bool { return s.fit.count >= enoughReads }

// Learn takes in the time between two events at an engine of a given slowness.
func (s *DecodeModel) Observe(r DecodeBatch, slowness float64, took time.Duration) {
	expected := slowness * ToMillis(s.InterEventTime(r))
	s.fit.learn(r.features(slowness), expected, ToMillis(took), s.Calibrated())
}

func (r DecodeBatch) features(slowness float64) [coefficients]float64 {
	return [coefficients]float64{
		perEvent: slowness, perContext: slowness * r.PromptTokens, perAge: slowness * r.TotalAge.Seconds(),
	}
}
