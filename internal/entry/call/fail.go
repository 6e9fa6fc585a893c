package call

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// callerDisconnected cancels the request.
func (m *Machine) callerDisconnected() {
	if m.inFlight() {
		m.cancel()
	}
	m.fail(verdict.New(verdict.NotRun, verdict.CodeCancelled, "the caller went away"))
}

// shutDown cancels the request with what is known of its attempts.
func (m *Machine) shutDown() {
	if m.inFlight() {
		m.cancel()
	}
	code := verdict.CodeDraining
	if m.Verdict() != verdict.NotRun {
		code = verdict.CodeOutcomeUnknown
	}
	m.fail(verdict.New(verdict.NotRun, code, "the entry is shutting down"))
}

func (m *Machine) cancel() {
	m.emit(Cancel{Attempt: m.current.number, Server: m.current.server})
}

// checkDeadline cancels the attempt in flight once the deadline has passed, and
// fails the request when DeadlineGrace has elapsed as well.
func (m *Machine) checkDeadline(now time.Time) {
	if now.Before(m.spec.Deadline) {
		return
	}
	if !m.inFlight() {
		m.failDeadlineExceeded()
		return
	}
	if !m.deadlinePassed {
		m.deadlinePassed = true
		m.cancel()
	}
	if !now.Before(m.spec.Deadline.Add(DeadlineGrace)) {
		m.failDeadlineExceeded()
	}
}

func (m *Machine) failDeadlineExceeded() {
	m.fail(verdict.New(verdict.NotRun, verdict.CodeDeadlineExceeded, "the deadline of the request has passed"))
}

// fail ends the request. The caller gets the worst verdict of all attempts: that
// of the last attempt alone could be "not run" while an earlier one is running.
func (m *Machine) fail(err *verdict.Error) {
	reported := *err
	reported.Verdict = verdict.Worst(reported.Verdict, m.Verdict())
	reported.RetryAfter = m.retryAfter(reported)
	m.checkVerdict(reported.Verdict)
	m.explain("failed", reported.Error())
	m.emit(Fail{Err: &reported})
	m.phase = ended
}

// retryAfter returns the delay after which the caller may retry, or 0 if a retry
// would run the request twice or fail in the same way.
func (m *Machine) retryAfter(reported verdict.Error) time.Duration {
	repeatable := reported.Verdict == verdict.NotRun || m.spec.Idempotent || m.spec.Keyed
	switch {
	case !repeatable || reported.Verdict == verdict.Ran && !m.spec.Idempotent:
		return 0
	case reported.RetryAfter > 0:
		return reported.RetryAfter
	case isTemporary(reported.Code):
		return DefaultRetryAfter
	default:
		return 0
	}
}

func isTemporary(code verdict.Code) bool {
	switch code {
	case verdict.CodeOverloaded, verdict.CodeNoBackend, verdict.CodeDraining, verdict.CodeStoreUnavailable,
		verdict.CodeBackendFailed, verdict.CodeAnswerBroken, verdict.CodeOutcomeUnknown, verdict.CodeKeyInProgress:
		return true
	default:
		return false
	}
}

// checkVerdict asserts that the caller gets "not run" only if no attempt may
// have run.
func (m *Machine) checkVerdict(reported verdict.Verdict) {
	if reported != verdict.NotRun {
		return
	}
	invariant.Check(m.current.verdict == verdict.NotRun && m.deliveredTokens == 0, "not run is true",
		"request %s: attempt %d %s", m.spec.ID, m.current.number, m.current.verdict)
	for i, v := range m.pastVerdicts {
		invariant.Check(v == verdict.NotRun, "not run is true",
			"request %s: attempt %d %s", m.spec.ID, i+1, v)
	}
}
