// Package predict learns how long the model engines of one service take, from
// the answers that pass through the gateways.
//
// It answers fleets whose engines nobody has described: one generation of
// accelerators reads five times as fast as another, engines of one service
// differ, and one that runs hot turns slow. With fixed figures for one kind of
// engine every expectation is wrong by the same factor on another: requests that
// would be in time are refused as too late, or prompts pile up in front of
// engines that are believed fast. One notices by expected and seen first tokens
// that differ by a constant factor.
//
// It is pure code; time is passed in.
package predict

import (
	"math"
	"time"
)

// Work is what an engine has to read, of one prompt or of several.
type PrefillWork struct {
	// Prompts counts the prompts.
	Prompts float64
	// Tokens are the prompt tokens that it does not keep.
	Tokens float64
	// Pairs are the pairs of a token that it reads and one before it: the cost
	// of attention.
	AttentionPairs float64
}

// WorkOf returns the work of reading a prompt of which some tokens are kept.
func NewPrefillWork(tokens, kept int) PrefillWork {
	fresh := float64(max(leastFresh, tokens-kept))
	return PrefillWork{Prompts: 1, Tokens: fresh, AttentionPairs: fresh * (float64(kept) + fresh/2)}
}

// leastFresh tokens are read even of a prompt that is kept whole.
const leastFresh = 16

// Plus returns the work of both.
func (w PrefillWork) Plus(o PrefillWork) PrefillWork {
	return PrefillWork{Prompts: w.Prompts + o.Prompts, Tokens: w.Tokens + o.Tokens, AttentionPairs: w.AttentionPairs + o.AttentionPairs}
}

// Times returns a part or a multiple of the work.
func (w PrefillWork) Scale(by float64) PrefillWork {
	return PrefillWork{Prompts: w.Prompts * by, Tokens: w.Tokens * by, AttentionPairs: w.AttentionPairs * by}
}

const (
	// enoughReads is after how many reads a Reading is known. A refusal rests on an
	// expectation, so that until then nobody is refused as too late.
	enoughReads = 40
	// mostSurprise bounds by how many times a read may exceed what was expected
	// and still count in full: one that waited in a socket for a frozen gateway
	// says nothing about the engine.
	mostSurprise = 1.5
	// surpriseFloor keeps that bound from cutting short reads, where a millisecond
	// on the way is a large part.
	surpriseFloor = 5.0 // ms
	// jitter is added to each expectation when a read is weighed: reads are
	// compared by their relative error, and without it the shortest ones, whose
	// error is the network's, would decide alone.
	jitter = 5.0 // ms
)

// The coefficients of a Reading, in milliseconds.
const (
	perLatency = iota
	perPrompt
	perToken
	perPair
	coefficients
)

// priorRead are the figures before any read was seen: those of a slow engine, so
// that the first prompts spread over all of them. They decay to nothing within
// some tens of reads.
var priorRead = [coefficients]float64{perLatency: 30, perPrompt: 2, perToken: 1 / 100.0, perPair: 0.1e-6}

// Reading is what is believed of the reading of prompts by the engines in one
// role: a time that passes whatever is read (the network, the start of a run),
// and what each prompt, token and pair adds, all in proportion to what waits
// before them.
type PrefillModel struct {
	fit fit
}

// NewReading returns a Reading that has seen nothing, of engines that are
// expected to read slowness times as slowly as those that do nothing else.
func NewPrefillModel(slowness float64) *PrefillModel {
	prior := priorRead
	prior[perToken] *= slowness
	return &PrefillModel{fit: newFit(coefficients, prior)}
}

// Known reports whether enough reads were seen to refuse requests by it.
func (r *PrefillModel) Calibrated() bool { return r.fit.count >= enoughReads }

// Reads returns how many reads were learned from.
func (r *PrefillModel) Samples() int { return r.fit.count }

// Cost is how long an engine of average speed is busy with the work.
func (r *PrefillModel) ComputeTime(w PrefillWork) time.Duration {
	c := &r.fit.solution
	return milliseconds(c[perPrompt]*w.Prompts + c[perToken]*w.Tokens + c[perPair]*w.AttentionPairs)
}

// Latency is how long an answer takes beside the work.
func (r *PrefillModel) FixedLatency() time.Duration { return milliseconds(r.fit.solution[perLatency]) }

// Rate returns how many prompt tokens an engine of average speed reads in a
// millisecond, attention aside.
func (r *PrefillModel) TokenRate() float64 { return 1 / max(r.fit.solution[perToken], minRate) }

// minRate keeps Rate finite, in milliseconds a token.
const minRate = 1e-6

// Learn takes in a read: the work that was before its end at an engine of a
// given slowness (1 is average, 2 takes twice as long), its own included, and
// the time that it took.
func (r *PrefillModel) Observe(w PrefillWork, slowness float64, took time.Duration) {
	expected := ToMillis(r.FixedLatency()) + slowness*ToMillis(r.ComputeTime(w))
	features := [coefficients]float64{
		perLatency: 1,
		perPrompt:  slowness * w.Prompts,
		perToken:   slowness * w.Tokens,
		perPair:    slowness * w.AttentionPairs,
	}
	r.fit.learn(features, expected, ToMillis(took), r.Calibrated())
}

const (
	// slownessGain is the part of a read's relative error that an engine's
	// slowness takes on.
	slownessGain = 0.02
	// firstReads lowers that part for the first values, which count more.
	firstReads = 10
	// mostSlowness bounds the belief: beyond it an engine gets nothing anyway.
	mostSlowness = 8.0
	// mostStep bounds the logarithm of a single read's relative error.
	mostStep = 1.0
	// backToAverage is the part of the belief that each read takes back, so that
	// what all engines have in common settles in the Reading.
	backToAverage = 0.001
)

// Engine is what is believed of one engine beside what it has in common with
// the others of its service. The zero Engine is an average one.
type EngineSpeed struct {
	// logSlowness is the logarithm of its slowness.
	logSlowness float64
	// variance is that of a single read's relative error, around logSlowness.
	variance float64
	reads    int
}

// Slowness is how many times as long as an average engine it takes.
func (e *EngineSpeed) Slowdown() float64 { return math.Exp(e.logSlowness) }

// Doubt is the standard error of Slowness, as a part of it.
func (e *EngineSpeed) RelativeError() float64 { return math.Sqrt(e.variance * slownessGain / 2) }

// Known reports whether enough reads were seen to compare the engine with others.
func (e *EngineSpeed) Calibrated() bool { return e.reads >= enoughReads }

// Learn takes in what a read was expected to take at this engine, and took.
func (e *EngineSpeed) Observe(expected, took time.Duration) {
	err := math.Log((ToMillis(took) + jitter) / (ToMillis(expected) + jitter))
	err = min(max(err, -mostStep), mostStep)
	e.reads++
	e.variance += max(slownessGain, 1/float64(e.reads)) * (err*err - e.variance)
	e.logSlowness += max(slownessGain, 1/float64(e.reads+firstReads)) * err
	e.logSlowness *= 1 - backToAverage
	bound := math.Log(mostSlowness)
	e.logSlowness = min(max(e.logSlowness, -bound), bound)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// InMS returns a duration in milliseconds.
func ToMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
