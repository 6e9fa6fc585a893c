package place

import (
	"errors"

	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
)

// State is what a Fleet has learned of answers, to be kept beyond the process. It
// answers the loss of all entries at once: callers resume their answers together, and
// by what is known of nothing those that need a fast engine go to any.
//
// It has nothing of reads. What an entry believes of them rests on what others tell;
// kept, the error of one would become that of all.
type Snapshot struct {
	Steps   predict.FitSnapshot    `json:"steps"`
	Lengths predict.LengthSnapshot `json:"lengths"`
	// Engines are those whose answers were seen.
	Engines map[string]EngineSnapshot `json:"engines"`
}

// EngineState is what is learned of one start of an engine.
type EngineSnapshot struct {
	Incarnation int64                  `json:"incarnation"`
	Generating  predict.EngineSnapshot `json:"generating"`
}

// State returns what was learned; false if too little was to be of use to others.
func (f *Fleet) Snapshot() (Snapshot, bool) {
	s := Snapshot{Steps: f.steps.Snapshot(), Lengths: f.lengths.Snapshot(), Engines: make(map[string]EngineSnapshot)}
	for id, e := range f.engines {
		if e.generating.Calibrated() {
			s.Engines[id] = EngineSnapshot{Incarnation: e.Incarnation, Generating: e.generating.Snapshot()}
		}
	}
	return s, f.answersKnown()
}

// Restore takes over what another process has learned, where this one has seen
// little. The error says what of it could not be used; the rest is.
func (f *Fleet) Restore(s Snapshot) error {
	errs := []error{f.steps.Restore(s.Steps), f.lengths.Restore(s.Lengths)}
	f.restored = make(map[string]EngineSnapshot, len(s.Engines))
	for id, e := range s.Engines {
		if !e.Generating.Valid() {
			errs = append(errs, eris.Wrap(predict.ErrInvalidSnapshot, id))
			continue
		}
		f.restored[id] = e
	}
	for _, e := range f.engines {
		f.restoreEngine(e)
	}
	return errors.Join(errs...)
}

// restoreEngine takes over what was restored of this start of an engine.
func (f *Fleet) restoreEngine(e *engine) {
	if s, ok := f.restored[e.ID]; ok && s.Incarnation == e.Incarnation {
		e.generating.Restore(s.Generating)
	}
}
