package call

import (
	"bytes"
	"time"

	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// attempt is one Start and what came back for it.
type attempt struct {
	number      uint32
	server      string
	incarnation string
	prefill     bool
	sent        bool
	lost        bool
	verdict     verdict.Verdict

	// resumeFrom is the output token that the attempt's answer begins with.
	resumeFrom uint32
	// next is the sequence number of the chunk that is due; digest sums up
	// those before it.
	next   uint32
	digest *wire.Digest
	// held is the answer so far of a request that cannot be resumed.
	held       []byte
	heldTokens uint32

	// asked says that a Resolve is outstanding; resolveAt is when to ask again,
	// or when to stop waiting for the answer.
	asked     bool
	resolveAt time.Time
	giveUpAt  time.Time
	poll      time.Duration
	// progressed says that a chunk came after the outcome became unknown.
	progressed bool
}

// own reports whether a frame belongs to the current attempt of this request.
//
// Frames that answer another request, or an earlier attempt, can turn up when
// a peer mixes up its streams or a result is kept under the wrong id. Passed
// on, they would put a stranger's text into this caller's answer, and neither
// caller could tell. They are dropped and counted.
func (m *Machine) own(id []byte, number uint32) bool {
	if bytes.Equal(id, m.spec.ID[:]) && number == m.cur.number {
		return true
	}
	foreignFrames.Inc(1)
	return false
}

func (m *Machine) chunk(now time.Time, c *wire.Chunk) {
	if !m.own(c.GetRequestId(), c.GetAttempt()) {
		return
	}
	if c.GetSequence() != m.cur.next {
		repeatedChunk.Inc(1)
		return
	}
	m.cur.progressed = true
	m.take(now, c)
}

// take adds the chunk that is due to the answer.
func (m *Machine) take(now time.Time, c *wire.Chunk) {
	invariant.Check(c.GetSequence() == m.cur.next, "own whole answer",
		"request %s: chunk %d in place of %d", m.spec.ID, c.GetSequence(), m.cur.next)
	m.cur.next++
	m.cur.digest.Add(c)
	// The next planned change is another one, with a wait of its own.
	m.waitEnd = time.Time{}
	if len(m.text)+len(m.cur.held)+len(c.GetData()) > m.spec.MaxAnswer {
		m.cancel()
		m.fail(verdict.New(verdict.MayHaveRun, verdict.CodeAnswerBroken, "the answer is too large"))
		return
	}
	if m.cur.prefill {
		return
	}
	if !m.spec.Resumable {
		m.cur.held = append(m.cur.held, c.GetData()...)
		m.cur.heldTokens += c.GetTokens()
		return
	}
	m.text = append(m.text, c.GetData()...)
	m.deliver(c.GetData(), c.GetTokens())
}

func (m *Machine) deliver(data []byte, tokens uint32) {
	m.tokens += tokens
	m.emit(Deliver{Data: data, Tokens: tokens})
}

// final ends the attempt if its answer is whole.
func (m *Machine) final(now time.Time, f *wire.Final) {
	if !m.own(f.GetRequestId(), f.GetAttempt()) {
		return
	}
	if !m.cur.digest.Matches(f) {
		brokenAnswers.Inc(1)
		m.cur.lost = true
		m.outcomeUnknown(now, "its answer has gaps")
		return
	}
	m.whole(now, f)
}

// whole takes the end of an answer of which nothing is missing.
func (m *Machine) whole(now time.Time, f *wire.Final) {
	m.cur.verdict = verdict.Ran
	if m.cur.prefill {
		// The prefill is only a part of the request.
		m.cur.verdict = verdict.MayHaveRun
		m.decodeNow(now, f.GetKv(), "prefilled at "+m.cur.server)
		return
	}
	invariant.Check(m.cur.digest.Matches(f), "own whole answer",
		"request %s ends after %d chunks of %d", m.spec.ID, m.cur.next, f.GetChunks())
	if !m.spec.Resumable {
		m.deliver(m.cur.held, m.cur.heldTokens)
	}
	m.emit(Finish{Final: f, Tokens: m.tokens, Server: m.cur.server})
	m.phase = ended
}

// decodeNow goes from the prefill to the decode engine. Without a ticket that
// engine prefills the prompt itself.
func (m *Machine) decodeNow(now time.Time, kv *wire.KVTicket, why string) {
	server := m.decode
	m.explain("decode at "+server, why)
	m.archive()
	m.decode = ""
	m.send(now, server, kv)
}

// notSent takes back that the attempt may run.
func (m *Machine) notSent(now time.Time) {
	if m.cur.sent || m.cur.next > 0 {
		staleEvents.Inc(1)
		return
	}
	m.cur.verdict = verdict.NotRun
	m.again(now, verdict.New(verdict.NotRun, verdict.CodeNoBackend, "the backend server cannot be reached"))
}

func (m *Machine) refused(now time.Time, r *wire.Refusal) {
	if !m.own(r.GetRequestId(), r.GetAttempt()) {
		return
	}
	err := &verdict.Error{
		Verdict:    verdictOf(r.GetVerdict()),
		Code:       verdict.Code(r.GetCode()),
		Message:    r.GetMessage(),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
	if m.cur.next > 0 {
		// An attempt that began to answer did run, whatever its refusal says.
		err.Verdict = verdict.Worst(err.Verdict, verdict.MayHaveRun)
	}
	m.cur.verdict = err.Verdict
	if !m.cur.prefill && isFinal(err) {
		m.fail(err)
		return
	}
	m.again(now, err)
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

// isFinal reports whether another backend server would refuse as well.
func isFinal(err *verdict.Error) bool {
	switch err.Code {
	case verdict.CodeBadRequest, verdict.CodeTooLarge, verdict.CodeKeyInProgress, verdict.CodeKeyReused,
		verdict.CodeDeadlineExceeded, verdict.CodeCancelled, verdict.CodeStoreUnavailable:
		return true
	default:
		return err.Verdict == verdict.Ran
	}
}

// again makes another attempt where the verdict allows one, after the current
// one ended with err.
func (m *Machine) again(now time.Time, err *verdict.Error) {
	if m.cur.prefill && !m.expiring {
		m.decodeNow(now, nil, "no prefill at "+m.cur.server+": "+err.Message)
		return
	}
	if m.expiring {
		m.failDeadline()
		return
	}
	notRun := m.cur.verdict == verdict.NotRun
	if len(m.past)+1 >= MaxAttempts || (!notRun && !m.spec.Idempotent) {
		m.fail(err)
		return
	}
	m.lastErr = err
	retries.Inc(1)
	m.explain("tried again", "attempt at "+m.cur.server+": "+err.Error())
	retry := &Retry{NotRun: notRun, Sent: m.cur.sent, ServerDraining: err.Code == verdict.CodeDraining}
	if m.spec.Keyed {
		m.againKeyed(now, err, retry)
		return
	}
	m.excluded = append(m.excluded, m.cur.server)
	m.route(now, retry)
}

// againKeyed waits: only the owner of the key slot may run the request, and
// that is moving, restarting or busy.
func (m *Machine) againKeyed(now time.Time, err *verdict.Error, retry *Retry) {
	if !m.mayWait(now) {
		m.fail(err)
		return
	}
	m.routeLater(now, retry, err.RetryAfter)
}
