package requests

import (
	"time"
)

// ewmaWeight is the weight of the newest sample in a moving average.
const ewmaWeight = 0.1

// rateMeter measures the throughput of the backend server in tokens per second,
// and the call time of a plain service. The engine's own rates lag, and plain
// services report none.
type rateMeter struct {
	prefillRate float64
	decodeRate  float64
	callTime    time.Duration
}

// observePrefill adds a sample of the time from the start of a run to its first
// token, which includes the queue delay inside the engine.
func (m *rateMeter) observePrefill(tokens int, took time.Duration) {
	if tokens > 0 && took > 0 {
		m.prefillRate = ewma(m.prefillRate, float64(tokens)/took.Seconds())
	}
}

// observeDecode adds a sample of the time that a run took for its output tokens.
func (m *rateMeter) observeDecode(tokens int, took time.Duration) {
	if tokens > 0 && took > 0 {
		m.decodeRate = ewma(m.decodeRate, float64(tokens)/took.Seconds())
	}
}

// observeCall adds a sample of the duration of a call to a plain service.
func (m *rateMeter) observeCall(took time.Duration) {
	m.callTime = time.Duration(ewma(float64(m.callTime), float64(took)))
}

// ewma returns the exponentially weighted moving average with one more sample.
// The first sample sets the average.
func ewma(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + ewmaWeight*(sample-mean)
}
