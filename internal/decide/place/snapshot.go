package place

import (
	"errors"

	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
)

// Snapshot is what a Fleet has learned of answers, to be stored outside the process. It
// guards against the simultaneous loss of all gateways: callers resume their answers
// together, and without estimates those that need a fast engine are placed on any.
//
// It has no prefill estimates. They depend on messages from other gateways; if they
// were stored, the error of one gateway would become that of all.
type Snapshot struct {
	InterEvent    predict.FitSnapshot    `json:"steps"`
	AnswerLengths predict.LengthSnapshot `json:"lengths"`
	// Engines has the engines whose answers were observed.
	Engines map[string]EngineSnapshot `json:"engines"`
}

// EngineSnapshot is what was learned of one incarnation of an engine.
type EngineSnapshot struct {
	Incarnation int64                  `json:"incarnation"`
	DecodeSpeed predict.EngineSnapshot `json:"generating"`
}

// Snapshot returns what was learned; false if there are too few samples to be useful to
// others.
func (f *Fleet) Snapshot() (Snapshot, bool) {
	s := Snapshot{InterEvent: f.interEventModel.Snapshot(), AnswerLengths: f.answerLengths.Snapshot(), Engines: make(map[string]EngineSnapshot)}
	for id, e := range f.engines {
		if e.decodeSpeed.Calibrated() {
			s.Engines[id] = EngineSnapshot{Incarnation: e.Incarnation, DecodeSpeed: e.decodeSpeed.Snapshot()}
		}
	}
	return s, f.decodeCalibrated()
}

// Restore takes over what another process has learned, where this one has few samples.
// The error names what could not be used; the rest is restored.
func (f *Fleet) Restore(s Snapshot) error {
	errs := []error{f.interEventModel.Restore(s.InterEvent), f.answerLengths.Restore(s.AnswerLengths)}
	f.restoredEngines = make(map[string]EngineSnapshot, len(s.Engines))
	for id, e := range s.Engines {
		if !e.DecodeSpeed.Valid() {
			errs = append(errs, eris.Wrap(predict.ErrInvalidSnapshot, id))
			continue
		}
		f.restoredEngines[id] = e
	}
	for _, e := range f.engines {
		f.restoreEngine(e)
	}
	return errors.Join(errs...)
}

// restoreEngine restores what was learned of this incarnation of an engine.
func (f *Fleet) restoreEngine(e *engine) {
	if s, ok := f.restoredEngines[e.ID]; ok && s.Incarnation == e.Incarnation {
		e.decodeSpeed.Restore(s.DecodeSpeed)
	}
}
