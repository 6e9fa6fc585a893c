package requests

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// Effect is an action that the owner of a Table carries out.
type Effect interface{ isEffect() }

type (
	// Send sends a frame on a stream. Last marks the last frame of the stream.
	Send struct {
		Stream Stream
		Frame  *wire.Frame
		Last   bool
	}

	// Run starts a run, which is followed by its ChunkReceived events and exactly
	// one RunFinished. The owner must check the deadline again at the moment of
	// the call and finish with NotRun when it has passed.
	Run struct {
		Run      RunID
		Start    *wire.Start
		Deadline time.Time
	}

	// CancelRun cancels a run. Its RunFinished event still follows.
	CancelRun struct{ Run RunID }

	// Claim claims the idempotency key of a call; ClaimDecided is its result. The
	// call does not run before the claim is granted.
	Claim struct {
		Claim ClaimID
		// Request is the request id.
		Request  string
		Service  string
		Key      string
		Digest   uint64
		Deadline time.Time
	}

	// SettleClaim records the outcome of a granted claim. NotRun releases the key;
	// Ran stores Chunks and Final, which are nil if the answer is not complete;
	// MayHaveRun blocks the key, which is never released.
	SettleClaim struct {
		Claim   ClaimID
		Verdict verdict.Verdict
		Chunks  []*wire.Chunk
		Final   *wire.Final
	}

	// CheckEngine reports that the engine may have crashed and its state must be
	// read.
	CheckEngine struct{}

	// LogDecision adds a record to the decision log.
	LogDecision struct{ Subject, Decision, Reason string }
)

func (Send) isEffect()        {}
func (Run) isEffect()         {}
func (CancelRun) isEffect()   {}
func (Claim) isEffect()       {}
func (SettleClaim) isEffect() {}
func (CheckEngine) isEffect() {}
func (LogDecision) isEffect() {}
