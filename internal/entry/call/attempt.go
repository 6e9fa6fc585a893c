package call

import (
	"bytes"
	"time"

	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// attempt is the state of one Start and of the frames received for it.
type attempt struct {
	number      uint32
	server      string
	incarnation string
	prefill     bool
	sent        bool
	streamLost  bool
	verdict     verdict.Verdict

	// resumeFrom is the index of the output token that the attempt's answer
	// begins with.
	resumeFrom uint32
	// nextSequence is the sequence number of the next expected chunk; digest
	// covers the chunks before it.
	nextSequence uint32
	digest       *wire.Digest
	// buffered is the answer so far of a request that is not resumable.
	buffered       []byte
	bufferedTokens uint32

	// resolvePending reports that a Resolve is outstanding. resolveAt is when
	// that one times out, or when the next one is due.
	resolvePending  bool
	resolveAt       time.Time
	resolveDeadline time.Time
	pollInterval    time.Duration
	// streamActive reports that a chunk arrived after the outcome became unknown.
	streamActive bool
}

// belongsToAttempt reports whether a frame belongs to the current attempt of
// this request, and counts the frames that do not.
//
// Frames of another request or an earlier attempt can arrive when a peer mixes
// up its streams or stores a result under the wrong id. Passing them on would
// mix another caller's text into this answer without either caller noticing,
// so they are dropped.
func (m *Machine) belongsToAttempt(id []byte, number uint32) bool {
	if bytes.Equal(id, m.spec.ID[:]) && number == m.current.number {
		return true
	}
	mismatchedFrames.Inc(1)
	return false
}

func (m *Machine) chunk(now time.Time, c *wire.Chunk) {
	if !m.belongsToAttempt(c.GetRequestId(), c.GetAttempt()) {
		return
	}
	if c.GetSequence() != m.current.nextSequence {
		outOfOrderChunks.Inc(1)
		return
	}
	m.current.streamActive = true
	m.appendChunk(now, c)
}

// appendChunk adds the next expected chunk to the answer.
func (m *Machine) appendChunk(now time.Time, c *wire.Chunk) {
	invariant.Check(c.GetSequence() == m.current.nextSequence, "own whole answer",
		"request %s: got chunk %d, expected %d", m.spec.ID, c.GetSequence(), m.current.nextSequence)
	m.current.nextSequence++
	m.current.digest.Add(c)
	// A planned change after this chunk is a new one, with its full MaxChangeWait.
	m.waitDeadline = time.Time{}
	if len(m.deliveredText)+len(m.current.buffered)+len(c.GetData()) > m.spec.MaxAnswerBytes {
		m.cancel()
		m.fail(verdict.New(verdict.MayHaveRun, verdict.CodeAnswerBroken, "the answer is too large"))
		return
	}
	if m.current.prefill {
		return
	}
	if !m.spec.Resumable {
		m.current.buffered = append(m.current.buffered, c.GetData()...)
		m.current.bufferedTokens += c.GetTokens()
		return
	}
	m.deliveredText = append(m.deliveredText, c.GetData()...)
	m.deliver(c.GetData(), c.GetTokens())
}

func (m *Machine) deliver(data []byte, tokens uint32) {
	m.deliveredTokens += tokens
	m.emit(Deliver{Data: data, Tokens: tokens})
}

// final handles the Final frame: it completes the attempt, or resolves its
// outcome if chunks are missing.
func (m *Machine) final(now time.Time, f *wire.Final) {
	if !m.belongsToAttempt(f.GetRequestId(), f.GetAttempt()) {
		return
	}
	if !m.current.digest.Matches(f) {
		incompleteAnswers.Inc(1)
		m.current.streamLost = true
		m.outcomeUnknown(now, "its answer has gaps")
		return
	}
	m.answerComplete(now, f)
}

// answerComplete completes an attempt after all of its chunks were received.
func (m *Machine) answerComplete(now time.Time, f *wire.Final) {
	m.current.verdict = verdict.Ran
	if m.current.prefill {
		// The prefill is only the first phase of the request.
		m.current.verdict = verdict.MayHaveRun
		m.startDecode(now, f.GetKv(), "prefilled at "+m.current.server)
		return
	}
	invariant.Check(m.current.digest.Matches(f), "own whole answer",
		"request %s ends after %d chunks of %d", m.spec.ID, m.current.nextSequence, f.GetChunks())
	if !m.spec.Resumable {
		m.deliver(m.current.buffered, m.current.bufferedTokens)
	}
	m.emit(Finish{Final: f, Tokens: m.deliveredTokens, Server: m.current.server})
	m.phase = ended
}

// startDecode moves on from the prefill attempt to the decode engine. Without a
// KV ticket the decode engine prefills the prompt itself.
func (m *Machine) startDecode(now time.Time, kv *wire.KVTicket, reason string) {
	server := m.decodeServer
	m.explain("decode at "+server, reason)
	m.beginAttempt()
	m.decodeServer = ""
	m.sendStart(now, server, kv)
}

// notSent records that the attempt did not run; it is ignored if the attempt was
// sent.
func (m *Machine) notSent(now time.Time) {
	if m.current.sent || m.current.nextSequence > 0 {
		staleEvents.Inc(1)
		return
	}
	m.current.verdict = verdict.NotRun
	m.retryOrFail(now, verdict.New(verdict.NotRun, verdict.CodeNoBackend, "the backend server cannot be reached"))
}

func (m *Machine) refusal(now time.Time, r *wire.Refusal) {
	if !m.belongsToAttempt(r.GetRequestId(), r.GetAttempt()) {
		return
	}
	err := &verdict.Error{
		Verdict:    verdictOf(r.GetVerdict()),
		Code:       verdict.Code(r.GetCode()),
		Message:    r.GetMessage(),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
	if m.current.nextSequence > 0 {
		// An attempt that sent a chunk has started, whatever verdict its refusal
		// carries.
		err.Verdict = verdict.Worst(err.Verdict, verdict.MayHaveRun)
	}
	m.current.verdict = err.Verdict
	if !m.current.prefill && isTerminal(err) {
		m.fail(err)
		return
	}
	m.retryOrFail(now, err)
}

func verdictOf(v wire.Verdict) verdict.Verdict {
	switch v {
	case wire.Verdict_VERDICT_NOT_RUN:
		return verdict.NotRun
	case wire.Verdict_VERDICT_RAN:
		return verdict.Ran
	default:
		return verdict.MayHaveRun
	}
}

// isTerminal reports whether a retry at another backend server is pointless or
// not allowed: it would be rejected as well, or the request has already run.
func isTerminal(err *verdict.Error) bool {
	switch err.Code {
	case verdict.CodeBadRequest, verdict.CodeTooLarge, verdict.CodeKeyInProgress, verdict.CodeKeyReused,
		verdict.CodeDeadlineExceeded, verdict.CodeCancelled, verdict.CodeStoreUnavailable:
		return true
	default:
		return err.Verdict == verdict.Ran
	}
}

// retryOrFail starts another attempt after the current one failed with err, or
// fails the request if its verdict or MaxAttempts does not allow one.
func (m *Machine) retryOrFail(now time.Time, err *verdict.Error) {
	if m.current.prefill && !m.deadlinePassed {
		m.startDecode(now, nil, "no prefill at "+m.current.server+": "+err.Message)
		return
	}
	if m.deadlinePassed {
		m.failDeadlineExceeded()
		return
	}
	notRun := m.current.verdict == verdict.NotRun
	if len(m.pastVerdicts)+1 >= MaxAttempts || (!notRun && !m.spec.Idempotent) {
		m.fail(err)
		return
	}
	m.lastErr = err
	retries.Inc(1)
	m.explain("tried again", "attempt at "+m.current.server+": "+err.Error())
	retry := &Retry{NotRun: notRun, Sent: m.current.sent, ServerDraining: err.Code == verdict.CodeDraining}
	if m.spec.Keyed {
		m.retryKeyed(now, err, retry)
		return
	}
	m.excluded = append(m.excluded, m.current.server)
	m.routeNext(now, retry)
}

// retryKeyed retries a keyed request after a delay: only the owner of its key
// slot may run it, and the slot is moving, or its owner restarting or busy.
func (m *Machine) retryKeyed(now time.Time, err *verdict.Error, retry *Retry) {
	if !m.mayWaitLonger(now) {
		m.fail(err)
		return
	}
	m.routeNextAfter(now, retry, err.RetryAfter)
}
