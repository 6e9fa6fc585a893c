package runner

import (
	"net/http"
	"time"
)

// AnswerKinds is a set of kinds of answers.
type AnswerKinds uint8

// The kinds.
const (
	// Successes are complete answers other than streams.
	Successes AnswerKinds = 1 << iota
	Streams
	// Failures are answers of requests that ran and failed.
	Failures
	// NotRun are the answers that reject a request as not run.
	NotRun
	// Prefills are the answers to prefill-only requests.
	Prefills
	// Misdirections reject requests that are meant for another server.
	Misdirections

	EveryAnswer = Successes | Streams | Failures | NotRun | Prefills | Misdirections
)

// notices is what the server states about itself besides its limit.
type notices struct {
	leavingIn AnswerKinds
	rest      string
	// leavingSince is when the first answer since SetLeaving said so, zero before.
	leavingSince time.Time
	// prefillGate, if it is not nil, delays prefills until it is closed.
	prefillGate chan struct{}
	freed       int
}

// SetLeaving makes the server say in the given kinds of answers that it is leaving.
func (s *BackendServer) SetLeaving(in AnswerKinds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notices.leavingIn, s.notices.leavingSince = in, time.Time{}
}

// LeavingSince returns when the first answer said that the server is leaving, zero if none
// has.
func (s *BackendServer) LeavingSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.notices.leavingSince
}

// SetRest makes the server reject all requests and ask for rest with the given value of
// Retry-After. An empty one ends that.
func (s *BackendServer) SetRest(retryAfter string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notices.rest = retryAfter
}

// HoldPrefills delays prefills until release is called.
func (s *BackendServer) HoldPrefills() (release func()) {
	gate := make(chan struct{})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notices.prefillGate = gate
	return func() { close(gate) }
}

// Freed returns the number of requests that freed a KV handle.
func (s *BackendServer) Freed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.notices.freed
}

func (s *BackendServer) resting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.notices.rest != ""
}

func (s *BackendServer) countFreed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notices.freed++
}

// waitForPrefillGate returns once prefills are not held.
func (s *BackendServer) waitForPrefillGate() {
	s.mu.Lock()
	gate := s.notices.prefillGate
	s.mu.Unlock()
	if gate != nil {
		<-gate
	}
}

// addNotices adds the headers that this kind of answer has.
func (s *BackendServer) addNotices(w http.ResponseWriter, of AnswerKinds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.notices.leavingIn&of != 0 {
		w.Header().Set("Server-Leaving", "1")
		if s.notices.leavingSince.IsZero() {
			s.notices.leavingSince = time.Now()
		}
	}
	if of == NotRun && s.notices.rest != "" {
		w.Header().Set("Retry-After", s.notices.rest)
	}
}

// kindOf returns the kind of the answer to a request that runs.
func kindOf(run Run, fault Fault) AnswerKinds {
	switch {
	case fault == Failing:
		return Failures
	case run.isStream():
		return Streams
	default:
		return Successes
	}
}
