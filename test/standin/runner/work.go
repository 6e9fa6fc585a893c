package runner

import (
	"context"
	"time"
)

// Work is what the answer to a request takes.
type Work struct {
	// Delay is the time until a plain answer or the first event of a stream.
	Delay time.Duration
	// Events is the number of events of a stream, Interval the pause between them.
	Events   int
	Interval time.Duration
}

// Spell is the time in which the server worked on a request.
type Spell struct {
	ID           string
	Began, Ended time.Time
}

// SetWork sets what the answers to requests that run from now on take.
func (s *BackendServer) SetWork(of func(Run) Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = of
}

// Spells returns the spells that have ended, with or without a complete answer.
func (s *BackendServer) Spells() []Spell {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Spell(nil), s.spells...)
}

// workOf returns the work of a run.
func (s *BackendServer) workOf(run Run) Work {
	s.mu.Lock()
	of := s.work
	s.mu.Unlock()
	if of == nil {
		return Work{Events: s.Events, Interval: s.EventInterval}
	}
	return of(run)
}

// beginSpell returns the function that records the end of a spell.
func (s *BackendServer) beginSpell(id string) (end func()) {
	began := time.Now()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.spells = append(s.spells, Spell{ID: id, Began: began, Ended: time.Now()})
	}
}

// spend waits for a time. It returns false if the request's connection was closed meanwhile.
func spend(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
