// Package plainservice is a small stand-in for a service that is no model
// engine. It places holds, answers lookups and counts how often each hold ran.
package plainservice

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxBody is the size limit of a request body in bytes.
const maxBody = 4 << 20

// Config is the initial configuration of the stand-in.
type Config struct {
	// Delay is the duration of each call.
	Delay time.Duration
}

// Hold is the body of POST /holds and of its response.
type Hold struct {
	// Subject identifies what is held. Tests fail if one subject is run twice.
	Subject string `json:"subject"`
	// Number is the number of distinct subjects held so far, including this one.
	Number int `json:"number,omitempty"`
	// Padding makes the response longer, so that truncation is noticed.
	Padding string `json:"pad,omitempty"`
}

// Record is the response of GET /standin/runs.
type Record struct {
	// Runs counts the runs of each subject, including unfinished ones.
	Runs    map[string]int `json:"runs"`
	Lookups int            `json:"lookups"`
}

// Faults are the active faults.
type Faults struct {
	DelayMS int `json:"delay_ms"`
	// TruncateAnswers closes the connection after half of each response body.
	TruncateAnswers bool `json:"break"`
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
	answer(w, http.StatusCreated, hold, faults.TruncateAnswers)
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
	answer(w, http.StatusOK, hold, faults.TruncateAnswers)
}

// Calendar is the response of GET /calendar. It echoes the query, so that a
// caller can check that the response is its own.
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
	answer(w, http.StatusOK, Calendar{Query: r.URL.RawQuery, Days: days}, faults.TruncateAnswers)
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

// answer writes v as JSON. With truncate, it closes the connection after half of
// the announced length.
func answer(w http.ResponseWriter, status int, v any, truncate bool) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if !truncate {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:len(body)/2])
	panic(http.ErrAbortHandler)
}
