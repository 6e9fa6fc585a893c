package predict

import "time"

// The coefficients of a HandoverModel.
const (
	coefBase = iota
	coefBacklog
	handoverCoefficients
)

// HandoverModel estimates the time from the end of a prefill to the first token from
// another engine: a constant, and a fraction of the time that this engine still needs for
// the prefills in its own queue.
type HandoverModel struct {
	fit fit
}

// NewHandoverModel returns a HandoverModel without observations. It expects the base delay
// plus the whole backlog.
func NewHandoverModel(base time.Duration) *HandoverModel {
	return &HandoverModel{fit: newFit(handoverCoefficients, [maxCoefficients]float64{coefBase: ToMillis(base), coefBacklog: 1})}
}

// BaseDelay returns the expected delay without a backlog.
func (h *HandoverModel) BaseDelay() time.Duration { return fromMillis(h.fit.solution[coefBase]) }

// BacklogDelay returns the expected delay that a backlog adds.
func (h *HandoverModel) BacklogDelay(backlog time.Duration) time.Duration {
	return time.Duration(h.fit.solution[coefBacklog] * float64(backlog))
}

// Observe adds an observed handover to an engine with the given backlog.
func (h *HandoverModel) Observe(backlog, took time.Duration) {
	expected := ToMillis(h.BaseDelay() + h.BacklogDelay(backlog))
	h.fit.observe([maxCoefficients]float64{coefBase: 1, coefBacklog: ToMillis(backlog)}, expected, ToMillis(took), true)
}
