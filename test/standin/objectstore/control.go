package objectstore

import (
	"encoding/json"
	"net/http"
)

// ControlHandler serves the store and, below /standin/, control endpoints for
// tests in other processes: faults, call counts, and replacing all objects of a
// kind.
func (s *Store) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", s)
	mux.HandleFunc("POST /standin/faults", s.postFaults)
	mux.HandleFunc("POST /standin/objects/{kind}", s.postObjects)
	mux.HandleFunc("GET /standin/calls", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, s.Calls())
	})
	return mux
}

func (s *Store) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Store) postObjects(w http.ResponseWriter, r *http.Request) {
	var specs map[string]json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&specs); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetKind(r.PathValue("kind"), specs)
}

// SetKind replaces all objects of a kind with specs, keyed by object name.
func (s *Store) SetKind(kind string, specs map[string]json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.kinds[kind] {
		if _, ok := specs[name]; !ok {
			s.remove(kind, name)
		}
	}
	for name, spec := range specs {
		s.write(kind, name, spec)
	}
}
