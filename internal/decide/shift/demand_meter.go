package shift

import (
	"math"
	"time"
)

// DefaultMeterWindow is the time constant of a DemandMeter. With less than a few
// seconds, a single long prompt would look like a swing of the demand. With much
// more, a swing would be half over when the planner sees it.
const DefaultMeterWindow = 5 * time.Second

// DemandMeter measures the demand at one entry as exponentially smoothed rates. The
// planner sums the demand of all entries.
type DemandMeter struct {
	window                        time.Duration
	updatedAt                     time.Time
	prefill, shortPrefill, decode float64
}

// NewDemandMeter returns a DemandMeter; a window of 0 means DefaultMeterWindow.
func NewDemandMeter(window time.Duration) *DemandMeter {
	if window <= 0 {
		window = DefaultMeterWindow
	}
	return &DemandMeter{window: window}
}

// Add records a request, whether it was admitted or rejected.
func (m *DemandMeter) Add(now time.Time, uncachedTokens, outputTokens int) {
	m.decay(now)
	m.prefill += float64(uncachedTokens)
	m.decode += float64(outputTokens)
	if uncachedTokens <= DefaultMaxSpilloverPrompt {
		m.shortPrefill += float64(uncachedTokens)
	}
}

// Demand returns the current rates, without backlogs.
func (m *DemandMeter) Demand(now time.Time) Demand {
	m.decay(now)
	seconds := m.window.Seconds()
	return Demand{
		PrefillTokens:      m.prefill / seconds,
		ShortPrefillTokens: m.shortPrefill / seconds,
		DecodeTokens:       m.decode / seconds,
	}
}

// Plus returns the sum of d and o.
func (d Demand) Plus(o Demand) Demand {
	return Demand{
		PrefillTokens:      d.PrefillTokens + o.PrefillTokens,
		ShortPrefillTokens: d.ShortPrefillTokens + o.ShortPrefillTokens,
		DecodeTokens:       d.DecodeTokens + o.DecodeTokens,
		PrefillBacklog:     d.PrefillBacklog + o.PrefillBacklog,
		DecodeBacklog:      d.DecodeBacklog + o.DecodeBacklog,
	}
}

func (m *DemandMeter) decay(now time.Time) {
	elapsed := now.Sub(m.updatedAt)
	if m.updatedAt.IsZero() || elapsed < 0 {
		m.updatedAt = now
		return
	}
	m.updatedAt = now
	factor := math.Exp(-elapsed.Seconds() / m.window.Seconds())
	m.prefill *= factor
	m.shortPrefill *= factor
	m.decode *= factor
}
