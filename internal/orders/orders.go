// Package orders brings one engine to its row of the plan. It is the only part
// of the system that orders the engine.
//
// An Executor is a state machine without I/O. It passes through these phases;
// only its own Step changes them:
//
//	Uncertain -> Serving     the engine is ready and is what the row says
//	Uncertain -> Draining    the engine is ready and the row says otherwise
//	Serving   -> Draining    a row with a higher generation says otherwise
//	Draining  -> Ordering    nothing runs any more: the order is sent
//	Draining  -> Serving     the row changed back before the order was sent
//	Ordering  -> Uncertain   the order was answered, or its outcome is unknown
//	any       -> Uncertain   the engine broke off or restarted
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
	// readInterval is how often the state of an engine that is not serving is
	// read.
	readInterval = 100 * time.Millisecond
	// serveReadInterval is how often a serving engine's state is read: a
	// restart of the engine is seen by its new incarnation.
	serveReadInterval = time.Second
	// readTimeout is after how long an unanswered read is asked again.
	readTimeout = 2 * time.Second
	// retryInterval is the pause before an order that was refused, or never
	// reached the engine, is sent again.
	retryInterval = 500 * time.Millisecond
	// startGrace is how long a fresh process waits for rows from several
	// entries before its first order: the first to answer may be behind.
	startGrace = 2 * time.Second
)

// Config sets an Executor.
type Config struct {
	// ChecksFencingToken says that the engine refuses an order below the
	// highest generation that it has taken.
	ChecksFencingToken bool
	// OrderTimeout is how long an order of unknown outcome may still be in
	// flight.
	OrderTimeout time.Duration
	// DrainTimeout is how long running requests may go on before HandOver.
	DrainTimeout time.Duration
}

// Phase is the state of an Executor.
type Phase string

// The phases.
const (
	Uncertain Phase = "uncertain"
	Serving   Phase = "serving"
	Draining  Phase = "draining"
	Ordering  Phase = "ordering"
)

// Executor brings one engine to its row. Its methods are for one goroutine.
type Executor struct {
	config  Config
	started time.Time
	phase   Phase

	row     plan.Engine
	haveRow bool

	state     engine.State
	haveState bool
	// stateAsked is when the engine was asked for the state held.
	stateAsked time.Time
	reading    bool
	askedAt    time.Time

	running     int
	drainSince  time.Time
	handedOver  bool
	outstanding *sentOrder
	// quietUntil is when no earlier order can be in flight any more.
	quietUntil time.Time
	// notBefore delays the next order after one that failed.
	notBefore time.Time
	// ordered is the highest generation sent by this process, fenced the
	// highest that the engine refused as too old.
	ordered uint64
	fenced  uint64
	// distrustReadsBefore drops answers asked before the last order.
	distrustReadsBefore time.Time
}

type sentOrder struct {
	order engine.Order
	at    time.Time
}

// New returns an Executor that knows nothing. The process before it may have
// died with an order in flight, so the first OrderTimeout counts as that.
func New(now time.Time, c Config) *Executor {
	return &Executor{
		config:     c,
		started:    now,
		phase:      Uncertain,
		quietUntil: now.Add(c.OrderTimeout),
	}
}

// Phase returns the phase.
func (x *Executor) Phase() Phase { return x.phase }

// Generation returns the generation in force at the engine, 0 if unknown.
func (x *Executor) Generation() uint64 { return x.state.Applied.Generation }

// Step takes one event and returns what is to be done, in order.
func (x *Executor) Step(now time.Time, e Event) []Effect {
	switch e := e.(type) {
	case RowReceived:
		x.rowSeen(e.Row)
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

// rowSeen takes a row only if its generation is not below the one held: a
// stale relay must not undo a newer order.
func (x *Executor) rowSeen(row plan.Engine) {
	if x.haveRow && row.Generation < x.row.Generation {
		return
	}
	x.row, x.haveRow = row, true
}

func (x *Executor) stateRead(e StateRead) {
	x.reading = false
	if e.Err != nil {
		x.haveState = false
		return
	}
	// An answer from before the order would show the engine ready and let
	// requests in that the order then cuts.
	if e.Asked.Before(x.distrustReadsBefore) {
		return
	}
	x.state, x.haveState, x.stateAsked = e.State, true, e.Asked
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
		x.fenced = max(x.fenced, e.Generation)
	case errors.Is(e.Err, engine.ErrNotSent), errors.Is(e.Err, engine.ErrRejected):
		x.notBefore = now.Add(retryInterval)
	default:
		x.orderLost(sent.at)
	}
}

// endOrder forgets what was known of the engine before the order.
func (x *Executor) endOrder(now time.Time) {
	x.outstanding = nil
	x.haveState = false
	x.distrustReadsBefore = now
	x.phase = Uncertain
}

// orderLost treats an order whose answer was lost as still in flight. Sending
// another at once could let the two arrive in either order, and the engine
// would end up as the older says; one would notice an engine that serves
// another model than its row.
func (x *Executor) orderLost(sentAt time.Time) {
	x.quietUntil = sentAt.Add(x.config.OrderTimeout)
}

// reconcile compares the engine with its row and takes the next step.
func (x *Executor) reconcile(now time.Time) []Effect {
	if x.outstanding != nil {
		return x.awaitOrder(now)
	}
	read := x.readIfDue(now)
	if !x.haveState || !x.state.Ready || x.state.Changing {
		return append(x.enter(Uncertain, "the engine's state is not known or not ready"), read...)
	}
	if x.settled(now) {
		return append(x.serve(), read...)
	}
	if !x.wantsOrder() {
		return append(x.enter(Uncertain, "an order of an earlier process may be in flight"), read...)
	}
	return append(x.drain(now), read...)
}

// awaitOrder waits for the answer of the order sent, up to OrderTimeout.
func (x *Executor) awaitOrder(now time.Time) []Effect {
	if now.Sub(x.outstanding.at) < x.config.OrderTimeout {
		return nil
	}
	sentAt := x.outstanding.at
	x.endOrder(now)
	x.orderLost(sentAt)
	return x.readIfDue(now)
}

// settled reports whether requests may run on the engine as it is. That the
// engine is what its row says is not enough after a start: the row can be stale,
// and the newer order of the process before may still land and cut what runs.
// One's own order has landed when the engine shows it, and no other is in
// flight.
func (x *Executor) settled(now time.Time) bool {
	landed := x.ordered > 0 && x.ordered == x.state.Applied.Generation
	return !x.wantsOrder() && (landed || x.quiet(now))
}

// quiet reports whether no earlier order can land any more. A state read
// before that moment does not count: the order may have landed since, and the
// engine that looked ready would be in the middle of a change.
func (x *Executor) quiet(now time.Time) bool {
	return !now.Before(x.quietUntil) && !x.stateAsked.Before(x.quietUntil)
}

// wantsOrder reports whether the row asks for an order. A row at or below what
// the engine has taken is stale, whatever it says.
func (x *Executor) wantsOrder() bool {
	return x.haveRow &&
		!sameWork(x.row.Order(), x.state.Applied) &&
		x.row.Generation > x.state.Applied.Generation &&
		x.row.Generation > x.fenced
}

func (x *Executor) serve() []Effect {
	if x.phase == Serving {
		return nil
	}
	x.phase = Serving
	return []Effect{Admit{Applied: x.state.Applied}}
}

// enter leaves Serving for a phase that admits nothing.
func (x *Executor) enter(p Phase, why string) []Effect {
	before := x.phase
	x.phase = p
	if before != Serving {
		return nil
	}
	return []Effect{StopAdmitting{Reason: why}}
}

// drain waits for running requests, then sends the order.
func (x *Executor) drain(now time.Time) []Effect {
	effects := []Effect{}
	if x.phase != Draining {
		effects = x.enter(Draining, "the plan changes the engine: "+x.row.Reason)
		x.drainSince, x.handedOver = now, false
	}
	if x.running > 0 {
		return append(effects, x.handOverIfLate(now)...)
	}
	if !x.mayOrder(now) {
		return effects
	}
	return append(effects, x.send(now))
}

func (x *Executor) handOverIfLate(now time.Time) []Effect {
	if x.handedOver || now.Sub(x.drainSince) < x.config.DrainTimeout {
		return nil
	}
	x.handedOver = true
	return []Effect{HandOver{}}
}

// mayOrder reports whether an order may be sent. An engine that checks the
// fencing token takes the same generation twice as once, so the order of
// unknown outcome may be repeated; any other order waits until that one can no
// longer land.
func (x *Executor) mayOrder(now time.Time) bool {
	if now.Before(x.notBefore) || now.Before(x.started.Add(startGrace)) {
		return false
	}
	repeats := x.config.ChecksFencingToken && x.row.Generation == x.ordered
	return repeats || x.quiet(now)
}

func (x *Executor) send(now time.Time) Effect {
	order := x.row.Order()
	invariant.Check(x.outstanding == nil, "one order at a time",
		"order %d while another is outstanding", order.Generation)
	invariant.Check(x.running == 0, "no order cuts a request",
		"order %d while %d requests run", order.Generation, x.running)
	invariant.Check(order.Generation >= x.ordered && order.Generation > x.state.Applied.Generation,
		"orders only rise", "order %d after %d", order.Generation, max(x.ordered, x.state.Applied.Generation))
	x.phase = Ordering
	x.ordered = order.Generation
	x.outstanding = &sentOrder{order: order, at: now}
	return SendOrder{Order: order}
}

func (x *Executor) readIfDue(now time.Time) []Effect {
	interval := readInterval
	if x.phase == Serving && x.haveState {
		interval = serveReadInterval
	}
	if x.reading {
		interval = readTimeout
	}
	if now.Sub(x.askedAt) < interval {
		return nil
	}
	x.reading, x.askedAt = true, now
	return []Effect{ReadState{}}
}

// sameWork reports whether two orders make the same of an engine.
func sameWork(a, b engine.Order) bool {
	return a.Role == b.Role &&
		a.Model == b.Model &&
		a.Weights == b.Weights &&
		slices.Equal(a.Adapters, b.Adapters)
}
