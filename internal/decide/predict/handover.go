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
type Handover struct {
	fit fit
}

// NewHandover returns a Handover that expects least beside the whole backlog.
func NewHandover(least time.Duration) *Handover {
	return &Handover{fit: newFit(handoverCoefficients, [coefficients]float64{perHandover: InMS(least), perBacklog: 1})}
}

// Least is what passes without a backlog.
func (h *Handover) Least() time.Duration { return milliseconds(h.fit.solution[perHandover]) }

// Behind is how much a backlog adds.
func (h *Handover) Behind(backlog time.Duration) time.Duration {
	return time.Duration(h.fit.solution[perBacklog] * float64(backlog))
}

// Learn takes in a handover to an engine with a backlog.
func (h *Handover) Learn(backlog, took time.Duration) {
	expected := InMS(h.Least() + h.Behind(backlog))
	h.fit.learn([coefficients]float64{perHandover: 1, perBacklog: InMS(backlog)}, expected, InMS(took), true)
}
