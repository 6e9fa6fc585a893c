package predict

import "time"

// The coefficients of a Handover.
const (
	perHandover = iota
	perBacklog
	handoverCoefficients
)

// Handover is what is believed of the time from the end of a read to the first
// token from another engine: a time that passes anyway, and a part of the time for
// which that engine has prompts of its own to read.
type HandoverModel struct {
	fit fit
}

// NewHandover returns a Handover that expects least beside the whole backlog.
func NewHandoverModel(least time.Duration) *HandoverModel {
	return &HandoverModel{fit: newFit(handoverCoefficients, [coefficients]float64{perHandover: ToMillis(least), perBacklog: 1})}
}

// Least is what passes without a backlog.
func (h *HandoverModel) BaseDelay() time.Duration { return milliseconds(h.fit.solution[perHandover]) }

// Behind is how much a backlog adds.
func (h *HandoverModel) BacklogDelay(backlog time.Duration) time.Duration {
	return time.Duration(h.fit.solution[perBacklog] * float64(backlog))
}

// Learn takes in a handover to an engine with a backlog.
func (h *HandoverModel) Observe(backlog, took time.Duration) {
	expected := ToMillis(h.BaseDelay() + h.BacklogDelay(backlog))
	h.fit.learn([coefficients]float64{perHandover: 1, perBacklog: ToMillis(backlog)}, expected, ToMillis(took), true)
}
