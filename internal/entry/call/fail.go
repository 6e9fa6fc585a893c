package call

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// callerGone gives the request up.
func (m *Machine) callerGone() {
	if m.inFlight() {
		m.cancel()
	}
	m.fail(verdict.New(verdict.NotRun, verdict.CodeCancelled, "the caller went away"))
}

func (m *Machine) cancel() {
	m.emit(Cancel{Attempt: m.cur.number, Server: m.cur.server})
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
	m.fail(verdict.New(verdict.NotRun, verdict.CodeDeadlineExceeded, "the deadline of the request has passed"))
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
	case verdict.CodeOverloaded, verdict.CodeNoBackend, verdict.CodeDraining, verdict.CodeStoreUnavailable,
		verdict.CodeBackendFailed, verdict.CodeAnswerBroken, verdict.CodeOutcomeUnknown, verdict.CodeKeyInProgress:
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
