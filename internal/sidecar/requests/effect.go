package requests

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// Effect is what a Table wants done.
type Effect interface{ isEffect() }

type (
	// Send sends a frame on a stream. Last says that none follows.
	Send struct {
		Stream Stream
		Frame  *wire.Frame
		Last   bool
	}

	// Run starts a run; Piece events and one Ended event answer it. The owner
	// must check the deadline against the clock once more at the moment of the
	// call, and answer NotRun when it has passed.
	Run struct {
		Run      RunID
		Start    *wire.Start
		Deadline time.Time
	}

	// CancelRun stops a run. Its Ended event still comes.
	CancelRun struct{ Run RunID }

	// Claim asks for the idempotency key of a call; ClaimAnswered answers it.
	// Nothing runs before it is granted.
	Claim struct {
		Claim ClaimID
		// Request is the id of the request.
		Request  string
		Service  string
		Key      string
		Digest   uint64
		Deadline time.Time
	}

	// Settle ends a granted claim. Verdict NotRun frees the key; Ran records
	// Chunks and Final, which are nil if the answer was not whole; after
	// MayHaveRun the key is never free again.
	SettleClaim struct {
		Claim   ClaimID
		Verdict verdict.Verdict
		Chunks  []*wire.Chunk
		Final   *wire.Final
	}

	// Suspect says that the engine broke off: its state is to be read.
	CheckEngine struct{}

	// Note is a decision for the log of decisions.
	Note struct{ Subject, Decision, Why string }
)

func (Send) isEffect()        {}
func (Run) isEffect()         {}
func (CancelRun) isEffect()   {}
func (Claim) isEffect()       {}
func (SettleClaim) isEffect() {}
func (CheckEngine) isEffect() {}
func (Note) isEffect()        {}
