package predict

import "time"

// DecodeBatch describes the streams that an engine generates concurrently.
type DecodeBatch struct {
	// PromptTokens is the total length of their prompts.
	PromptTokens float64
	// TotalAge is the sum of the times for which they have run. The tokens generated so far
	// are proportional to it.
	TotalAge time.Duration
}

// Plus returns the sum of both.
func (b DecodeBatch) Plus(o DecodeBatch) DecodeBatch {
	return DecodeBatch{PromptTokens: b.PromptTokens + o.PromptTokens, TotalAge: b.TotalAge + o.TotalAge}
}

// The coefficients of a DecodeModel, in milliseconds.
const (
	coefEvent = iota
	coefContext
	coefAge
	decodeCoefficients
)

// decodePrior holds the coefficients before any observation. Its weight decays to almost
// nothing within some tens of events.
var decodePrior = [maxCoefficients]float64{coefEvent: 40, coefContext: 1e-4, coefAge: 0.1}

// DecodeModel estimates the time between two events of a stream at an engine of average
// speed: a constant, and what the contexts of all streams at the engine add.
type DecodeModel struct {
	fit fit
}

// NewDecodeModel returns a DecodeModel without observations.
func NewDecodeModel() *DecodeModel { return &DecodeModel{fit: newFit(decodeCoefficients, decodePrior)} }

// InterEventTime returns the expected time between two events of a stream at an engine of
// average speed.
func (m *DecodeModel) InterEventTime(b DecodeBatch) time.Duration {
	f, c := b.features(1), &m.fit.solution
	return fromMillis(c[coefEvent]*f[coefEvent] + c[coefContext]*f[coefContext] + c[coefAge]*f[coefAge])
}

// Calibrated reports whether enough events were observed to compare engines by it.
func (m *DecodeModel) Calibrated() bool { return m.fit.count >= minSamples }

// Observe adds the time between two events at an engine with the given slowdown.
func (m *DecodeModel) Observe(b DecodeBatch, slowdown float64, took time.Duration) {
	expected := slowdown * ToMillis(m.InterEventTime(b))
	m.fit.observe(b.features(slowdown), expected, ToMillis(took), m.Calibrated())
}

func (b DecodeBatch) features(slowdown float64) [maxCoefficients]float64 {
	return [maxCoefficients]float64{
		coefEvent: slowdown, coefContext: slowdown * b.PromptTokens, coefAge: slowdown * b.TotalAge.Seconds(),
	}
}
