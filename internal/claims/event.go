package claims

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// Event is something that happened to a Slot.
type Event interface{ event() }

// The events of a Slot.
type (
	// Plan says whether the plan of that version gives the slot to this owner.
	Plan struct {
		Version uint64
		Owned   bool
	}
	// Drain gives the slot up, once what it claimed is finished.
	Drain struct{}
	// Retain changes how long results are kept.
	Retain struct{ Retention time.Duration }
	// Asked is a request; its Reply carries the same Token.
	ClaimRequested struct {
		Token   uint64
		Request Request
	}
	// Abandoned says that nobody waits for the Reply any more, and that the
	// call of a Granted one was not started.
	Abandoned struct {
		Token uint64
		Key   string
	}
	// Finished is the result of a granted call.
	Finished struct {
		Request Request
		Result  Result
	}
	// NotStarted says that a granted call did not run and never will.
	NotStarted struct{ Request Request }
	// Lost says that a granted call may have run and has no result.
	ResultLost struct{ Request Request }
	// GetDone and PutDone end the Call effect.
	GetDone struct {
		Object sharedstate.Object
		Err    error
	}
	PutDone struct {
		Version uint64
		Err     error
	}
	// Tick says that the time of a Wake has come.
	Tick struct{}
)

func (Plan) event()           {}
func (Drain) event()          {}
func (Retain) event()         {}
func (ClaimRequested) event() {}
func (Abandoned) event()      {}
func (Finished) event()       {}
func (NotStarted) event()     {}
func (ResultLost) event()     {}
func (GetDone) event()        {}
func (PutDone) event()        {}
func (Tick) event()           {}

// Effect is something that a Slot asks for.
type Effect interface{ effect() }

// The effects of a Slot.
type (
	// Call asks for one call of the store. A slot has one at a time.
	StoreCall struct {
		Call sharedstate.Call
		Name string
		// Version and Value are those of a CallPut.
		Version uint64
		Value   []byte
	}
	// Reply answers the Asked of that Token.
	Reply struct {
		Token  uint64
		Answer Answer
	}
	// Wake asks for a Tick at that time. It replaces the Wake before.
	Wake struct{ At time.Time }
	// Ownership says that the slot was taken or given up.
	Ownership struct {
		Owned bool
		Epoch uint64
	}
)

func (StoreCall) effect() {}
func (Reply) effect()     {}
func (Wake) effect()      {}
func (Ownership) effect() {}
