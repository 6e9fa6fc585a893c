package call

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

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
	if e.PrefillServer == "" {
		m.send(now, e.Server, nil)
		return
	}
	m.decode = e.Server
	m.cur.prefill = true
	m.start(e.PrefillServer)
	m.emit(SendStart{
		Attempt:     m.cur.number,
		Server:      e.PrefillServer,
		Budget:      m.spec.Deadline.Sub(now),
		PrefillOnly: true,
	})
}

// send starts the current attempt at server.
func (m *Machine) send(now time.Time, server string, kv *wire.KVTicket) {
	m.start(server)
	m.cur.resumeFrom = m.tokens
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
