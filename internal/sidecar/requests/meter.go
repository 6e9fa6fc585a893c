package requests

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// meterWeight is the weight of the newest sample in a mean.
const meterWeight = 0.1

// meter measures how fast the backend server works. The engine's own rates
// lag, and plain services report none.
type meter struct {
	prefillRate float64
	decodeRate  float64
	service     time.Duration
	// cachedShare is the share of prompt tokens that the engine had cached.
	cachedShare float64
	arrived     arrivals
}

// arrivals is the work that arrived since the table began, also what was
// refused: the planner compares it with what the engines can do. Prompt tokens
// are those expected not to be cached.
type arrivals struct {
	prefill, shortPrefill, output float64
}

func (m *meter) arrive(s *wire.Start) {
	g := s.GetGenerate()
	if g == nil {
		return
	}
	m.arrived.output += float64(outputTokens(s))
	if g.GetKv() != nil {
		return
	}
	uncached := float64(promptTokens(s)) * (1 - m.cachedShare)
	m.arrived.prefill += uncached
	if promptTokens(s) <= engine.PieceTokens {
		m.arrived.shortPrefill += uncached
	}
}

// cached takes how much of a prompt the engine had cached.
func (m *meter) cached(f *wire.Final) {
	if prompt := f.GetPromptTokens(); prompt > 0 {
		share := float64(f.GetCachedTokens()) / float64(prompt)
		m.cachedShare += meterWeight * (min(1, share) - m.cachedShare)
	}
}

// prefilled takes the time from the start of a run to its first token, which
// includes the engine's own queue.
func (m *meter) prefilled(tokens int, took time.Duration) {
	if tokens > 0 && took > 0 {
		m.prefillRate = smooth(m.prefillRate, float64(tokens)/took.Seconds())
	}
}

// decoded takes the time from the first token of a run to its last.
func (m *meter) decoded(tokens int, took time.Duration) {
	if tokens > 0 && took > 0 {
		m.decodeRate = smooth(m.decodeRate, float64(tokens)/took.Seconds())
	}
}

// served takes the time of one call of a plain service.
func (m *meter) served(took time.Duration) {
	m.service = time.Duration(smooth(float64(m.service), float64(took)))
}

// smooth returns the mean with one more sample; the first one counts whole.
func smooth(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + meterWeight*(sample-mean)
}
