package requests

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// Stream identifies the stream of an attempt or a Resolve. The owner of the
// Table assigns it and never reuses one.
type Stream uint64

// RunID identifies a run. It is unique across a Table and the tables recovered
// from it.
type RunID uint64

// ClaimID identifies a claim. It is unique across a Table and the tables
// recovered from it.
type ClaimID uint64

// Event is an input of a Table.
type Event interface{ isEvent() }

type (
	// StartReceived is a Start frame, the first frame of its stream.
	StartReceived struct {
		Stream Stream
		Start  *wire.Start
		// Age is an upper bound of the time since the frame was sent; AgeUnknown
		// if none is known.
		Age time.Duration
	}

	// CancelReceived is a Cancel frame on the stream of an attempt: the caller
	// cancelled the request.
	CancelReceived struct{ Stream Stream }

	// StreamClosed reports that nothing more can be sent on the stream.
	StreamClosed struct{ Stream Stream }

	// ResolveReceived is a Resolve frame, the first frame of its stream.
	ResolveReceived struct {
		Stream  Stream
		Resolve *wire.Resolve
		// StartAge is an upper bound of the age of the Start in question;
		// AgeUnknown if none is known.
		StartAge time.Duration
	}

	// ClaimDecided is the result of a Claim effect, one of three: Granted, the
	// claim is committed and the call may run once; Final, with Chunks, the
	// stored answer of an earlier request with the key; Err, the reason why the
	// call must not run here, with the verdict for the key.
	ClaimDecided struct {
		Claim   ClaimID
		Granted bool
		Chunks  []*wire.Chunk
		Final   *wire.Final
		Err     *verdict.Error
	}

	// ChunkReceived is a chunk of the answer of a run.
	ChunkReceived struct {
		Run    RunID
		Data   []byte
		Tokens uint32
	}

	// RunFinished reports that a run finished. Exactly one of Final and Err is
	// set. Final has no request id, chunk count or digest yet.
	RunFinished struct {
		Run   RunID
		Final *wire.Final
		Err   *verdict.Error
	}

	// StopAdmitting rejects all new and waiting requests with Code and Reason
	// until Admit.
	StopAdmitting struct {
		Code   verdict.Code
		Reason string
	}

	// Admit resumes admission. The engine, if any, is known to be ready.
	Admit struct{}

	// HandOver cancels idempotent runs, so that their entries resume them on
	// another backend server. Other runs continue to completion, and so do those
	// whose deadline is not after End, unless it is zero.
	HandOver struct{ End time.Time }

	// EndRuns cancels all runs, because the process is about to end.
	EndRuns struct{}

	// EngineReport is the engine's latest load and state.
	EngineReport struct {
		Load  engine.Load
		State engine.State
	}

	// Tick processes timeouts.
	Tick struct{}
)

// AgeUnknown is the age of a frame without a known upper bound.
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
func (EndRuns) isEvent()         {}
func (EngineReport) isEvent()    {}
func (Tick) isEvent()            {}
