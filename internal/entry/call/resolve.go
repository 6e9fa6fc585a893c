package call

import (
	"bytes"
	"time"

	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// outcomeUnknown asks the sidecar what became of the attempt.
//
// A connection that breaks or goes silent after the Start was sent says
// nothing about the request. Sending it again could run it twice, and telling
// the caller "not run" could be a lie; only the sidecar knows, and it can be
// asked on another connection.
func (m *Machine) outcomeUnknown(now time.Time, why string) {
	if m.phase == resolving {
		return
	}
	if m.cur.prefill {
		m.cancel()
		m.again(now, verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, why))
		return
	}
	m.explain("outcome unknown", "attempt at "+m.cur.server+": "+why)
	m.phase = resolving
	m.cur.progressed = false
	m.cur.poll = PollMin
	m.cur.giveUpAt = now.Add(ResolveFor)
	m.ask(now)
}

func (m *Machine) ask(now time.Time) {
	resolves.Inc(1)
	m.cur.asked = true
	m.cur.resolveAt = now.Add(ResolveTimeout)
	m.emit(Resolve{Attempt: m.cur.number, Server: m.cur.server})
}

// resolveDue asks again, or takes the outstanding Resolve for failed.
func (m *Machine) resolveDue(now time.Time) {
	if m.cur.asked {
		m.resolveFailed(now)
		return
	}
	m.ask(now)
}

func (m *Machine) pollLater(now time.Time) {
	m.cur.asked = false
	m.cur.resolveAt = now.Add(m.cur.poll)
	m.cur.poll = min(2*m.cur.poll, PollMax)
}

func (m *Machine) resolveFailed(now time.Time) {
	if m.phase != resolving || !m.cur.asked {
		staleEvents.Inc(1)
		return
	}
	if m.spec.Idempotent || !now.Before(m.cur.giveUpAt) {
		m.stayUnknown(now, "the sidecar cannot be asked for the outcome")
		return
	}
	m.pollLater(now)
}

// stayUnknown ends the attempt as one that may have run.
func (m *Machine) stayUnknown(now time.Time, why string) {
	m.cancel()
	m.again(now, verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, why))
}

func (m *Machine) resolution(now time.Time, r *wire.Resolution) {
	if !bytes.Equal(r.GetRequestId(), m.spec.ID[:]) {
		foreignFrames.Inc(1)
		return
	}
	if m.phase != resolving {
		staleEvents.Inc(1)
		return
	}
	// A sidecar that restarted has forgotten what it ran. Its honest "never
	// seen" is about its new life only, and taken for "not run" it would run a
	// hold a second time.
	if !m.cur.sent || r.GetIncarnation() != m.cur.incarnation {
		m.stayUnknown(now, "the sidecar has restarted since the attempt")
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
		m.stayUnknown(now, "the sidecar does not know the outcome")
	}
}

func (m *Machine) resolvedNotRun(now time.Time) {
	if m.cur.next > 0 {
		m.stayUnknown(now, "the attempt had begun to answer")
		return
	}
	m.cur.verdict = verdict.NotRun
	m.cancel()
	m.again(now, verdict.New(verdict.NotRun, verdict.CodeNoBackend, "the request did not reach the backend server"))
}

// resolvedRunning waits for a request that still runs. A stream that can be
// resumed is taken over on the new connection, unless its link recovered.
func (m *Machine) resolvedRunning(now time.Time) {
	if !m.spec.Resumable {
		m.pollLater(now)
		return
	}
	if m.cur.progressed && !m.cur.lost {
		m.phase = running
		return
	}
	m.takeOver(now)
}

// takeOver sends the request again to the sidecar that runs it. The sidecar
// joins the new attempt to the run, from what was delivered; the run itself
// goes on.
func (m *Machine) takeOver(now time.Time) {
	server := m.cur.server
	if len(m.past)+1 >= MaxAttempts {
		m.fail(verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "the stream was cut off from its backend server"))
		return
	}
	m.archive()
	m.send(now, server, nil)
}

// resolvedRan takes the answer that the sidecar kept.
func (m *Machine) resolvedRan(now time.Time, r *wire.Resolution) {
	if !m.keptWhole(r) {
		m.cur.verdict = verdict.Ran
		m.cancel()
		if m.spec.Idempotent {
			m.again(now, verdict.New(verdict.Ran, verdict.CodeAnswerBroken, "the answer was not kept"))
			return
		}
		m.fail(verdict.New(verdict.Ran, verdict.CodeAnswerBroken, "the request ran, its answer was not kept"))
		return
	}
	for _, c := range r.GetChunks()[m.cur.next:] {
		m.take(now, c)
		if m.phase == ended {
			return
		}
	}
	m.whole(now, r.GetFinal())
}

// keptWhole reports whether the kept answer is this request's, whole, and
// begins with what was received before.
//
// An attempt that took a running answer over begins in its middle, while the
// sidecar keeps the answer from where the run began. Taken for the attempt's
// own, it would give the caller the beginning once more after what was
// delivered; one notices a draft that starts again in the middle.
func (m *Machine) keptWhole(r *wire.Resolution) bool {
	f := r.GetFinal()
	if f == nil || !m.own(f.GetRequestId(), f.GetAttempt()) || r.GetResumeFrom() != m.cur.resumeFrom {
		return false
	}
	digest := wire.NewDigest()
	for i, c := range r.GetChunks() {
		if uint32(i) == m.cur.next && digest.Sum() != m.cur.digest.Sum() {
			return false
		}
		if !m.own(c.GetRequestId(), c.GetAttempt()) || c.GetSequence() != uint32(i) {
			return false
		}
		digest.Add(c)
	}
	if m.cur.next == digest.Chunks() && digest.Sum() != m.cur.digest.Sum() {
		return false
	}
	return digest.Matches(f) && m.cur.next <= digest.Chunks()
}
