package place

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
)

// EngineEstimate is the estimated performance of one engine, for operators.
type EngineEstimate struct {
	// Prefills is the number of samples from engines in this role that it is based on.
	Prefills int `json:"reads"`
	// PrefillTokensPerMS is the prefill rate of an average engine in this role, in
	// tokens per millisecond, and PrefillLatencyMS the fixed latency of a prefill.
	PrefillTokensPerMS float64 `json:"tokens_per_ms"`
	PrefillLatencyMS   float64 `json:"latency_ms"`
	// PrefillSlowdown is the prefill time of this engine relative to the average.
	PrefillSlowdown float64 `json:"slowness"`
	// QueueDelayMS is the current queue delay of a new prompt.
	QueueDelayMS float64 `json:"wait_ms"`
	// Streams is how many answers it generates.
	Streams int `json:"streams"`
	// InterEventTimeMS is the current expected time between two events of its streams,
	// and DecodeSlowdown that time relative to the average engine.
	InterEventTimeMS float64 `json:"between_ms"`
	DecodeSlowdown   float64 `json:"generate_slowness"`
	// ReservedTokens is how many tokens of its KV memory are reserved, and TotalTokens its
	// size; both are absent if memory is not reserved.
	ReservedTokens int `json:"reserved_tokens,omitempty"`
	TotalTokens    int `json:"total_tokens,omitempty"`
}

// EngineEstimate returns the estimate for an engine; false if the engine is unknown.
func (f *Fleet) EngineEstimate(now time.Time, id string) (EngineEstimate, bool) {
	e, ok := f.engines[id]
	if !ok {
		return EngineEstimate{}, false
	}
	reserved, total := 0, 0
	if f.memory.Enabled {
		reserved, total = e.memory.Reserved(), e.KVTokens
	}
	return EngineEstimate{
		ReservedTokens: reserved, TotalTokens: total,
		Prefills:           e.prefillModel.Samples(),
		PrefillTokensPerMS: e.prefillModel.TokenRate(),
		PrefillLatencyMS:   predict.ToMillis(e.prefillModel.FixedLatency()),
		PrefillSlowdown:    e.prefillSpeed.Slowdown(),
		QueueDelayMS:       predict.ToMillis(e.queueDelay(now)),
		Streams:            e.streams,

		InterEventTimeMS: predict.ToMillis(e.interEventTime(now, e.decodeBatch(now))),
		DecodeSlowdown:   e.decodeSpeed.Slowdown(),
	}, true
}
