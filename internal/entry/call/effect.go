package call

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// Effect is an action for the driver of a Machine. Effects are carried out in
// the order returned.
type Effect interface{ isEffect() }

type (
	// Route requests a backend server for the attempt. The driver responds with
	// Routed or Unroutable.
	Route struct {
		Attempt uint32
		// Excluded are the backend servers that already failed this request.
		Excluded []string
		// Retry is set when an earlier attempt failed; the retry budget may
		// reject the new one.
		Retry *Retry
		// Resume reports that a beginning of the answer was delivered, so that
		// a separate prefill does not help.
		Resume bool
		// Remaining is the time until the deadline.
		Remaining time.Duration
	}

	// SendStart sends the Start frame of the attempt on a new stream. The driver
	// responds with Sent or NotSent.
	SendStart struct {
		Attempt uint32
		Server  string
		// Budget is the time until the deadline now; a driver that sends later
		// reduces it.
		Budget time.Duration
		// PrefillOnly requests a KV ticket instead of an answer.
		PrefillOnly bool
		KV          *wire.KVTicket
		// ResumeFrom is the number of output tokens delivered to the caller,
		// ResumeText their text.
		ResumeFrom uint32
		ResumeText string
	}

	// Resolve queries the sidecar for the outcome of the attempt, on a new
	// connection if that of the attempt is silent or lost. The driver responds
	// with Resolution or ResolveFailed.
	Resolve struct {
		Attempt uint32
		Server  string
	}

	// Cancel cancels the work of an attempt. Its stream stays open until the
	// request ends, so that the sidecar's response can still arrive.
	Cancel struct {
		Attempt uint32
		Server  string
	}

	// Deliver passes the next part of the answer to the caller.
	Deliver struct {
		Data   []byte
		Tokens uint32
	}

	// Finish ends the request successfully: what was delivered is the complete
	// answer.
	Finish struct {
		Final *wire.Final
		// Tokens is the number of output tokens delivered by all attempts.
		Tokens uint32
		Server string
	}

	// Fail ends the request without a complete answer.
	Fail struct{ Err *verdict.Error }

	// Explain adds a decision to the decision log.
	Explain struct{ Decision, Reason string }
)

// Retry describes the failed attempt that a Route follows.
type Retry struct {
	// NotRun reports that it certainly did not run.
	NotRun bool
	// Sent is false when the attempt never left this process.
	Sent bool
	// ServerDraining reports that its backend server is draining. A planned change
	// must not interrupt a request, so the retry budget does not apply.
	ServerDraining bool
}

func (Route) isEffect()     {}
func (SendStart) isEffect() {}
func (Resolve) isEffect()   {}
func (Cancel) isEffect()    {}
func (Deliver) isEffect()   {}
func (Finish) isEffect()    {}
func (Fail) isEffect()      {}
func (Explain) isEffect()   {}
