// Package plainservice is a small stand-in for a service beside the engines. It
// places holds and answers lookups, and counts how often each hold ran.
package plainservice

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxBody bounds the body of a call in bytes.
const maxBody = 4 << 20

// Config says how the stand-in behaves from the start.
type Config struct {
	// Delay is how long each call takes.
	Delay time.Duration
}

// Hold is the body of POST /holds and of its answer.
type Hold struct {
	// Subject is what is held. Two runs for one subject are the fault that
	// tests look for.
	Subject string `json:"subject"`
	// Number counts the holds placed.
	Number int `json:"number,omitempty"`
	// Pad fills the answer up, so that a cut one shows.
	Pad string `json:"pad,omitempty"`
}

// Record is what GET /standin/runs tells.
type Record struct {
	// Runs counts the runs of each subject, begun or ended.
	Runs    map[string]int `json:"runs"`
	Lookups int            `json:"lookups"`
}

// Faults are the faults switched on.
type Faults struct {
	DelayMS int `json:"delay_ms"`
	// Break cuts the answer of every call in its middle.
	Break bool `json:"break"`
}

// Server is the stand-in.
type Server struct {
	mu     sync.Mutex
	faults Faults
	record Record
	holds  map[string]Hold
}

// New returns a Server without holds.
func New(config Config) *Server {
	return &Server{
		faults: Faults{DelayMS: int(config.Delay / time.Millisecond)},
		record: Record{Runs: map[string]int{}},
		holds:  map[string]Hold{},
	}
}

// Handler returns the HTTP API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /holds", s.place)
	mux.HandleFunc("GET /holds/{subject}", s.lookUp)
	mux.HandleFunc("GET /calendar", s.calendar)
	mux.HandleFunc("GET /standin/runs", s.runs)
	mux.HandleFunc("POST /standin/faults", s.setFaults)
	return mux
}

func (s *Server) place(w http.ResponseWriter, r *http.Request) {
	var hold Hold
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&hold); err != nil || hold.Subject == "" {
		http.Error(w, `{"error":"want a subject"}`, http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.record.Runs[hold.Subject]++
	hold.Number = len(s.record.Runs)
	s.holds[hold.Subject] = hold
	faults := s.faults
	s.mu.Unlock()

	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	answer(w, http.StatusCreated, hold, faults.Break)
}

func (s *Server) lookUp(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.record.Lookups++
	hold, ok := s.holds[r.PathValue("subject")]
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	if !ok {
		http.Error(w, `{"error":"no such hold"}`, http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, hold, faults.Break)
}

// Calendar is the answer of GET /calendar: it repeats the question, so that a
// caller can tell whose answer it got.
type Calendar struct {
	Query string `json:"query"`
	Days  []int  `json:"days"`
}

func (s *Server) calendar(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.record.Lookups++
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	days := make([]int, 31)
	for i := range days {
		days[i] = i + 1
	}
	answer(w, http.StatusOK, Calendar{Query: r.URL.RawQuery, Days: days}, faults.Break)
}

func (s *Server) runs(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer(w, http.StatusOK, s.record, false)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
}

// answer writes v; a broken answer ends half-way through what its length says.
func answer(w http.ResponseWriter, status int, v any, broken bool) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if !broken {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:len(body)/2])
	panic(http.ErrAbortHandler)
}
