// Package orders brings one engine to the configuration (role, model, adapters and
// weights) of its row in the plan. In the sidecar deployment, no other part of the
// system sends orders to the engine.
//
// An Executor is a state machine without I/O. Only its Step method changes its
// phase:
//
//	Uncertain -> Serving     the engine is ready and matches the row
//	Uncertain -> Draining    the engine is ready and differs from the row
//	Serving   -> Draining    a row with a higher generation differs from the engine
//	Draining  -> Ordering    no request runs any more: the order is sent
//	Draining  -> Serving     the row changed back before the order was sent
//	Ordering  -> Uncertain   the order was answered, or its outcome is unknown
//	any       -> Uncertain   the engine stopped in the middle of a request, or restarted
package orders

import (
	"errors"
	"slices"
	"time"

	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/plan"
)

const (
	// readInterval is the time between reads of the state of an engine that is not
	// serving.
	readInterval = 100 * time.Millisecond
	// servingReadInterval is the time between reads of the state of a serving
	// engine. They detect a restart of the engine by its new incarnation.
	servingReadInterval = time.Second
	// readTimeout is the time after which a read without a result is repeated.
	readTimeout = 2 * time.Second
	// retryInterval is the delay before an order that was rejected, or did not reach
	// the engine, is sent again.
	retryInterval = 500 * time.Millisecond
	// startGrace is how long a new process collects rows from several entries before
	// its first order: the plan of the first entry to respond may be outdated.
	startGrace = 2 * time.Second
)

// Config configures an Executor.
type Config struct {
	// ChecksFencingToken is set if the engine rejects orders with a generation lower
	// than the highest that it has accepted.
	ChecksFencingToken bool
	// OrderTimeout is how long an order of unknown outcome may still be in
	// flight.
	OrderTimeout time.Duration
	// DrainTimeout is how long running requests may continue before HandOver.
	DrainTimeout time.Duration
}

// Phase is the state of an Executor.
type Phase string

// The phases of an Executor.
const (
	Uncertain Phase = "uncertain"
	Serving   Phase = "serving"
	Draining  Phase = "draining"
	Ordering  Phase = "ordering"
)

// Executor brings one engine to the configuration of its row. It is not safe for
// concurrent use.
type Executor struct {
	config  Config
	started time.Time
	phase   Phase

	row     plan.Engine
	haveRow bool

	state     engine.State
	haveState bool
	// stateRequestedAt is when the read that returned state was sent.
	stateRequestedAt time.Time
	readInFlight     bool
	lastReadAt       time.Time

	running     int
	drainSince  time.Time
	handedOver  bool
	outstanding *sentOrder
	// inFlightUntil is the time until which an order of unknown outcome may still be
	// in flight.
	inFlightUntil time.Time
	// retryAt is the earliest time of the next order after one that failed.
	retryAt time.Time
	// highestSent is the highest generation sent by this process, highestFenced the
	// highest that the engine rejected as too old.
	highestSent   uint64
	highestFenced uint64
	// ignoreReadsBefore is when the last order ended. Results of reads that were sent
	// before it are dropped.
	ignoreReadsBefore time.Time
}

type sentOrder struct {
	order engine.Order
	at    time.Time
}

// New returns an Executor without any state of the engine. A previous process may
// have ended with an order in flight, so one is assumed until OrderTimeout has
// elapsed.
func New(now time.Time, c Config) *Executor {
	return &Executor{
		config:        c,
		started:       now,
		phase:         Uncertain,
		inFlightUntil: now.Add(c.OrderTimeout),
	}
}

func (x *Executor) Phase() Phase { return x.phase }

// Generation returns the generation that the engine last reported as applied, 0 if
// unknown.
func (x *Executor) Generation() uint64 { return x.state.Applied.Generation }

// Step handles one event and returns the effects to carry out, in order.
func (x *Executor) Step(now time.Time, e Event) []Effect {
	switch e := e.(type) {
	case RowReceived:
		x.rowReceived(e.Row)
	case StateRead:
		x.stateRead(e)
	case OrderAnswered:
		x.orderAnswered(now, e)
	case RunningRequests:
		x.running = e.Count
	case EngineMayHaveCrashed:
		x.haveState = false
	case DrainTimeoutSet:
		x.config.DrainTimeout = e.Timeout
	}
	return x.reconcile(now)
}

// rowReceived accepts a row unless its generation is lower than that of the current
// row: an entry with an outdated plan must not revert a newer order.
func (x *Executor) rowReceived(row plan.Engine) {
	if x.haveRow && row.Generation < x.row.Generation {
		return
	}
	x.row, x.haveRow = row, true
}

func (x *Executor) stateRead(e StateRead) {
	x.readInFlight = false
	if e.Err != nil {
		x.haveState = false
		return
	}
	// A state from before the order could show the engine as ready. Requests would be
	// admitted and then aborted by the order.
	if e.RequestedAt.Before(x.ignoreReadsBefore) {
		return
	}
	x.state, x.haveState, x.stateRequestedAt = e.State, true, e.RequestedAt
}

func (x *Executor) orderAnswered(now time.Time, e OrderAnswered) {
	sent := x.outstanding
	if sent == nil || sent.order.Generation != e.Generation {
		return
	}
	x.endOrder(now)
	switch {
	case e.Err == nil:
	case errors.Is(e.Err, engine.ErrFenced):
		x.highestFenced = max(x.highestFenced, e.Generation)
	case errors.Is(e.Err, engine.ErrNotSent), errors.Is(e.Err, engine.ErrRejected):
		x.retryAt = now.Add(retryInterval)
	default:
		x.orderOutcomeUnknown(sent.at)
	}
}

// endOrder discards the engine's state from before the order.
func (x *Executor) endOrder(now time.Time) {
	x.outstanding = nil
	x.haveState = false
	x.ignoreReadsBefore = now
	x.phase = Uncertain
}

// orderOutcomeUnknown treats an order whose reply was lost as still in flight. If
// another order were sent immediately, the two could arrive in either sequence and
// the older one could take effect last. Symptom: an engine serves a different model
// than its row says.
func (x *Executor) orderOutcomeUnknown(sentAt time.Time) {
	x.inFlightUntil = sentAt.Add(x.config.OrderTimeout)
}

// reconcile compares the engine with its row and returns the effects of the next
// step.
func (x *Executor) reconcile(now time.Time) []Effect {
	if x.outstanding != nil {
		return x.awaitOrder(now)
	}
	read := x.readIfDue(now)
	if !x.haveState || !x.state.Ready || x.state.Changing {
		return append(x.closeAdmission(Uncertain, "the engine's state is not known or not ready"), read...)
	}
	if x.canServe(now) {
		return append(x.serve(), read...)
	}
	if !x.needsOrder() {
		return append(x.closeAdmission(Uncertain, "an order of an earlier process may be in flight"), read...)
	}
	return append(x.drain(now), read...)
}

// awaitOrder waits for the result of the outstanding order, up to OrderTimeout.
func (x *Executor) awaitOrder(now time.Time) []Effect {
	if now.Sub(x.outstanding.at) < x.config.OrderTimeout {
		return nil
	}
	sentAt := x.outstanding.at
	x.endOrder(now)
	x.orderOutcomeUnknown(sentAt)
	return x.readIfDue(now)
}

// canServe reports whether requests may run on the engine in its current
// configuration. After a start it is not enough that the engine matches its row: the
// row can be stale, and a newer order of the previous process may still arrive and
// abort running requests. If the engine reports the last order of this process as
// applied, no other order is in flight.
func (x *Executor) canServe(now time.Time) bool {
	applied := x.highestSent > 0 && x.highestSent == x.state.Applied.Generation
	return !x.needsOrder() && (applied || x.noOrderInFlight(now))
}

// noOrderInFlight reports whether no earlier order can arrive any more. It requires
// a state read after inFlightUntil: an order may have arrived since an earlier read,
// and an engine that was ready then would be in the middle of a change.
func (x *Executor) noOrderInFlight(now time.Time) bool {
	return !now.Before(x.inFlightUntil) && !x.stateRequestedAt.Before(x.inFlightUntil)
}

// needsOrder reports whether the row requires an order. A row whose generation is
// not above the one applied or fenced by the engine is stale and never requires one.
func (x *Executor) needsOrder() bool {
	return x.haveRow &&
		!sameConfiguration(x.row.Order(), x.state.Applied) &&
		x.row.Generation > x.state.Applied.Generation &&
		x.row.Generation > x.highestFenced
}

func (x *Executor) serve() []Effect {
	if x.phase == Serving {
		return nil
	}
	x.phase = Serving
	return []Effect{Admit{Applied: x.state.Applied}}
}

// closeAdmission enters a phase in which no requests are admitted, and stops
// admission if the phase was Serving.
func (x *Executor) closeAdmission(p Phase, reason string) []Effect {
	before := x.phase
	x.phase = p
	if before != Serving {
		return nil
	}
	return []Effect{StopAdmitting{Reason: reason}}
}

// drain waits until no requests run and then sends the order.
func (x *Executor) drain(now time.Time) []Effect {
	effects := []Effect{}
	if x.phase != Draining {
		effects = x.closeAdmission(Draining, "the plan changes the engine: "+x.row.Reason)
		x.drainSince, x.handedOver = now, false
	}
	if x.running > 0 {
		return append(effects, x.handOverIfOverdue(now)...)
	}
	if !x.maySendOrder(now) {
		return effects
	}
	return append(effects, x.send(now))
}

func (x *Executor) handOverIfOverdue(now time.Time) []Effect {
	if x.handedOver || now.Sub(x.drainSince) < x.config.DrainTimeout {
		return nil
	}
	x.handedOver = true
	return []Effect{HandOver{}}
}

// maySendOrder reports whether an order may be sent. An engine that checks the
// fencing token handles a repeated generation idempotently, so an order of unknown
// outcome may be sent again; any other order must wait until that one can no longer
// arrive.
func (x *Executor) maySendOrder(now time.Time) bool {
	if now.Before(x.retryAt) || now.Before(x.started.Add(startGrace)) {
		return false
	}
	repeats := x.config.ChecksFencingToken && x.row.Generation == x.highestSent
	return repeats || x.noOrderInFlight(now)
}

func (x *Executor) send(now time.Time) Effect {
	order := x.row.Order()
	invariant.Check(x.outstanding == nil, "one order at a time",
		"order of generation %d sent while another is outstanding", order.Generation)
	invariant.Check(x.running == 0, "no order cuts a request",
		"order of generation %d sent while %d requests run", order.Generation, x.running)
	invariant.Check(order.Generation >= x.highestSent && order.Generation > x.state.Applied.Generation,
		"orders only rise", "order of generation %d sent after generation %d", order.Generation, max(x.highestSent, x.state.Applied.Generation))
	x.phase = Ordering
	x.highestSent = order.Generation
	x.outstanding = &sentOrder{order: order, at: now}
	return SendOrder{Order: order}
}

func (x *Executor) readIfDue(now time.Time) []Effect {
	interval := readInterval
	if x.phase == Serving && x.haveState {
		interval = servingReadInterval
	}
	if x.readInFlight {
		interval = readTimeout
	}
	if now.Sub(x.lastReadAt) < interval {
		return nil
	}
	x.readInFlight, x.lastReadAt = true, now
	return []Effect{ReadState{}}
}

// sameConfiguration reports whether two orders result in the same configuration.
func sameConfiguration(a, b engine.Order) bool {
	return a.Role == b.Role &&
		a.Model == b.Model &&
		a.Weights == b.Weights &&
		slices.Equal(a.Adapters, b.Adapters)
}
