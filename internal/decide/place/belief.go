package place

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
)

// Belief is what a Fleet has learned of one engine, for operators.
type Belief struct {
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
func (f *Fleet) Belief(now time.Time, id string) (Belief, bool) {
	e, ok := f.engines[id]
	if !ok {
		return Belief{}, false
	}
	return Belief{
		Reads:       e.reading.Reads(),
		TokensPerMS: e.reading.Rate(),
		LatencyMS:   predict.InMS(e.reading.Latency()),
		Slowness:    e.speed.Slowness(),
		WaitMS:      predict.InMS(e.wait(now)),
		Streams:     e.streams,

		BetweenMS:        predict.InMS(e.between(e.running(now))),
		GenerateSlowness: e.generating.Slowness(),
	}, true
}
