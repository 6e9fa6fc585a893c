package shift

import (
	"math"
	"time"
)

// DefaultMeterWindow is the time constant of a Meter. Below a few seconds the
// planner would see single long prompts as swings; much above, it would learn
// of a swing when it is half over.
const DefaultMeterWindow = 5 * time.Second

// Meter turns requests into smoothed rates: the demand that one entry sees. The
// planner adds up what the entries report.
type DemandMeter struct {
	window                 time.Duration
	at                     time.Time
	prefill, short, decode float64
}

// NewMeter returns a Meter; a window of 0 means DefaultMeterWindow.
func NewDemandMeter(window time.Duration) *DemandMeter {
	if window <= 0 {
		window = DefaultMeterWindow
	}
	return &DemandMeter{window: window}
}

// Add takes in one request offered, admitted or not.
func (m *DemandMeter) Add(now time.Time, uncachedTokens, outputTokens int) {
	m.decay(now)
	m.prefill += float64(uncachedTokens)
	m.decode += float64(outputTokens)
	if uncachedTokens <= DefaultMaxSpilloverPrompt {
		m.short += float64(uncachedTokens)
	}
}

// Demand returns the rates now, without backlogs.
func (m *DemandMeter) Demand(now time.Time) Demand {
	m.decay(now)
	seconds := m.window.Seconds()
	return Demand{
		PrefillTokens:      m.prefill / seconds,
		ShortPrefillTokens: m.short / seconds,
		DecodeTokens:       m.decode / seconds,
	}
}

// Plus returns the demand of both.
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
	dt := now.Sub(m.at)
	if m.at.IsZero() || dt < 0 {
		m.at = now
		return
	}
	m.at = now
	keep := math.Exp(-dt.Seconds() / m.window.Seconds())
	m.prefill *= keep
	m.short *= keep
	m.decode *= keep
}
