package place

import (
	"errors"

	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/predict"
)

// State is what a Fleet has learned of its engines and answers, to be kept beyond
// the process. It answers the loss of all entries at once: their callers come back
// together, and by what is known of nothing they are all let in, and answers that
// need a fast engine go to any.
type State struct {
	Readings map[backend.Role]predict.FitState `json:"readings"`
	Handover predict.FitState                  `json:"handover"`
	Steps    predict.FitState                  `json:"steps"`
	Lengths  predict.LengthsState              `json:"lengths"`
	// Unread is how many tokens engines read of a prompt on average.
	Unread  float64                `json:"unread"`
	Engines map[string]EngineState `json:"engines"`
}

// EngineState is what is learned of one start of an engine.
type EngineState struct {
	Incarnation int64               `json:"incarnation"`
	Reading     predict.EngineState `json:"reading"`
	Generating  predict.EngineState `json:"generating"`
}

// State returns what was learned; false if too little was to be of use to others.
func (f *Fleet) State() (State, bool) {
	s := State{
		Readings: make(map[backend.Role]predict.FitState, len(f.readings)),
		Handover: f.handover.State(),
		Steps:    f.steps.State(),
		Lengths:  f.lengths.State(),
		Unread:   f.unread,
		Engines:  make(map[string]EngineState, len(f.engines)),
	}
	known := false
	for role, r := range f.readings {
		s.Readings[role] = r.State()
		known = known || r.Known()
	}
	for id, e := range f.engines {
		s.Engines[id] = EngineState{
			Incarnation: e.Incarnation, Reading: e.speed.State(), Generating: e.generating.State(),
		}
	}
	return s, known
}

// Restore takes over what another process has learned, where this one has seen
// little. The error says what of it could not be used; the rest is.
func (f *Fleet) Restore(s State) error {
	errs := []error{f.handover.Restore(s.Handover), f.steps.Restore(s.Steps), f.lengths.Restore(s.Lengths)}
	for role, r := range f.readings {
		if fit, ok := s.Readings[role]; ok {
			errs = append(errs, r.Restore(fit))
		}
	}
	if f.unread == 0 && s.Unread > 0 {
		f.unread = s.Unread
	}
	f.restored = make(map[string]EngineState, len(s.Engines))
	for id, e := range s.Engines {
		if !e.Reading.Usable() || !e.Generating.Usable() {
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
		e.speed.Restore(s.Reading)
		e.generating.Restore(s.Generating)
	}
}
