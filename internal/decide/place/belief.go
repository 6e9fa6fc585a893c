package place

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
)

// Belief is what a Fleet has learned of one engine, for operators.
type EngineEstimate struct {
	// Reads is how many reads by engines in this role it rests on.
	Reads int `json:"reads"`
	// TokensPerMS is how many prompt tokens such an engine of average speed reads
	// in a millisecond, and LatencyMS what passes beside the reading.
	TokensPerMS float64 `json:"tokens_per_ms"`
	LatencyMS   float64 `json:"latency_ms"`
	// Slowness is how many times as long as the average this engine takes.
	Slowness float64 `json:"slowness"`
	// WaitMS is how long a new prompt waits there now.
	WaitMS float64 `json:"wait_ms"`
	// Streams is how many answers it generates.
	Streams int `json:"streams"`
	// BetweenMS is the expected time between two events of its streams now, and
	// GenerateSlowness how many times as long as the average it takes for them.
	BetweenMS        float64 `json:"between_ms"`
	GenerateSlowness float64 `json:"generate_slowness"`
}

// Belief returns what is believed of an engine; false if it is not known.
func (f *Fleet) EngineEstimate(now time.Time, id string) (EngineEstimate, bool) {
	e, ok := f.engines[id]
	if !ok {
		return EngineEstimate{}, false
	}
	return EngineEstimate{
		Reads:       e.reading.Samples(),
		TokensPerMS: e.reading.TokenRate(),
		LatencyMS:   predict.ToMillis(e.reading.FixedLatency()),
		Slowness:    e.speed.Slowdown(),
		WaitMS:      predict.ToMillis(e.wait(now)),
		Streams:     e.streams,

		BetweenMS:        predict.ToMillis(e.between(e.running(now))),
		GenerateSlowness: e.generating.Slowdown(),
	}, true
}
