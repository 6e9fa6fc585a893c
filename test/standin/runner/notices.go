package runner

import (
	"net/http"
	"strconv"
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
	// prefillGate, if it is not nil, delays prefills until it is closed.
	prefillGate chan struct{}
	freed       int

	arrivals []Arrival
	// misdirected are the requests that were meant for another server.
	misdirected []Arrival
	stated      []Statement
}

// Arrival is a request that reached a start of the server, including rejected and
// prefill-only ones.
type Arrival struct {
	ID      string
	At      time.Time
	StartMS int64
	// Prefilled says that it was a prefill that the server accepted.
	Prefilled bool
	// Deadline is the time that the server had for it, 0 if the request did not state one.
	Deadline time.Duration
}

func newArrival(req *http.Request, startMS int64) Arrival {
	a := Arrival{ID: req.Header.Get("Request-Id"), At: time.Now(), StartMS: startMS}
	if ms, err := strconv.ParseInt(req.Header.Get("Deadline-Ms"), 10, 64); err == nil {
		a.Deadline = time.Duration(ms) * time.Millisecond
	}
	return a
}

// Statement is an answer that said that the server is leaving or that asked for rest.
type Statement struct {
	Arrival
	Leaving bool
	// Rest is the value of Retry-After, empty without one.
	Rest string
}

// Arrivals returns the requests that reached the server.
func (s *BackendServer) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.notices.arrivals...)
}

// Misdirected returns the requests that reached the server and were meant for another one.
func (s *BackendServer) Misdirected() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.notices.misdirected...)
}

// Statements returns the answers that said something.
func (s *BackendServer) Statements() []Statement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Statement(nil), s.notices.stated...)
}

// clear ends what the server says. The records stay.
func (n *notices) clear() {
	n.leavingIn, n.rest = 0, ""
}

// SetLeaving makes the server say in the given kinds of answers that it is leaving.
func (s *BackendServer) SetLeaving(in AnswerKinds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notices.leavingIn = in
}

// SetRest makes the server reject all requests and ask for rest with the given value of
// Retry-After. An empty one ends that.
func (s *BackendServer) SetRest(retryAfter string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notices.rest = retryAfter
}

// SetLoad makes the server report a load with each answer, prefills included.
func (s *BackendServer) SetLoad(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load = text
}

func (s *BackendServer) reportedLoad() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load
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
	said := Statement{Arrival: Arrival{ID: w.Header().Get("Request-Id"), At: time.Now(), StartMS: s.startedAtMS}}
	if s.notices.leavingIn&of != 0 {
		w.Header().Set("Server-Leaving", "1")
		said.Leaving = true
	}
	if of == NotRun && s.notices.rest != "" {
		w.Header().Set("Retry-After", s.notices.rest)
		said.Rest = s.notices.rest
	}
	if said.Leaving || said.Rest != "" {
		s.notices.stated = append(s.notices.stated, said)
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
