package claims

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// Event is an input of a Slot.
type Event interface{ event() }

// The events of a Slot.
type (
	// Plan reports whether the plan of that version assigns the slot to this
	// owner.
	Plan struct {
		Version uint64
		Owned   bool
	}
	// Drain requests the release of the slot once its granted calls are finished.
	Drain struct{}
	// RetentionChanged changes how long results are stored.
	RetentionChanged struct{ Retention time.Duration }
	// ClaimRequested is a request for a claim; its Reply carries the same Token.
	ClaimRequested struct {
		Token   uint64
		Request Request
	}
	// Abandoned reports that the requester no longer waits for the Reply, and
	// that its call was not started, even if the claim was granted.
	Abandoned struct {
		Token uint64
		Key   string
	}
	// Finished reports the result of a granted call.
	Finished struct {
		Request Request
		Result  Result
	}
	// NotStarted reports that a granted call did not run and never will.
	NotStarted struct{ Request Request }
	// ResultLost reports that a granted call may have run and that its result is
	// unknown.
	ResultLost struct{ Request Request }
	// GetDone and PutDone report the result of a StoreCall.
	GetDone struct {
		Object sharedstate.Object
		Err    error
	}
	PutDone struct {
		Version uint64
		Err     error
	}
	// Tick is sent at the time that a Wake requested.
	Tick struct{}
)

func (Plan) event()             {}
func (Drain) event()            {}
func (RetentionChanged) event() {}
func (ClaimRequested) event()   {}
func (Abandoned) event()        {}
func (Finished) event()         {}
func (NotStarted) event()       {}
func (ResultLost) event()       {}
func (GetDone) event()          {}
func (PutDone) event()          {}
func (Tick) event()             {}

// Effect is an action that a Slot requests from the Duty that runs it.
type Effect interface{ effect() }

// The effects of a Slot.
type (
	// StoreCall requests one store call. A slot has at most one in flight.
	StoreCall struct {
		Call sharedstate.Call
		Name string
		// Version and Value are set for a CallPut.
		Version uint64
		Value   []byte
	}
	// Reply is the response to the ClaimRequested with that Token.
	Reply struct {
		Token  uint64
		Answer Answer
	}
	// Wake requests a Tick at that time. It replaces any earlier Wake.
	Wake struct{ At time.Time }
	// Ownership reports that the slot was acquired, released or lost.
	Ownership struct {
		Owned bool
		Epoch uint64
	}
)

func (StoreCall) effect() {}
func (Reply) effect()     {}
func (Wake) effect()      {}
func (Ownership) effect() {}
