package call

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// Event is something that happened to a request. Events that name an attempt
// other than the current one are dropped and counted.
type Event interface{ isEvent() }

type (
	// Begin starts the request. It comes once, first.
	Begin struct{}

	// Routed answers a Route effect. Prefill, when set, is the backend server
	// that computes the KV cache for Server first.
	Routed struct {
		Attempt       uint32
		Server        string
		PrefillServer string
	}

	// Unroutable answers a Route effect: there is no backend server for the
	// attempt, or no budget for it.
	Unroutable struct {
		Attempt uint32
		Err     *verdict.Error
		// RetryIn is when to ask for a route again, in place of giving up: a
		// planned change is under way. 0: give up.
		RetryIn time.Duration
	}

	// Sent says that the Start frame was handed to a connection to the sidecar
	// process of the incarnation given. Part of it may have been sent even when
	// the connection broke meanwhile; LinkLost follows then.
	Sent struct {
		Attempt     uint32
		Incarnation string
	}

	// NotSent says that no byte of the Start frame left this process.
	NotSent struct{ Attempt uint32 }

	// Chunk is a frame that came on the stream of the attempt.
	Chunk struct {
		Attempt uint32
		Frame   *wire.Chunk
	}

	// Final is a frame that came on the stream of the attempt.
	Final struct {
		Attempt uint32
		Frame   *wire.Final
	}

	// Refusal is a frame that came on the stream of the attempt.
	Refusal struct {
		Attempt uint32
		Frame   *wire.Refusal
	}

	// LinkLost says that the stream of the attempt has ended.
	StreamLost struct{ Attempt uint32 }

	// LinkSilent says that the connection under the attempt is silent.
	LinkSilent struct{ Attempt uint32 }

	// Resolution answers a Resolve effect.
	Resolution struct {
		Attempt uint32
		Frame   *wire.Resolution
	}

	// ResolveFailed says that a Resolve effect got no answer.
	ResolveFailed struct{ Attempt uint32 }

	// Timer says that the time returned by Next has come.
	Timer struct{}

	// CallerGone says that the caller no longer waits.
	CallerDisconnected struct{}
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
