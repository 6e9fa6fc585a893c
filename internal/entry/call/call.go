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

	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
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
func (m *Machine) Next() time.Time {
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
	case CallerGone:
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
	if number := attemptOf(event); number != m.cur.number || !m.inFlight() {
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
	case LinkLost:
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

func attemptOf(event Event) uint32 {
	switch e := event.(type) {
	case Sent:
		return e.Attempt
	case NotSent:
		return e.Attempt
	case Chunk:
		return e.Attempt
	case Final:
		return e.Attempt
	case Refusal:
		return e.Attempt
	case LinkLost:
		return e.Attempt
	case LinkSilent:
		return e.Attempt
	case Resolution:
		return e.Attempt
	case ResolveFailed:
		return e.Attempt
	}
	return 0
}

func (m *Machine) inFlight() bool { return m.phase == running || m.phase == resolving }

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) explain(decision, why string) {
	m.emit(Explain{Decision: decision, Why: why})
}

// route asks for a backend server for the next attempt.
func (m *Machine) route(now time.Time, retry *Retry) {
	m.archive()
	m.retry = retry
	m.askRoute(now)
}

// routeLater does so after a while.
func (m *Machine) routeLater(now time.Time, retry *Retry, after time.Duration) {
	m.archive()
	m.retry = retry
	m.wait(now, after)
}

func (m *Machine) wait(now time.Time, after time.Duration) {
	m.phase = waiting
	m.waitUntil = now.Add(min(max(after, WaitMin), WaitMax))
}

// mayWait reports whether the request may go on waiting.
func (m *Machine) mayWait(now time.Time) bool {
	if m.waitEnd.IsZero() {
		m.waitEnd = now.Add(WaitFor)
	}
	return now.Before(m.waitEnd)
}

func (m *Machine) askRoute(now time.Time) {
	m.phase = routing
	m.decode = ""
	m.emit(Route{
		Attempt:   m.cur.number,
		Excluded:  append([]string(nil), m.excluded...),
		Retry:     m.retry,
		Resume:    m.tokens > 0,
		Remaining: m.spec.Deadline.Sub(now),
	})
}

// archive makes way for the next attempt.
func (m *Machine) archive() {
	if m.cur.number > 0 {
		m.past = append(m.past, m.cur.verdict)
	}
	m.cur = attempt{number: m.cur.number + 1, digest: wire.NewDigest()}
}

func (m *Machine) routed(now time.Time, e Routed) {
	if m.phase != routing || e.Attempt != m.cur.number {
		staleEvents.Inc(1)
		return
	}
	if e.Prefill == "" {
		m.send(now, e.Server, nil)
		return
	}
	m.decode = e.Server
	m.cur.prefill = true
	m.start(e.Prefill)
	m.emit(SendStart{
		Attempt:     m.cur.number,
		Server:      e.Prefill,
		Budget:      m.spec.Deadline.Sub(now),
		PrefillOnly: true,
	})
}

// send starts the current attempt at server.
func (m *Machine) send(now time.Time, server string, kv *wire.KVTicket) {
	m.start(server)
	if m.tokens > 0 {
		resumes.Inc(1)
		m.explain("resumed", "the answer goes on at "+server)
	}
	m.emit(SendStart{
		Attempt:    m.cur.number,
		Server:     server,
		Budget:     m.spec.Deadline.Sub(now),
		KV:         kv,
		ResumeFrom: m.tokens,
		ResumeText: string(m.text),
	})
}

// start notes that the attempt may run from here on: an attempt whose fate is
// not known later must never count as "not run".
func (m *Machine) start(server string) {
	m.phase = running
	m.cur.server = server
	m.cur.verdict = verdict.MayHaveRun
	m.checkRepeat()
}

// checkRepeat asserts that a request which may not be repeated is sent again
// only after attempts that certainly did not run.
func (m *Machine) checkRepeat() {
	if m.spec.Idempotent {
		return
	}
	for _, v := range m.past {
		invariant.Check(v == verdict.NotRun, "runs at most once",
			"request %s is sent again after an attempt that %s", m.spec.ID, v)
	}
}

func (m *Machine) unroutable(now time.Time, e Unroutable) {
	if m.phase != routing || e.Attempt != m.cur.number {
		staleEvents.Inc(1)
		return
	}
	if e.RetryIn > 0 && m.mayWait(now) {
		m.wait(now, e.RetryIn)
		return
	}
	err := e.Err
	if m.lastErr != nil {
		m.explain("gave up", err.Message)
		err = m.lastErr
		err.RetryAfter = max(err.RetryAfter, e.Err.RetryAfter)
	}
	m.fail(err)
}

func (m *Machine) callerGone() {
	if m.inFlight() {
		m.cancel()
	}
	m.fail(verdict.New(verdict.NotRun, verdict.CodeCancelled, "the caller went away"))
}

func (m *Machine) cancel() {
	m.emit(Cancel{Attempt: m.cur.number, Server: m.cur.server})
}

func (m *Machine) timer(now time.Time) {
	switch {
	case m.phase == resolving && !now.Before(m.cur.resolveAt):
		m.resolveDue(now)
	case m.phase == waiting && !now.Before(m.waitUntil) && now.Before(m.spec.Deadline):
		m.askRoute(now)
	}
}

// checkDeadline gives the request up once its time has passed.
func (m *Machine) checkDeadline(now time.Time) {
	if now.Before(m.spec.Deadline) {
		return
	}
	if !m.inFlight() {
		m.failDeadline()
		return
	}
	if !m.expiring {
		m.expiring = true
		m.cancel()
	}
	if !now.Before(m.spec.Deadline.Add(DeadlineGrace)) {
		m.failDeadline()
	}
}

func (m *Machine) failDeadline() {
	m.fail(verdict.New(verdict.NotRun, verdict.CodeDeadline, "the deadline of the request has passed"))
}

// fail ends the request. The caller gets the verdict over all attempts: the
// last attempt's alone could say "not run" while the first one runs.
func (m *Machine) fail(err *verdict.Error) {
	told := *err
	told.Verdict = verdict.Worst(told.Verdict, m.Verdict())
	told.RetryAfter = m.retryAfter(told)
	m.checkVerdict(told.Verdict)
	m.explain("failed", told.Error())
	m.emit(Fail{Err: &told})
	m.phase = ended
}

// retryAfter tells when asking again makes sense, 0 if it does not: the same
// call would run twice, or fail in the same way.
func (m *Machine) retryAfter(told verdict.Error) time.Duration {
	repeatable := told.Verdict == verdict.NotRun || m.spec.Idempotent || m.spec.Keyed
	switch {
	case !repeatable || told.Verdict == verdict.Ran && !m.spec.Idempotent:
		return 0
	case told.RetryAfter > 0:
		return told.RetryAfter
	case isTemporary(told.Code):
		return DefaultRetryAfter
	default:
		return 0
	}
}

func isTemporary(code verdict.Code) bool {
	switch code {
	case verdict.CodeOverloaded, verdict.CodeNoBackend, verdict.CodeDraining, verdict.CodeStore,
		verdict.CodeBackend, verdict.CodeBroken, verdict.CodeUnknownResult, verdict.CodeKeyInUse:
		return true
	default:
		return false
	}
}

// checkVerdict asserts that "not run" is told only when no attempt may have
// run.
func (m *Machine) checkVerdict(told verdict.Verdict) {
	if told != verdict.NotRun {
		return
	}
	invariant.Check(m.cur.verdict == verdict.NotRun && m.tokens == 0, "not run is true",
		"request %s: attempt %d %s", m.spec.ID, m.cur.number, m.cur.verdict)
	for i, v := range m.past {
		invariant.Check(v == verdict.NotRun, "not run is true",
			"request %s: attempt %d %s", m.spec.ID, i+1, v)
	}
}
