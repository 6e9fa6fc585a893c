package call

import (
	"bytes"
	"time"

	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// outcomeUnknown queries the sidecar for the outcome of the attempt.
//
// If the connection breaks or goes silent after the Start was sent, the request
// may or may not have run. Sending it again could run it twice, and reporting
// "not run" could be false; only the sidecar knows the outcome, and it can be
// queried on another connection. After a lost prefill no query is needed: the
// decode engine prefills the prompt itself.
func (m *Machine) outcomeUnknown(now time.Time, reason string) {
	if m.phase == resolving {
		return
	}
	if m.current.prefill {
		m.cancel()
		m.retryOrFail(now, verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, reason))
		return
	}
	m.explain("outcome unknown", "attempt at "+m.current.server+": "+reason)
	m.phase = resolving
	m.current.streamActive = false
	m.current.pollInterval = MinPollInterval
	m.current.resolveDeadline = now.Add(MaxResolveDuration)
	m.sendResolve(now)
}

func (m *Machine) sendResolve(now time.Time) {
	resolves.Inc(1)
	m.current.resolvePending = true
	m.current.resolveAt = now.Add(ResolveTimeout)
	m.emit(Resolve{Attempt: m.current.number, Server: m.current.server})
}

// resolveDue times out the outstanding Resolve, or sends the next one.
func (m *Machine) resolveDue(now time.Time) {
	if m.current.resolvePending {
		m.resolveFailed(now)
		return
	}
	m.sendResolve(now)
}

func (m *Machine) schedulePoll(now time.Time) {
	m.current.resolvePending = false
	m.current.resolveAt = now.Add(m.current.pollInterval)
	m.current.pollInterval = min(2*m.current.pollInterval, MaxPollInterval)
}

func (m *Machine) resolveFailed(now time.Time) {
	if m.phase != resolving || !m.current.resolvePending {
		staleEvents.Inc(1)
		return
	}
	if m.spec.Idempotent || !now.Before(m.current.resolveDeadline) {
		m.endUnresolved(now, "the sidecar cannot be asked for the outcome")
		return
	}
	m.schedulePoll(now)
}

// endUnresolved ends the attempt with the verdict that it may have run.
func (m *Machine) endUnresolved(now time.Time, reason string) {
	m.cancel()
	m.retryOrFail(now, verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, reason))
}

func (m *Machine) resolution(now time.Time, r *wire.Resolution) {
	if !bytes.Equal(r.GetRequestId(), m.spec.ID[:]) {
		mismatchedFrames.Inc(1)
		return
	}
	if m.phase != resolving {
		staleEvents.Inc(1)
		return
	}
	// A sidecar loses its records in a restart. "Not run" from a later
	// incarnation says nothing about the attempt, and trusting it could run a
	// non-repeatable request a second time.
	if !m.current.sent || r.GetIncarnation() != m.current.incarnation {
		m.endUnresolved(now, "the sidecar has restarted since the attempt")
		return
	}
	switch r.GetOutcome() {
	case wire.Outcome_OUTCOME_NOT_RUN:
		m.resolvedNotRun(now)
	case wire.Outcome_OUTCOME_RUNNING:
		m.resolvedRunning(now)
	case wire.Outcome_OUTCOME_RAN:
		m.resolvedRan(now, r)
	default:
		m.endUnresolved(now, "the sidecar does not know the outcome")
	}
}

func (m *Machine) resolvedNotRun(now time.Time) {
	if m.current.nextSequence > 0 {
		m.endUnresolved(now, "the attempt had begun to answer")
		return
	}
	m.current.verdict = verdict.NotRun
	m.cancel()
	m.retryOrFail(now, verdict.New(verdict.NotRun, verdict.CodeNoBackend, "the request did not reach the backend server"))
}

// resolvedRunning waits for a request that is still running. A resumable stream
// is reattached on a new connection, unless the old one has recovered.
func (m *Machine) resolvedRunning(now time.Time) {
	if !m.spec.Resumable {
		m.schedulePoll(now)
		return
	}
	if m.current.streamActive && !m.current.streamLost {
		m.phase = running
		return
	}
	m.reattach(now)
}

// reattach sends the request again to the sidecar that is running it. The
// sidecar attaches the new attempt to the running answer, from the point that
// was delivered; it does not run the request again.
func (m *Machine) reattach(now time.Time) {
	server := m.current.server
	if len(m.pastVerdicts)+1 >= MaxAttempts {
		m.fail(verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "the stream was cut off from its backend server"))
		return
	}
	m.beginAttempt()
	m.sendStart(now, server, nil)
}

// resolvedRan completes the attempt from the answer that the sidecar stored.
func (m *Machine) resolvedRan(now time.Time, r *wire.Resolution) {
	if !m.isUsableAnswer(r) {
		m.current.verdict = verdict.Ran
		m.cancel()
		if m.spec.Idempotent {
			m.retryOrFail(now, verdict.New(verdict.Ran, verdict.CodeAnswerBroken, "the answer was not kept"))
			return
		}
		m.fail(verdict.New(verdict.Ran, verdict.CodeAnswerBroken, "the request ran, its answer was not kept"))
		return
	}
	for _, c := range r.GetChunks()[m.current.nextSequence:] {
		m.appendChunk(now, c)
		if m.phase == ended {
			return
		}
	}
	m.answerComplete(now, r.GetFinal())
}

// isUsableAnswer reports whether the stored answer belongs to this attempt, is
// complete, and begins with the chunks already received.
//
// An attempt that was reattached to a running answer begins in its middle, while
// the sidecar stores the answer from where the run began. Without the check of
// ResumeFrom the caller would get the beginning again after what was delivered.
func (m *Machine) isUsableAnswer(r *wire.Resolution) bool {
	f := r.GetFinal()
	if f == nil || !m.belongsToAttempt(f.GetRequestId(), f.GetAttempt()) || r.GetResumeFrom() != m.current.resumeFrom {
		return false
	}
	digest := wire.NewDigest()
	for i, c := range r.GetChunks() {
		if uint32(i) == m.current.nextSequence && digest.Sum() != m.current.digest.Sum() {
			return false
		}
		if !m.belongsToAttempt(c.GetRequestId(), c.GetAttempt()) || c.GetSequence() != uint32(i) {
			return false
		}
		digest.Add(c)
	}
	if m.current.nextSequence == digest.Chunks() && digest.Sum() != m.current.digest.Sum() {
		return false
	}
	return digest.Matches(f) && m.current.nextSequence <= digest.Chunks()
}
