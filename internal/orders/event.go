package orders

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/plan"
)

// Event is an input of an Executor.
type Event interface{ isEvent() }

// RowReceived reports the engine's row in the latest plan that the sidecar holds.
type RowReceived struct{ Row plan.Engine }

// StateRead is the result of a ReadState. Asked is when the read was sent.
type StateRead struct {
	RequestedAt time.Time
	State       engine.State
	Err         error
}

// OrderAnswered is the result of a SendOrder. Err is nil, or engine.ErrNotSent,
// engine.ErrRejected, engine.ErrFenced or engine.ErrInterrupted.
type OrderAnswered struct {
	Generation uint64
	Err        error
}

// RunningRequests reports how many requests the engine runs or may still run.
type RunningRequests struct{ Count int }

// EngineMayHaveCrashed reports that the engine stopped in the middle of a request,
// so that its state must be read again.
type EngineMayHaveCrashed struct{}

// DrainTimeoutSet changes how long running requests may continue before HandOver.
type DrainTimeoutSet struct{ Timeout time.Duration }

// Tick makes the Executor act on the passage of time.
type Tick struct{}

func (RowReceived) isEvent()          {}
func (StateRead) isEvent()            {}
func (OrderAnswered) isEvent()        {}
func (RunningRequests) isEvent()      {}
func (EngineMayHaveCrashed) isEvent() {}
func (DrainTimeoutSet) isEvent()      {}
func (Tick) isEvent()                 {}

// Effect is an action that an Executor requests.
type Effect interface{ isEffect() }

// StopAdmitting closes the admission of requests to the engine.
type StopAdmitting struct{ Reason string }

// Admit opens the admission of requests for the engine's configuration Applied.
type Admit struct{ Applied engine.Order }

// HandOver requests that running requests are aborted, so that their entries
// resume them on another engine. It is emitted when the drain timeout expires.
type HandOver struct{}

// ReadState requests a read of the engine's state; StateRead is its result.
type ReadState struct{}

// SendOrder requests that an order is sent to the engine; OrderAnswered is its
// result.
type SendOrder struct{ Order engine.Order }

func (StopAdmitting) isEffect() {}
func (Admit) isEffect()         {}
func (HandOver) isEffect()      {}
func (ReadState) isEffect()     {}
func (SendOrder) isEffect()     {}
