package orders

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/plan"
)

// Event is what an Executor learns.
type Event interface{ isEvent() }

// RowSeen brings the engine's row of the plan with the highest version held.
type RowReceived struct{ Row plan.Engine }

// StateRead answers a ReadState. Asked is when the engine was asked.
type StateRead struct {
	Asked time.Time
	State engine.State
	Err   error
}

// OrderAnswered answers a SendOrder. Err is nil, or engine.ErrNotSent,
// engine.ErrRefused, engine.ErrFenced or engine.ErrBroken.
type OrderAnswered struct {
	Generation uint64
	Err        error
}

// WorkRunning tells how many requests the engine runs or may still run.
type RunningRequests struct{ Count int }

// EngineBroke tells that a generation broke off: the engine may have crashed.
type EngineMayHaveCrashed struct{}

// DrainTimeoutSet changes how long running requests may go on before HandOver.
type DrainTimeoutSet struct{ Timeout time.Duration }

// Tick lets time pass.
type Tick struct{}

func (RowReceived) isEvent()          {}
func (StateRead) isEvent()            {}
func (OrderAnswered) isEvent()        {}
func (RunningRequests) isEvent()      {}
func (EngineMayHaveCrashed) isEvent() {}
func (DrainTimeoutSet) isEvent()      {}
func (Tick) isEvent()                 {}

// Effect is what an Executor wants done.
type Effect interface{ isEffect() }

// StopAdmitting ends the admission of requests to the engine.
type StopAdmitting struct{ Reason string }

// Admit opens the admission of requests for what the engine now is.
type Admit struct{ Applied engine.Order }

// HandOver asks for running requests to be ended so that their entries resume
// them on another engine: the drain timeout has passed.
type HandOver struct{}

// ReadState asks for the engine's state; StateRead answers it.
type ReadState struct{}

// SendOrder gives the engine an order; OrderAnswered answers it.
type SendOrder struct{ Order engine.Order }

func (StopAdmitting) isEffect() {}
func (Admit) isEffect()         {}
func (HandOver) isEffect()      {}
func (ReadState) isEffect()     {}
func (SendOrder) isEffect()     {}
