package call

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// Effect is something that the driver of a Machine has to do, in the order
// returned.
type Effect interface{ isEffect() }

type (
	// Route asks for a backend server for the attempt; Routed or Unroutable
	// answers it.
	Route struct {
		Attempt uint32
		// Excluded backend servers have failed this request.
		Excluded []string
		// Retry is set when an attempt was sent before; the retry budget
		// decides about it.
		Retry *Retry
		// Resume says that part of the answer was delivered, so that a separate
		// prefill does not help.
		Resume bool
		// Remaining is what is left of the deadline.
		Remaining time.Duration
	}

	// SendStart asks to send the Start frame of the attempt on a new stream;
	// Sent or NotSent answers it.
	SendStart struct {
		Attempt uint32
		Server  string
		// Budget is what is left of the deadline now; a driver that sends later
		// sends less.
		Budget time.Duration
		// PrefillOnly asks for a KV ticket in place of an answer.
		PrefillOnly bool
		KV          *wire.KVTicket
		// ResumeFrom and ResumeText are the output that the caller has.
		ResumeFrom uint32
		ResumeText string
	}

	// Resolve asks to open a connection to the sidecar beside the one of the
	// attempt, if that is silent or lost, and to ask there what became of the
	// request; Resolution or ResolveFailed answers it.
	Resolve struct {
		Attempt uint32
		Server  string
	}

	// Cancel gives the work of an attempt up and drops its stream. Frames that
	// still come are of no use.
	Cancel struct {
		Attempt uint32
		Server  string
	}

	// Deliver passes the next piece of the answer to the caller.
	Deliver struct {
		Data   []byte
		Tokens uint32
	}

	// Finish ends the request with a whole answer: exactly what was delivered.
	Finish struct {
		Final *wire.Final
		// Tokens is the count of output tokens delivered over all attempts.
		Tokens uint32
		Server string
	}

	// Fail ends the request without a whole answer.
	Fail struct{ Err *verdict.Error }

	// Explain is a decision for the log of decisions.
	Explain struct{ Decision, Reason string }
)

// Retry describes the attempt that failed before.
type Retry struct {
	// NotRun says that it certainly did not run.
	NotRun bool
	// Sent is false when the attempt never left this process.
	Sent bool
	// Planned says that its backend server is draining. A planned change must
	// cut no request, so no budget may stand in its way.
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
