package requests

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// Stream is the owner's number of the stream that an attempt or a Resolve came
// on. No number is used twice.
type Stream uint64

// RunID numbers the runs of a Table and its successors.
type RunID uint64

// ClaimID numbers the claims of a Table and its successors.
type ClaimID uint64

// Event is what a Table learns.
type Event interface{ isEvent() }

type (
	// Arrived is a Start frame, the first of its stream.
	StartReceived struct {
		Stream Stream
		Start  *wire.Start
		// Age is how long ago the frame was sent, at most; AgeUnknown if there
		// is no bound.
		Age time.Duration
	}

	// Cancelled is a Cancel frame on the stream of an attempt: its caller gave
	// the request up.
	CancelReceived struct{ Stream Stream }

	// StreamEnded says that nothing more can be sent on the stream.
	StreamClosed struct{ Stream Stream }

	// ResolveAsked is a Resolve frame, the first of its stream.
	ResolveReceived struct {
		Stream  Stream
		Resolve *wire.Resolve
		// StartAge is the age of the Start that is asked about, at most;
		// AgeUnknown if there is no bound.
		StartAge time.Duration
	}

	// ClaimAnswered answers a Claim effect, in one of three ways: Granted, the
	// claim is committed and the call may run once; Final, with Chunks, is the
	// kept answer of an earlier request with the key; Err is why the call does
	// not run here, with the verdict on the key.
	ClaimDecided struct {
		Claim   ClaimID
		Granted bool
		Chunks  []*wire.Chunk
		Final   *wire.Final
		Err     *verdict.Error
	}

	// Piece is a part of the answer of a run.
	ChunkReceived struct {
		Run    RunID
		Data   []byte
		Tokens uint32
	}

	// Ended ends a run. Exactly one of Final and Err is set. Final has no
	// request id, count or digest yet.
	RunFinished struct {
		Run   RunID
		Final *wire.Final
		Err   *verdict.Error
	}

	// StopAdmitting refuses all new and waiting requests until Admit, with
	// Code and Why.
	StopAdmitting struct {
		Code   verdict.Code
		Reason string
	}

	// Admit lets requests in. The engine, if any, is known to be ready.
	Admit struct{}

	// HandOver ends idempotent runs so that their entries resume them
	// elsewhere. Others run to their end.
	HandOver struct{}

	// EngineReport is what the engine says of itself.
	EngineReport struct {
		Load  engine.Load
		State engine.State
	}

	// Tick lets time pass.
	Tick struct{}
)

// AgeUnknown is the age of a frame whose sender knows no bound.
const AgeUnknown time.Duration = -1

func (StartReceived) isEvent()   {}
func (CancelReceived) isEvent()  {}
func (StreamClosed) isEvent()    {}
func (ResolveReceived) isEvent() {}
func (ClaimDecided) isEvent()    {}
func (ChunkReceived) isEvent()   {}
func (RunFinished) isEvent()     {}
func (StopAdmitting) isEvent()   {}
func (Admit) isEvent()           {}
func (HandOver) isEvent()        {}
func (EngineReport) isEvent()    {}
func (Tick) isEvent()            {}
