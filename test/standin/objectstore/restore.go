package objectstore

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Copy is a copy of all objects and of the history.
type Copy struct {
	kinds     map[string]map[string]Object
	history   []change
	revision  int64
	compacted int64
	era       int64
}

// Copy returns a copy of the present state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copyLocked()
}

func (s *Store) copyLocked() Copy {
	kinds := make(map[string]map[string]Object, len(s.kinds))
	for kind, objects := range s.kinds {
		kinds[kind] = maps.Clone(objects)
	}
	return Copy{kinds: kinds, history: slices.Clone(s.history), revision: s.revision, compacted: s.compacted, era: s.era}
}

// NameEra makes the store name an era in all its answers.
func (s *Store) NameEra(era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// Restore replaces the state by a copy. Its revisions go back to those of the copy and are
// given out again. Waiting watches are cut. The era that the store names, if any, rises by one.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.before, s.restoredAt = s.copyLocked(), time.Now()
	s.kinds = make(map[string]map[string]Object, len(c.kinds))
	for kind, objects := range c.kinds {
		s.kinds[kind] = maps.Clone(objects)
	}
	s.history, s.revision, s.compacted = slices.Clone(c.history), c.revision, c.compacted
	if s.era > 0 {
		s.era++
	}
	s.notifyWatches()
}

// setEra sets the header that names the era, unless it is 0.
func setEra(w http.ResponseWriter, era int64) {
	if era > 0 {
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	}
}
