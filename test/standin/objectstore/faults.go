package objectstore

import (
	"net/http"
	"time"
)

// Faults selects the faults of the store; the zero value is a healthy store.
type Faults struct {
	// Unavailable rejects every call with status 503.
	Unavailable bool `json:"refuse"`
	// Unresponsive leaves every call unanswered until the caller cancels it.
	Unresponsive bool `json:"silent"`
	// DelayMS delays the handling of each call by this time.
	DelayMS int `json:"delay_ms"`
	// LoseReplies carries out writes and closes the connection without a
	// response.
	LoseReplies bool `json:"lose_replies"`
	// StallWatches makes watches report no changes, hang for twice their wait
	// time and then close the connection. Lists show all changes.
	StallWatches bool `json:"hold_watches"`
	// LateWritesMS closes the connection immediately and carries out the write
	// after this time, if its precondition still holds then.
	LateWritesMS int `json:"late_writes_ms"`
}

// admit applies the faults that come before a call is handled, and reports
// whether the call is to be handled.
func (f Faults) admit(w http.ResponseWriter, r *http.Request) bool {
	time.Sleep(milliseconds(f.DelayMS))
	switch {
	case f.Unresponsive:
		<-r.Context().Done()
		return false
	case f.Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	default:
		return true
	}
}

// abortsWatches reports whether the connections of waiting watches are closed.
func (f Faults) abortsWatches() bool { return f.Unavailable || f.Unresponsive || f.LoseReplies }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// SetFaults replaces the active faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// SetStaleLag sets the age of the state that stale lists return.
func (s *Store) SetStaleLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleLag = d
}

// Calls counts the calls by kind. A watch counts as one call however long it
// waits.
type Calls struct {
	Reads      int `json:"reads"`
	StaleReads int `json:"stale_reads"`
	Writes     int `json:"writes"`
	Watches    int `json:"watches"`
	// Waiting is the number of watches currently waiting.
	Waiting int `json:"waiting"`
}

// Total returns the number of all calls.
func (c Calls) Total() int { return c.Reads + c.StaleReads + c.Writes + c.Watches }

func (c *Calls) count(r *http.Request) {
	query := r.URL.Query()
	switch {
	case r.Method != http.MethodGet:
		c.Writes++
	case query.Has("watch"):
		c.Watches++
	case query.Has("isStale"):
		c.StaleReads++
	default:
		c.Reads++
	}
}

// trackWatch counts a watch as waiting until the returned function is called.
func (s *Store) trackWatch() func() {
	add := func(n int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.calls.Waiting += n
	}
	add(1)
	return func() { add(-1) }
}

// Calls returns the counts of all calls so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}
