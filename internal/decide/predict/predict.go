// Package predict estimates how long the model engines of a service take, from the answers
// that pass through the gateways.
//
// Engines need no configured speed. One generation of accelerators prefills five times as
// fast as another, engines of one service differ, and an engine that overheats slows down.
// With fixed figures for one kind of engine, every estimate for another kind is wrong by
// the same factor: requests that would meet their deadline are rejected, or prompts pile up
// at engines that are taken for fast ones. Symptom: expected and observed times to first
// token differ by a constant factor.
//
// The package does no I/O and reads no clock; callers pass in the time.
package predict

import (
	"math"
	"time"
)

// PrefillWork is the prefill work of one or several prompts.
type PrefillWork struct {
	// Prompts is the number of prompts.
	Prompts float64
	// Tokens is the number of prompt tokens that are not cached.
	Tokens float64
	// AttentionPairs is the number of pairs of an uncached token and a token before it: the
	// cost of attention.
	AttentionPairs float64
}

// NewPrefillWork returns the work of a prompt of which some tokens are cached.
func NewPrefillWork(tokens, cached int) PrefillWork {
	uncached := float64(max(minUncachedTokens, tokens-cached))
	return PrefillWork{Prompts: 1, Tokens: uncached, AttentionPairs: uncached * (float64(cached) + uncached/2)}
}

// minUncachedTokens is the number of tokens to prefill even if the whole prompt is cached.
const minUncachedTokens = 16

// Plus returns the sum of both.
func (w PrefillWork) Plus(o PrefillWork) PrefillWork {
	return PrefillWork{Prompts: w.Prompts + o.Prompts, Tokens: w.Tokens + o.Tokens, AttentionPairs: w.AttentionPairs + o.AttentionPairs}
}

// Scale returns the work multiplied by a factor.
func (w PrefillWork) Scale(factor float64) PrefillWork {
	return PrefillWork{Prompts: w.Prompts * factor, Tokens: w.Tokens * factor, AttentionPairs: w.AttentionPairs * factor}
}

const (
	// minSamples is the number of observations from which on a model counts as
	// calibrated. Rejections rely on estimates; before that no request is rejected as too
	// late.
	minSamples = 40
	// maxObservedRatio caps an observed time relative to the expected one: a prefill whose
	// answer waited in the socket of a frozen gateway says nothing about the engine.
	maxObservedRatio = 1.5
	// observedMargin is added to that cap, so that it does not cut off short prefills,
	// where a millisecond of network latency is a large fraction.
	observedMargin = 5.0 // ms
	// relativeErrorOffset is added to times before their relative error is taken. Without
	// it the shortest prefills, whose error is the network's, would dominate the fit.
	relativeErrorOffset = 5.0 // ms
)

// The coefficients of a PrefillModel, in milliseconds.
const (
	coefLatency = iota
	coefPrompt
	coefToken
	coefPair
	// maxCoefficients is the largest number of coefficients of any model.
	maxCoefficients
)

// prefillPrior holds the coefficients before any observation: those of a slow engine, so
// that the first prompts spread over all engines. Its weight decays to almost nothing
// within some tens of prefills.
var prefillPrior = [maxCoefficients]float64{coefLatency: 30, coefPrompt: 2, coefToken: 1 / 100.0, coefPair: 0.1e-6}

// PrefillModel estimates the prefill time of the engines in one role: a fixed latency
// (network, start of a batch), and a cost per prompt, token and attention pair, of the
// prompt itself and of those queued ahead of it.
type PrefillModel struct {
	fit fit
}

// NewPrefillModel returns a PrefillModel without observations, for engines whose prefill is
// expected to be slower by the given factor than that of dedicated prefill engines.
func NewPrefillModel(slowdown float64) *PrefillModel {
	prior := prefillPrior
	prior[coefToken] *= slowdown
	return &PrefillModel{fit: newFit(maxCoefficients, prior)}
}

// Calibrated reports whether enough prefills were observed to reject requests by the
// estimates.
func (m *PrefillModel) Calibrated() bool { return m.fit.count >= minSamples }

// Samples returns the number of observed prefills.
func (m *PrefillModel) Samples() int { return m.fit.count }

// ComputeTime returns how long the work keeps an engine of average speed busy.
func (m *PrefillModel) ComputeTime(w PrefillWork) time.Duration {
	c := &m.fit.solution
	return fromMillis(c[coefPrompt]*w.Prompts + c[coefToken]*w.Tokens + c[coefPair]*w.AttentionPairs)
}

// FixedLatency returns the latency that does not depend on the work.
func (m *PrefillModel) FixedLatency() time.Duration { return fromMillis(m.fit.solution[coefLatency]) }

// TokenRate returns how many prompt tokens an engine of average speed prefills per
// millisecond, without the cost of attention.
func (m *PrefillModel) TokenRate() float64 { return 1 / max(m.fit.solution[coefToken], minTokenTime) }

// minTokenTime, in milliseconds, keeps TokenRate finite.
const minTokenTime = 1e-6

// Observe adds an observed prefill: its own work plus the work queued ahead of it, the
// slowdown of the engine (1 is average, 2 takes twice as long) and the time it took.
func (m *PrefillModel) Observe(w PrefillWork, slowdown float64, took time.Duration) {
	expected := ToMillis(m.FixedLatency()) + slowdown*ToMillis(m.ComputeTime(w))
	features := [maxCoefficients]float64{
		coefLatency: 1,
		coefPrompt:  slowdown * w.Prompts,
		coefToken:   slowdown * w.Tokens,
		coefPair:    slowdown * w.AttentionPairs,
	}
	m.fit.observe(features, expected, ToMillis(took), m.Calibrated())
}

const (
	// slowdownGain is the weight of one observation in an engine's slowdown.
	slowdownGain = 0.02
	// slowdownWarmup reduces the otherwise higher weight of the first observations.
	slowdownWarmup = 10
	// maxSlowdown bounds the estimate; a slower engine is assigned nothing anyway.
	maxSlowdown = 8.0
	// maxLogError bounds the logarithmic error of a single observation.
	maxLogError = 1.0
	// meanReversion is the fraction by which each observation pulls the slowdown towards 1,
	// so that what all engines have in common moves into the PrefillModel.
	meanReversion = 0.001
)

// EngineSpeed estimates the speed of one engine relative to the average of its service. The
// zero value is an average engine.
type EngineSpeed struct {
	// logSlowdown is the logarithm of the slowdown.
	logSlowdown float64
	// variance is a moving average of the squared logarithmic error of one observation.
	variance float64
	samples  int
}

// Slowdown returns how many times as long as an average engine the engine takes.
func (e *EngineSpeed) Slowdown() float64 { return math.Exp(e.logSlowdown) }

// RelativeError returns the standard error of Slowdown as a fraction of it.
func (e *EngineSpeed) RelativeError() float64 { return math.Sqrt(e.variance * slowdownGain / 2) }

// Calibrated reports whether enough observations were made to compare the engine with
// others.
func (e *EngineSpeed) Calibrated() bool { return e.samples >= minSamples }

// Observe adds the expected and the actual duration at this engine.
func (e *EngineSpeed) Observe(expected, took time.Duration) {
	logError := math.Log((ToMillis(took) + relativeErrorOffset) / (ToMillis(expected) + relativeErrorOffset))
	logError = min(max(logError, -maxLogError), maxLogError)
	e.samples++
	e.variance += max(slowdownGain, 1/float64(e.samples)) * (logError*logError - e.variance)
	e.logSlowdown += max(slowdownGain, 1/float64(e.samples+slowdownWarmup)) * logError
	e.logSlowdown *= 1 - meanReversion
	bound := math.Log(maxSlowdown)
	e.logSlowdown = min(max(e.logSlowdown, -bound), bound)
}

func fromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// ToMillis returns a duration in milliseconds.
func ToMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
