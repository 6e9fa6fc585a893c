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
type State struct {
	Steps   predict.FitState     `json:"steps"`
	Lengths predict.LengthsState `json:"lengths"`
	// Engines are those whose answers were seen.
	Engines map[string]EngineState `json:"engines"`
}

// EngineState is what is learned of one start of an engine.
type EngineState struct {
	Incarnation int64               `json:"incarnation"`
	Generating  predict.EngineState `json:"generating"`
}

// State returns what was learned; false if too little was to be of use to others.
func (f *Fleet) State() (State, bool) {
	s := State{Steps: f.steps.State(), Lengths: f.lengths.State(), Engines: make(map[string]EngineState)}
	for id, e := range f.engines {
		if e.generating.Known() {
			s.Engines[id] = EngineState{Incarnation: e.Incarnation, Generating: e.generating.State()}
		}
	}
	return s, f.answersKnown()
}

// Restore takes over what another process has learned, where this one has seen
// little. The error says what of it could not be used; the rest is.
func (f *Fleet) Restore(s State) error {
	errs := []error{f.steps.Restore(s.Steps), f.lengths.Restore(s.Lengths)}
	f.restored = make(map[string]EngineState, len(s.Engines))
	for id, e := range s.Engines {
		if !e.Generating.Usable() {
			errs = append(errs, eris.Wrap(predict.ErrState, id))
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
