package predict

import "time"

// Running is what an engine generates for: its streams' contexts.
type Running struct {
	// Tokens are those of their prompts.
	Tokens float64
	// Age is for how long they have run, added up: what they generated so far is
	// in proportion to it.
	Age time.Duration
}

// Plus returns both.
func (r Running) Plus(o Running) Running {
	return Running{Tokens: r.Tokens + o.Tokens, Age: r.Age + o.Age}
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
type Steps struct {
	fit fit
}

// NewSteps returns Steps that have seen nothing.
func NewSteps() *Steps { return &Steps{fit: newFit(stepCoefficients, priorSteps)} }

// Between is the expected time between two events at an engine of average speed.
func (s *Steps) Between(r Running) time.Duration {
	f, c := r.features(1), &s.fit.solution
	return milliseconds(c[perEvent]*f[perEvent] + c[perContext]*f[perContext] + c[perAge]*f[perAge])
}

// Known reports whether enough events were seen to compare engines by it.
func (s *Steps) Known() bool { return s.fit.count >= enoughReads }

// Learn takes in the time between two events at an engine of a given slowness.
func (s *Steps) Learn(r Running, slowness float64, took time.Duration) {
	expected := slowness * InMS(s.Between(r))
	s.fit.learn(r.features(slowness), expected, InMS(took), s.Known())
}

func (r Running) features(slowness float64) [coefficients]float64 {
	return [coefficients]float64{
		perEvent: slowness, perContext: slowness * r.Tokens, perAge: slowness * r.Age.Seconds(),
	}
}
