// Package objectstore is a stand-in for the platform's metadata store: objects
// by kind and name, one revision counter, conditional writes, watches and stale
// reads, with faults that tests switch on.
package objectstore

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is how the store misbehaves.
type Fault uint8

// The faults.
const (
	Healthy Fault = iota
	// Refusing answers 503 and does nothing.
	Refusing
	// Silent answers nothing until the caller gives up.
	Silent
	// LosingReplies does writes and closes the connection without an answer.
	LosingReplies
)

// Metadata describes an object.
type Metadata struct {
	Name              string   `json:"name"`
	Revision          int64    `json:"revision"`
	Created           int64    `json:"created"`
	Finalizers        []string `json:"finalizers"`
	DeletionRequested bool     `json:"deletionRequested"`
}

// Object is one object.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Object  Object `json:"object"`
	Removed bool   `json:"removed"`
}

type change struct {
	kind string
	event
	at int64
}

// pageSize is how many objects one page of a list holds.
const pageSize = 50

// Store is the stand-in. It is an http.Handler.
type Store struct {
	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]Object
	history  []change
	// forgotten is the revision up to which the history is gone.
	forgotten int64
	fault     Fault
	refused   map[string]bool
	// changed is closed at each change.
	changed chan struct{}
	calls   int
}

// New returns an empty store.
func New() *Store {
	return &Store{
		revision: 100,
		kinds:    make(map[string]map[string]Object),
		refused:  make(map[string]bool),
		changed:  make(chan struct{}),
	}
}

// SetFault switches a fault on, or off with Healthy. Watches that wait are cut.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wake()
}

// DropHistory forgets all changes so far and cuts the watches.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten = s.revision
	s.history = nil
	s.wake()
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes an object as the operator or a backend server would.
func (s *Store) Put(kind, name string, spec any) int64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return s.PutRaw(kind, name, data)
}

// PutRaw writes an object whose value need not make sense.
func (s *Store) PutRaw(kind, name string, spec []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, spec).Metadata.Revision
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
	return s.revision
}

// Get returns an object.
func (s *Store) Get(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	return o, ok
}

func (s *Store) write(kind, name string, spec []byte) Object {
	s.revision++
	objects := s.kinds[kind]
	if objects == nil {
		objects = make(map[string]Object)
		s.kinds[kind] = objects
	}
	o := objects[name]
	if o.Metadata.Name == "" {
		o.Metadata = Metadata{Name: name, Created: s.revision}
	}
	o.Metadata.Revision = s.revision
	o.Spec = slices.Clone(spec)
	objects[name] = o
	s.note(kind, o, false)
	return o
}

func (s *Store) remove(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.kinds[kind], name)
	s.note(kind, o, true)
}

func (s *Store) note(kind string, o Object, removed bool) {
	s.history = append(s.history, change{kind: kind, event: event{Object: o, Removed: removed}, at: s.revision})
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	fault := s.fault
	s.mu.Unlock()
	switch {
	case fault == Silent:
		<-r.Context().Done()
		return
	case fault == Refusing:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	if r.Method == http.MethodGet {
		s.read(w, r, kind, name)
		return
	}
	status, answer := s.change(r, kind, name)
	if fault == LosingReplies {
		panic(http.ErrAbortHandler)
	}
	reply(w, status, answer)
}

func reply(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	query := r.URL.Query()
	if query.Has("watch") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		o, ok := s.kinds[kind][name]
		if !ok {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, o)
		return
	}
	items, more := s.page(kind, query.Get("after"))
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "at": s.revision})
}

func (s *Store) page(kind, after string) (items []Object, more bool) {
	items = []Object{}
	for name, o := range s.kinds[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b Object) int { return cmp.Compare(a.Metadata.Name, b.Metadata.Name) })
	if len(items) > pageSize {
		return items[:pageSize], true
	}
	return items, false
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, gone := s.since(kind, from)
		at, changed, fault := s.revision, s.changed, s.fault
		s.mu.Unlock()
		switch {
		case fault != Healthy:
			panic(http.ErrAbortHandler)
		case gone:
			reply(w, http.StatusGone, nil)
			return
		case len(events) > 0:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": []event{}, "at": at})
			return
		}
	}
}

func (s *Store) since(kind string, from int64) (events []event, gone bool) {
	if from < s.forgotten {
		return nil, true
	}
	for _, c := range s.history {
		if c.kind == kind && c.at > from {
			events = append(events, c.event)
		}
	}
	return events, false
}

// change does a write.
func (s *Store) change(r *http.Request, kind, name string) (int, any) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	var body Object
	if len(data) > 0 {
		if err := json.Unmarshal(data, &body); err != nil {
			return http.StatusBadRequest, nil
		}
	}
	if name == "" {
		name = body.Metadata.Name
	}
	expected := body.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseInt(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, old
	case r.Method != http.MethodPost && !exists:
		return http.StatusNotFound, nil
	case expected != 0 && expected != old.Metadata.Revision:
		return http.StatusConflict, old
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, old
	default:
		return http.StatusOK, s.write(kind, name, body.Spec)
	}
}
