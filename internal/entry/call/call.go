// Package call is the state machine of one request at an entry: its attempts,
// what became of them, and what the caller is told.
//
// The machine has no clock, no goroutine and no I/O. Its driver passes events
// to Step and carries out the effects returned; the daemon and the randomised
// runs drive the same machine.
package call

import (
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/verdict"
)

const (
	// MaxAttempts bounds the attempts of one request, whatever the retry
	// budget holds.
	MaxAttempts = 8
	// DefaultMaxAnswer bounds an answer in bytes, which is held until it is
	// whole, or as the text to resume from.
	DefaultMaxAnswer = 8 << 20
	// DeadlineGrace is how long after the deadline the machine waits for the
	// sidecar's answer to the Cancel: a sidecar that had not started the
	// request says so, and the caller learns "not run" in place of "may have
	// run".
	DeadlineGrace = 100 * time.Millisecond
	// ResolveTimeout is how long one Resolve may take.
	ResolveTimeout = time.Second
	// ResolveFor is how long the machine goes on asking for the outcome of a
	// request that may not be repeated. A sidecar that restarted answers
	// within it; a partition may outlast it.
	ResolveFor = 5 * time.Second
	// PollMin and PollMax bound the wait between two Resolves of a request
	// that still runs.
	PollMin = 50 * time.Millisecond
	PollMax = time.Second
	// WaitFor bounds the waits of one request for a planned change to finish,
	// as when a key slot moves to another owner.
	WaitFor = 5 * time.Second
	// WaitMin and WaitMax bound one such wait.
	WaitMin = 50 * time.Millisecond
	WaitMax = 500 * time.Millisecond
	// DefaultRetryAfter is told where nothing names a better time.
	DefaultRetryAfter = time.Second
)

// Spec is what the machine needs to know of a request.
type Spec struct {
	ID       uuid.UUID
	Deadline time.Time
	// Idempotent requests may be tried again after an unknown outcome.
	Idempotent bool
	// Resumable answers can be continued elsewhere from what was delivered, and
	// are delivered piece by piece; others are delivered once they are whole.
	// A resumable request is idempotent.
	Resumable bool
	// Keyed requests carry an idempotency key: their caller may ask again
	// whatever the verdict.
	Keyed bool
	// MaxAnswer bounds the answer in bytes; 0 means DefaultMaxAnswer.
	MaxAnswer int
}

// Machine is the state machine of one request. It is for one goroutine.
type Machine struct {
	spec  Spec
	phase phase
	cur   attempt
	// past holds the verdicts of the attempts before the current one.
	past     []verdict.Verdict
	excluded []string
	// decode is the backend server that waits for the KV cache of a prefill.
	decode string
	// text and tokens are the output delivered.
	text     []byte
	tokens   uint32
	expiring bool
	lastErr  *verdict.Error
	// retry is that of the Route which waits; waitUntil is when it is asked
	// for, waitEnd when waiting ends for good.
	retry     *Retry
	waitUntil time.Time
	waitEnd   time.Time
	effects   []Effect
}

type phase uint8

const (
	idle phase = iota
	// routing: a Route is outstanding, no attempt is.
	routing
	// waiting: a Route will be asked for at waitUntil.
	waiting
	// running: a Start was or is being sent.
	running
	// resolving: the outcome of the attempt is unknown.
	resolving
	ended
)

var (
	foreignFrames = metrics.GetOrRegisterCounter("call.frames.foreign", nil)
	staleEvents   = metrics.GetOrRegisterCounter("call.events.stale", nil)
	repeatedChunk = metrics.GetOrRegisterCounter("call.chunks.out_of_order", nil)
	brokenAnswers = metrics.GetOrRegisterCounter("call.answers.broken", nil)
	resumes       = metrics.GetOrRegisterCounter("call.resumed", nil)
	retries       = metrics.GetOrRegisterCounter("call.retried", nil)
	resolves      = metrics.GetOrRegisterCounter("call.resolves", nil)
)

// New returns the Machine of a request.
func New(spec Spec) *Machine {
	if spec.MaxAnswer <= 0 {
		spec.MaxAnswer = DefaultMaxAnswer
	}
	spec.Idempotent = spec.Idempotent || spec.Resumable
	return &Machine{spec: spec}
}

// Ended reports whether Finish or Fail has been returned.
func (m *Machine) Ended() bool { return m.phase == ended }

// Attempt returns the number of the current attempt, from 1.
func (m *Machine) Attempt() uint32 { return m.cur.number }

// Verdict returns the verdict over all attempts so far.
func (m *Machine) Verdict() verdict.Verdict {
	worst := m.cur.verdict
	for _, v := range m.past {
		worst = verdict.Worst(worst, v)
	}
	return worst
}

// Next returns when the next Timer event is due.
func (m *Machine) NextTimer() time.Time {
	next := m.spec.Deadline
	if m.expiring {
		next = m.spec.Deadline.Add(DeadlineGrace)
	}
	if m.phase == resolving && m.cur.resolveAt.Before(next) {
		next = m.cur.resolveAt
	}
	if m.phase == waiting && m.waitUntil.Before(next) {
		next = m.waitUntil
	}
	return next
}

// Step takes one event and returns the effects to carry out. After the end of
// the request it returns none.
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
		m.callerGone()
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
	m.route(now, nil)
}

// dispatchAttempt takes the events of the current attempt.
func (m *Machine) dispatchAttempt(now time.Time, event Event) {
	of, ok := event.(attemptEvent)
	if !ok || of.attempt() != m.cur.number || !m.inFlight() {
		staleEvents.Inc(1)
		return
	}
	switch e := event.(type) {
	case Sent:
		m.cur.sent = true
		m.cur.incarnation = e.Incarnation
	case NotSent:
		m.notSent(now)
	case Chunk:
		m.chunk(now, e.Frame)
	case Final:
		m.final(now, e.Frame)
	case Refusal:
		m.refused(now, e.Frame)
	case StreamLost:
		m.cur.lost = true
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

func (m *Machine) explain(decision, why string) {
	m.emit(Explain{Decision: decision, Reason: why})
}

func (m *Machine) timer(now time.Time) {
	switch {
	case m.phase == resolving && !now.Before(m.cur.resolveAt):
		m.resolveDue(now)
	case m.phase == waiting && !now.Before(m.waitUntil) && now.Before(m.spec.Deadline):
		m.askRoute(now)
	}
}
