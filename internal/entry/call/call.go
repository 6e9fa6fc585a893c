// Package call implements the state machine of one request at an entry: its
// attempts, their outcomes, and the result reported to the caller.
//
// The machine has no clock, no goroutine and no I/O. Its driver passes events
// to Step and carries out the returned effects; the daemon and the randomised
// tests drive the same machine.
package call

import (
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/verdict"
)

const (
	// MaxAttempts limits the attempts of one request, even when the retry
	// budget would allow more.
	MaxAttempts = 8
	// DefaultMaxAnswerBytes limits the size of an answer, because it is held in
	// memory until it is complete, or as the text to resume from.
	DefaultMaxAnswerBytes = 8 << 20
	// DeadlineGrace is how long after the deadline the machine waits for the
	// sidecar's response to the Cancel: if the sidecar confirms that it had not
	// started the request, the caller gets "not run" instead of "may have run".
	DeadlineGrace = 100 * time.Millisecond
	// ResolveTimeout limits one Resolve.
	ResolveTimeout = time.Second
	// MaxResolveDuration is how long the machine keeps querying the outcome of a
	// request that may not be repeated. It is long enough for a sidecar to
	// restart and respond; a network partition may last longer.
	MaxResolveDuration = 5 * time.Second
	// MinPollInterval and MaxPollInterval bound the time between two Resolves
	// of a request that is still running.
	MinPollInterval = 50 * time.Millisecond
	MaxPollInterval = time.Second
	// MaxChangeWait limits how long a request waits for a planned change to
	// finish, such as a key slot moving to another owner.
	MaxChangeWait = 5 * time.Second
	// MinRouteDelay and MaxRouteDelay bound the delay before each further Route
	// during that wait.
	MinRouteDelay = 50 * time.Millisecond
	MaxRouteDelay = 500 * time.Millisecond
	// DefaultRetryAfter is the retry delay suggested to the caller when the
	// error has none of its own.
	DefaultRetryAfter = time.Second
)

// Spec describes a request to the machine.
type Spec struct {
	ID       uuid.UUID
	Deadline time.Time
	// Idempotent requests may be retried after an unknown outcome.
	Idempotent bool
	// Resumable answers can be continued by another backend server from what
	// was delivered, and are streamed chunk by chunk; others are delivered once
	// they are complete. A resumable request is idempotent.
	Resumable bool
	// Keyed requests carry an idempotency key: their caller may retry them
	// whatever the verdict.
	Keyed bool
	// MaxAnswerBytes limits the size of the answer; 0 means
	// DefaultMaxAnswerBytes.
	MaxAnswerBytes int
}

// Machine is the state machine of one request. It is not safe for concurrent
// use.
type Machine struct {
	spec    Spec
	phase   phase
	current attempt
	// pastVerdicts are those of the attempts before the current one.
	pastVerdicts []verdict.Verdict
	excluded     []string
	// decodeServer is the backend server that generates the answer after the
	// prefill attempt.
	decodeServer string
	// deliveredText is recorded for resumable requests only, to resume from.
	deliveredText   []byte
	deliveredTokens uint32
	deadlinePassed  bool
	lastErr         *verdict.Error
	// retry belongs to the next Route, which is due at routeAt if it is delayed.
	// waitDeadline ends the wait for a planned change; a chunk resets it to zero.
	retry        *Retry
	routeAt      time.Time
	waitDeadline time.Time
	effects      []Effect
}

type phase uint8

const (
	idle phase = iota
	// routing: a Route is outstanding; no attempt is in flight.
	routing
	// routeDelayed: the next Route is due at routeAt.
	routeDelayed
	// running: a Start was sent or is being sent.
	running
	// resolving: the outcome of the attempt is unknown.
	resolving
	ended
)

var (
	mismatchedFrames  = metrics.GetOrRegisterCounter("call.frames.foreign", nil)
	staleEvents       = metrics.GetOrRegisterCounter("call.events.stale", nil)
	outOfOrderChunks  = metrics.GetOrRegisterCounter("call.chunks.out_of_order", nil)
	incompleteAnswers = metrics.GetOrRegisterCounter("call.answers.broken", nil)
	resumes           = metrics.GetOrRegisterCounter("call.resumed", nil)
	retries           = metrics.GetOrRegisterCounter("call.retried", nil)
	resolves          = metrics.GetOrRegisterCounter("call.resolves", nil)
)

// New returns the Machine of a request.
func New(spec Spec) *Machine {
	if spec.MaxAnswerBytes <= 0 {
		spec.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	spec.Idempotent = spec.Idempotent || spec.Resumable
	return &Machine{spec: spec}
}

// Finished reports whether a Finish or Fail effect has been returned.
func (m *Machine) Finished() bool { return m.phase == ended }

// Attempt returns the number of the current attempt, counted from 1.
func (m *Machine) Attempt() uint32 { return m.current.number }

// Verdict returns the worst verdict of all attempts so far.
func (m *Machine) Verdict() verdict.Verdict {
	worst := m.current.verdict
	for _, v := range m.pastVerdicts {
		worst = verdict.Worst(worst, v)
	}
	return worst
}

// NextTimer returns when the next Timer event is due.
func (m *Machine) NextTimer() time.Time {
	next := m.spec.Deadline
	if m.deadlinePassed {
		next = m.spec.Deadline.Add(DeadlineGrace)
	}
	if m.phase == resolving && m.current.resolveAt.Before(next) {
		next = m.current.resolveAt
	}
	if m.phase == routeDelayed && m.routeAt.Before(next) {
		next = m.routeAt
	}
	return next
}

// Step processes one event and returns the effects to carry out. It returns
// none once the request has finished.
func (m *Machine) Step(now time.Time, event Event) []Effect {
	if m.phase == ended {
		staleEvents.Inc(1)
		return nil
	}
	m.effects = nil
	m.dispatch(now, event)
	if m.phase != ended && m.phase != idle {
		m.checkDeadline(now)
	}
	return m.effects
}

func (m *Machine) dispatch(now time.Time, event Event) {
	switch e := event.(type) {
	case Begin:
		m.begin(now)
	case Routed:
		m.routed(now, e)
	case Unroutable:
		m.unroutable(now, e)
	case CallerDisconnected:
		m.callerDisconnected()
	case ShutDown:
		m.shutDown()
	case Timer:
		m.timer(now)
	default:
		m.dispatchAttempt(now, event)
	}
}

func (m *Machine) begin(now time.Time) {
	if m.phase != idle {
		staleEvents.Inc(1)
		return
	}
	m.routeNext(now, nil)
}

// dispatchAttempt handles the events of the current attempt and drops those of
// earlier ones.
func (m *Machine) dispatchAttempt(now time.Time, event Event) {
	ofAttempt, ok := event.(attemptEvent)
	if !ok || ofAttempt.attempt() != m.current.number || !m.inFlight() {
		staleEvents.Inc(1)
		return
	}
	switch e := event.(type) {
	case Sent:
		m.current.sent = true
		m.current.incarnation = e.Incarnation
	case NotSent:
		m.notSent(now)
	case Chunk:
		m.chunk(now, e.Frame)
	case Final:
		m.final(now, e.Frame)
	case Refusal:
		m.refusal(now, e.Frame)
	case StreamLost:
		m.current.streamLost = true
		m.outcomeUnknown(now, "its stream ended")
	case LinkSilent:
		m.outcomeUnknown(now, "its link is silent")
	case Resolution:
		m.resolution(now, e.Frame)
	case ResolveFailed:
		m.resolveFailed(now)
	}
}

func (m *Machine) inFlight() bool { return m.phase == running || m.phase == resolving }

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) explain(decision, reason string) {
	m.emit(Explain{Decision: decision, Reason: reason})
}

func (m *Machine) timer(now time.Time) {
	switch {
	case m.phase == resolving && !now.Before(m.current.resolveAt):
		m.resolveDue(now)
	case m.phase == routeDelayed && !now.Before(m.routeAt) && now.Before(m.spec.Deadline):
		m.requestRoute(now)
	}
}
