package call

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// Event is an input of a Machine. Events of an attempt other than the current
// one are dropped and counted.
type Event interface{ isEvent() }

type (
	// Begin starts the request. It is the first event and comes once.
	Begin struct{}

	// Routed responds to a Route effect. PrefillServer, when set, is the backend
	// server that first computes the KV cache for Server.
	Routed struct {
		Attempt       uint32
		Server        string
		PrefillServer string
	}

	// Unroutable responds to a Route effect: there is no backend server for the
	// attempt, or no retry budget.
	Unroutable struct {
		Attempt uint32
		Err     *verdict.Error
		// RetryIn is the delay before another Route, while a planned change is
		// in progress. 0 means that the request fails.
		RetryIn time.Duration
	}

	// Sent reports that the Start frame is being handed to a connection to the
	// given incarnation of the sidecar. Some of it may have been sent even if the
	// connection broke meanwhile; StreamLost follows in that case.
	Sent struct {
		Attempt     uint32
		Incarnation string
	}

	// NotSent reports that no byte of the Start frame has left this process.
	NotSent struct{ Attempt uint32 }

	// Chunk is a frame received on the stream of the attempt.
	Chunk struct {
		Attempt uint32
		Frame   *wire.Chunk
	}

	// Final is a frame received on the stream of the attempt.
	Final struct {
		Attempt uint32
		Frame   *wire.Final
	}

	// Refusal is a frame received on the stream of the attempt.
	Refusal struct {
		Attempt uint32
		Frame   *wire.Refusal
	}

	// StreamLost reports that the stream of the attempt has ended.
	StreamLost struct{ Attempt uint32 }

	// LinkSilent reports that the connection of the attempt received nothing for
	// link.SilenceTimeout, or has ended.
	LinkSilent struct{ Attempt uint32 }

	// Resolution is the sidecar's response to a Resolve effect.
	Resolution struct {
		Attempt uint32
		Frame   *wire.Resolution
	}

	// ResolveFailed reports that a Resolve effect got no response.
	ResolveFailed struct{ Attempt uint32 }

	// Timer reports that the time returned by NextTimer has been reached.
	Timer struct{}

	// CallerDisconnected reports that the caller has disconnected.
	CallerDisconnected struct{}

	// ShutDown reports that the process is about to end.
	ShutDown struct{}
)

func (Begin) isEvent()              {}
func (Routed) isEvent()             {}
func (Unroutable) isEvent()         {}
func (Sent) isEvent()               {}
func (NotSent) isEvent()            {}
func (Chunk) isEvent()              {}
func (Final) isEvent()              {}
func (Refusal) isEvent()            {}
func (StreamLost) isEvent()         {}
func (LinkSilent) isEvent()         {}
func (Resolution) isEvent()         {}
func (ResolveFailed) isEvent()      {}
func (Timer) isEvent()              {}
func (CallerDisconnected) isEvent() {}
func (ShutDown) isEvent()           {}

// attemptEvent is an event of an attempt that is in flight.
type attemptEvent interface {
	Event
	attempt() uint32
}

func (e Sent) attempt() uint32          { return e.Attempt }
func (e NotSent) attempt() uint32       { return e.Attempt }
func (e Chunk) attempt() uint32         { return e.Attempt }
func (e Final) attempt() uint32         { return e.Attempt }
func (e Refusal) attempt() uint32       { return e.Attempt }
func (e StreamLost) attempt() uint32    { return e.Attempt }
func (e LinkSilent) attempt() uint32    { return e.Attempt }
func (e Resolution) attempt() uint32    { return e.Attempt }
func (e ResolveFailed) attempt() uint32 { return e.Attempt }
