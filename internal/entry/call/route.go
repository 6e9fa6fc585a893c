package call

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// routeNext requests a backend server for the next attempt.
func (m *Machine) routeNext(now time.Time, retry *Retry) {
	m.beginAttempt()
	m.retry = retry
	m.requestRoute(now)
}

// routeNextAfter is routeNext after a delay.
func (m *Machine) routeNextAfter(now time.Time, retry *Retry, after time.Duration) {
	m.beginAttempt()
	m.retry = retry
	m.delayRoute(now, after)
}

func (m *Machine) delayRoute(now time.Time, after time.Duration) {
	m.phase = routeDelayed
	m.routeAt = now.Add(min(max(after, MinRouteDelay), MaxRouteDelay))
}

// mayWaitLonger reports whether the wait for the planned change is still within
// MaxChangeWait; the first call starts it.
func (m *Machine) mayWaitLonger(now time.Time) bool {
	if m.waitDeadline.IsZero() {
		m.waitDeadline = now.Add(MaxChangeWait)
	}
	return now.Before(m.waitDeadline)
}

func (m *Machine) requestRoute(now time.Time) {
	m.phase = routing
	m.decodeServer = ""
	m.emit(Route{
		Attempt:   m.current.number,
		Excluded:  append([]string(nil), m.excluded...),
		Retry:     m.retry,
		Resume:    m.deliveredTokens > 0,
		Remaining: m.spec.Deadline.Sub(now),
	})
}

// beginAttempt archives the verdict of the current attempt and makes the next one
// current.
func (m *Machine) beginAttempt() {
	if m.current.number > 0 {
		m.pastVerdicts = append(m.pastVerdicts, m.current.verdict)
	}
	m.current = attempt{number: m.current.number + 1, digest: wire.NewDigest()}
}

func (m *Machine) routed(now time.Time, e Routed) {
	if m.phase != routing || e.Attempt != m.current.number {
		staleEvents.Inc(1)
		return
	}
	if e.PrefillServer == "" {
		m.sendStart(now, e.Server, nil)
		return
	}
	m.decodeServer = e.Server
	m.current.prefill = true
	m.markStarted(e.PrefillServer)
	m.emit(SendStart{
		Attempt:     m.current.number,
		Server:      e.PrefillServer,
		Budget:      m.spec.Deadline.Sub(now),
		PrefillOnly: true,
	})
}

// sendStart sends the current attempt to server.
func (m *Machine) sendStart(now time.Time, server string, kv *wire.KVTicket) {
	m.markStarted(server)
	m.current.resumeFrom = m.deliveredTokens
	if m.deliveredTokens > 0 {
		resumes.Inc(1)
		m.explain("resumed", "the answer goes on at "+server)
	}
	m.emit(SendStart{
		Attempt:    m.current.number,
		Server:     server,
		Budget:     m.spec.Deadline.Sub(now),
		KV:         kv,
		ResumeFrom: m.deliveredTokens,
		ResumeText: string(m.deliveredText),
	})
}

// markStarted records that the attempt may run from now on: an attempt whose
// outcome stays unknown must never count as "not run".
func (m *Machine) markStarted(server string) {
	m.phase = running
	m.current.server = server
	m.current.verdict = verdict.MayHaveRun
	m.checkNotRepeated()
}

// checkNotRepeated asserts that a non-idempotent request is sent again only after
// attempts that certainly did not run.
func (m *Machine) checkNotRepeated() {
	if m.spec.Idempotent {
		return
	}
	for _, v := range m.pastVerdicts {
		invariant.Check(v == verdict.NotRun, "runs at most once",
			"request %s is sent again after an attempt that %s", m.spec.ID, v)
	}
}

func (m *Machine) unroutable(now time.Time, e Unroutable) {
	if m.phase != routing || e.Attempt != m.current.number {
		staleEvents.Inc(1)
		return
	}
	if e.RetryIn > 0 && m.mayWaitLonger(now) {
		m.delayRoute(now, e.RetryIn)
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
