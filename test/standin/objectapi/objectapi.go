// Package objectapi is a small stand-in for the platform: the object API with
// versions, conditional updates and watches, and the VM list with its lag.
//
// Faults can be switched on while it runs: outage, slowness, lost replies and
// writes that take effect late.
package objectapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"pistachioroad.dev/pistachioroad/internal/platform"
)

// watchTimeout is how long a watch waits before it answers 204.
const watchTimeout = 25 * time.Second

// Config says how the stand-in behaves from the start.
type Config struct {
	// VMLag is how long a change of the VM list stays unseen.
	VMLag time.Duration
	// WritesPerSecond and ReadsPerSecond limit the calls; 0: no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Faults are the faults switched on.
type Faults struct {
	// Outage answers every call with 503.
	Outage  bool `json:"outage"`
	DelayMS int  `json:"delay_ms"`
	// LoseReplies lets writes take effect and cuts the connection.
	LoseReplies bool `json:"lose_replies"`
	// LateWritesMS cuts the connection at once and lets the write take effect
	// that much later, if its condition still holds then.
	LateWritesMS int `json:"late_writes_ms"`
}

// Calls counts the calls by kind. A waiting watch is one call.
type Calls struct {
	Reads    int `json:"reads"`
	Writes   int `json:"writes"`
	Watches  int `json:"watches"`
	VMs      int `json:"vms"`
	Limited  int `json:"limited"`
	Waiting  int `json:"waiting"`
	Conflict int `json:"conflict"`
}

type object struct {
	version uint64
	value   []byte
}

// Server is the stand-in.
type Server struct {
	config Config
	writes *rate.Limiter
	reads  *rate.Limiter

	mu       sync.Mutex
	objects  map[string]object
	revision uint64
	changed  chan struct{}
	faults   Faults
	calls    Calls
	vms      []platform.VM
	shown    []platform.VM
}

// New returns a Server without objects.
func New(config Config) *Server {
	return &Server{
		config:  config,
		writes:  limiter(config.WritesPerSecond),
		reads:   limiter(config.ReadsPerSecond),
		objects: map[string]object{},
		changed: make(chan struct{}),
	}
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1)
}

// Handler returns the HTTP API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{name...}", s.faulty(s.get))
	mux.HandleFunc("PUT /objects/{name...}", s.faulty(s.put))
	mux.HandleFunc("GET /vms", s.faulty(s.listVMs))
	mux.HandleFunc("POST /standin/faults", s.setFaults)
	mux.HandleFunc("POST /standin/vms", s.postVMs)
	mux.HandleFunc("GET /standin/calls", s.getCalls)
	return mux
}

// SetVMs replaces the VM list; readers see it after the lag.
func (s *Server) SetVMs(vms []platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.vms == nil
	s.vms = vms
	if first || s.config.VMLag == 0 {
		s.shown = vms
		return
	}
	time.AfterFunc(s.config.VMLag, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.shown = vms
	})
}

// SetFaults replaces the faults switched on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Server) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		faults := s.faults
		s.mu.Unlock()
		time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
		if faults.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	if after := r.URL.Query().Get("watch"); after != "" {
		s.watch(w, r, name, after)
		return
	}
	s.count(func(c *Calls) { c.Reads++ })
	if !s.allow(s.reads, w) {
		return
	}
	s.mu.Lock()
	o := s.objects[name]
	s.mu.Unlock()
	if o.version == 0 {
		http.NotFound(w, r)
		return
	}
	writeObject(w, o)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, name, after string) {
	version, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		http.Error(w, "watch: want a version", http.StatusBadRequest)
		return
	}
	s.count(func(c *Calls) { c.Watches++; c.Waiting++ })
	defer s.count(func(c *Calls) { c.Waiting-- })
	if !s.allow(s.reads, w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), watchTimeout)
	defer cancel()
	for {
		s.mu.Lock()
		o, changed, outage := s.objects[name], s.changed, s.faults.Outage
		s.mu.Unlock()
		if outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if o.version > version {
			writeObject(w, o)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Calls) { c.Writes++ })
	if !s.allow(s.writes, w) {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValue))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	version, err := condition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	name := r.PathValue("name")

	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.LateWritesMS > 0 {
		time.AfterFunc(time.Duration(faults.LateWritesMS)*time.Millisecond, func() {
			s.apply(name, version, value)
		})
		panic(http.ErrAbortHandler)
	}
	o, ok := s.apply(name, version, value)
	if faults.LoseReplies {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		s.count(func(c *Calls) { c.Conflict++ })
		w.Header().Set("ETag", etag(o.version))
		http.Error(w, "object has another version", http.StatusPreconditionFailed)
		return
	}
	w.Header().Set("ETag", etag(o.version))
}

// apply writes the value if the condition holds.
func (s *Server) apply(name string, version uint64, value []byte) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.objects[name]
	if before.version != version {
		return before, false
	}
	s.revision++
	o := object{version: s.revision, value: value}
	s.objects[name] = o
	close(s.changed)
	s.changed = make(chan struct{})
	return o, true
}

func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	s.count(func(c *Calls) { c.VMs++ })
	if !s.allow(s.reads, w) {
		return
	}
	s.mu.Lock()
	shown := s.shown
	s.mu.Unlock()
	writeJSON(w, shown)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !readJSON(w, r, &f) {
		return
	}
	s.SetFaults(f)
	s.mu.Lock()
	// Watches that wait look at the faults again.
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
}

func (s *Server) postVMs(w http.ResponseWriter, r *http.Request) {
	var vms []platform.VM
	if readJSON(w, r, &vms) {
		s.SetVMs(vms)
	}
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	calls := s.calls
	s.mu.Unlock()
	writeJSON(w, calls)
}

func (s *Server) count(change func(*Calls)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.calls)
}

func (s *Server) allow(l *rate.Limiter, w http.ResponseWriter) bool {
	if l.Allow() {
		return true
	}
	s.count(func(c *Calls) { c.Limited++ })
	http.Error(w, "over the rate", http.StatusTooManyRequests)
	return false
}

// condition returns the version that the update is made on.
func condition(r *http.Request) (uint64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	return strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
}

func etag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

func writeObject(w http.ResponseWriter, o object) {
	w.Header().Set("ETag", etag(o.version))
	_, _ = w.Write(o.value)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
