// Package objectstore is a stand-in for the platform's metadata store: objects
// by kind and name, one revision counter, conditional writes, watches and stale
// reads, with injectable faults.
package objectstore

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Metadata describes an object.
type Metadata struct {
	Name              string   `json:"name"`
	Revision          int64    `json:"revision"`
	Created           int64    `json:"created"`
	Finalizers        []string `json:"finalizers"`
	DeletionRequested bool     `json:"deletionRequested"`
}

// Object is a stored object.
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
	revision int64
	// changedAt is the time of the change. previous is the object before it, or the
	// zero Object if there was none.
	changedAt time.Time
	previous  Object
}

// pageSize is the maximum number of objects on one page of a list.
const pageSize = 50

// Store is the stand-in; it implements http.Handler.
type Store struct {
	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]Object
	history  []change
	// compacted is the revision up to which the history has been dropped.
	compacted int64
	faults    Faults
	// staleLag is the age of the state that stale lists return.
	staleLag time.Duration
	// changed is closed and replaced at each change, to wake waiting watches.
	changed chan struct{}
	calls   Calls
	// era is named in all answers unless it is 0.
	era int64
	// before is the state until the last Restore, which stale lists return for staleLag.
	before     Copy
	restoredAt time.Time
}

// New returns an empty store.
func New() *Store {
	return &Store{
		revision: 100,
		kinds:    make(map[string]map[string]Object),
		changed:  make(chan struct{}),
	}
}

// CompactHistory drops the change history. Watches from an earlier revision get 410
// Gone.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.history = nil
	s.notifyWatches()
}

// Put writes an object unconditionally, as the operator or a backend server does,
// and returns its revision.
func (s *Store) Put(kind, name string, spec any) int64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return s.PutRaw(kind, name, data)
}

// PutRaw writes an object whose spec need not be valid, and returns its revision.
func (s *Store) PutRaw(kind, name string, spec []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, spec).Metadata.Revision
}

// Remove removes an object and returns the revision of the store.
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
	objects := s.kinds[kind]
	if objects == nil {
		objects = make(map[string]Object)
		s.kinds[kind] = objects
	}
	o, exists := objects[name]
	if exists && bytes.Equal(o.Spec, spec) {
		return o
	}
	before := o
	s.revision++
	if !exists {
		o.Metadata = Metadata{Name: name, Created: s.revision}
	}
	o.Metadata.Revision = s.revision
	o.Spec = slices.Clone(spec)
	objects[name] = o
	s.appendHistory(kind, before, o, false)
	return o
}

func (s *Store) remove(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	before := o
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.kinds[kind], name)
	s.appendHistory(kind, before, o, true)
}

func (s *Store) appendHistory(kind string, before, o Object, removed bool) {
	s.history = append(s.history, change{
		kind: kind, event: event{Object: o, Removed: removed}, revision: s.revision, changedAt: time.Now(), previous: before,
	})
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls.count(r)
	faults := s.faults
	setEra(w, s.era)
	s.mu.Unlock()
	if !faults.admit(w, r) {
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	if r.Method == http.MethodGet {
		s.serveRead(w, r, kind, name)
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	if faults.LateWritesMS > 0 {
		time.AfterFunc(milliseconds(faults.LateWritesMS), func() { s.applyWrite(r, data, kind, name) })
		panic(http.ErrAbortHandler)
	}
	status, answer, era := s.applyWrite(r, data, kind, name)
	setEra(w, era)
	if faults.LoseReplies {
		panic(http.ErrAbortHandler)
	}
	reply(w, status, answer)
}

func reply(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if answer != nil {
		_, _ = w.Write(encode(answer))
	}
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request, kind, name string) {
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
	objects, revision := s.kinds[kind], s.revision
	switch {
	case query.Has("isStale") && time.Since(s.restoredAt) < s.staleLag:
		objects, revision = s.before.kinds[kind], s.before.revision
		setEra(w, s.before.era)
	case query.Has("isStale"):
		objects = s.objectsAt(kind, time.Now().Add(-s.staleLag))
	default:
		// The store may have been restored while the call was delayed.
		setEra(w, s.era)
	}
	items, more := page(objects, query.Get("after"))
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "at": revision})
}

// objectsAt returns the objects of a kind as of a time, as far as the history
// goes back.
func (s *Store) objectsAt(kind string, at time.Time) map[string]Object {
	objects := maps.Clone(s.kinds[kind])
	for _, c := range slices.Backward(s.history) {
		if c.changedAt.Before(at) {
			break
		}
		switch {
		case c.kind != kind:
		case c.previous.Metadata.Name == "":
			delete(objects, c.Object.Metadata.Name)
		default:
			objects[c.previous.Metadata.Name] = c.previous
		}
	}
	return objects
}

func page(objects map[string]Object, after string) (items []Object, more bool) {
	items = []Object{}
	for name, o := range objects {
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
	defer s.trackWatch()()
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	deadline := time.After(milliseconds(int(wait)))
	s.mu.Lock()
	began := s.era
	setEra(w, began)
	s.mu.Unlock()
	for {
		s.mu.Lock()
		events, gone := s.eventsSince(kind, from)
		at, changed, faults, era := s.revision, s.changed, s.faults, s.era
		s.mu.Unlock()
		switch {
		case faults.abortsWatches() || era != began:
			panic(http.ErrAbortHandler)
		case faults.StallWatches:
			stall(r.Context(), deadline, milliseconds(int(wait)))
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

// stall waits until the deadline of a watch and then for its whole wait time
// again, or until the caller cancels.
func stall(caller context.Context, deadline <-chan time.Time, wait time.Duration) {
	select {
	case <-caller.Done():
		return
	case <-deadline:
	}
	select {
	case <-caller.Done():
	case <-time.After(wait):
	}
}

func (s *Store) eventsSince(kind string, from int64) (events []event, gone bool) {
	if from < s.compacted || from > s.revision {
		return nil, true
	}
	for _, c := range s.history {
		if c.kind == kind && c.revision > from {
			events = append(events, c.event)
		}
	}
	return events, false
}

// applyWrite carries out a create, update or delete and returns the status and
// the body of the response, and the era in which it was carried out.
func (s *Store) applyWrite(r *http.Request, data []byte, kind, name string) (status int, answer any, era int64) {
	var body Object
	if len(data) > 0 {
		if err := json.Unmarshal(data, &body); err != nil {
			return http.StatusBadRequest, nil, 0
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
		return http.StatusConflict, old, s.era
	case r.Method != http.MethodPost && !exists:
		return http.StatusNotFound, nil, s.era
	case expected != 0 && expected != old.Metadata.Revision:
		return http.StatusConflict, old, s.era
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, old, s.era
	default:
		return http.StatusOK, s.write(kind, name, body.Spec), s.era
	}
}
