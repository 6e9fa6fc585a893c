package predict

import (
	"math"

	"github.com/rotisserie/eris"
)

// restoredPart is what restored values weigh when new ones come: what was seen
// since, of engines that may have changed, counts for more.
const restoredPart = 0.2

// ErrState says that restored values cannot be believed.
var ErrState = eris.New("predict: restored values are not usable")

// FitState is what a fit has learned, to be kept beyond the process.
type FitState struct {
	Normal [][]float64 `json:"normal"`
	Right  []float64   `json:"right"`
	Count  int         `json:"count"`
}

// LengthsState is what Lengths have learned.
type LengthsState struct {
	LogEvents float64 `json:"log_events"`
	Variance  float64 `json:"variance"`
	Seen      int     `json:"seen"`
}

// EngineState is what is learned of one engine.
type EngineState struct {
	LogSlowness float64 `json:"log_slowness"`
	Variance    float64 `json:"variance"`
	Reads       int     `json:"reads"`
}

func (f *fit) state() FitState {
	s := FitState{Count: f.count, Right: append([]float64(nil), f.right[:f.n]...)}
	for i := range f.n {
		s.Normal = append(s.Normal, append([]float64(nil), f.normal[i][:f.n]...))
	}
	return s
}

// restore takes over what an earlier process has learned.
func (f *fit) restore(s FitState) error {
	if s.Count < enoughReads {
		return nil
	}
	if len(s.Normal) != f.n || len(s.Right) != f.n {
		return ErrState
	}
	restored := newFit(f.n, f.prior)
	restored.count, restored.believed = s.Count, leastPrior
	for i := range f.n {
		if len(s.Normal[i]) != f.n {
			return ErrState
		}
		restored.right[i] = restoredPart * s.Right[i]
		for j := range f.n {
			restored.normal[i][j] = restoredPart * s.Normal[i][j]
		}
	}
	restored.solve()
	if !finite(restored.solution[:f.n]...) {
		return ErrState
	}
	*f = restored
	return nil
}

func finite(values ...float64) bool {
	for _, v := range values {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}

// State returns what was learned of the time between events.
func (s *Steps) State() FitState { return s.fit.state() }

// Restore takes over what an earlier process has learned, unless enough events were
// seen since.
func (s *Steps) Restore(state FitState) error {
	if s.Known() {
		return nil
	}
	return s.fit.restore(state)
}

// State returns what was learned of the lengths of answers.
func (l *Lengths) State() LengthsState {
	return LengthsState{LogEvents: l.logEvents, Variance: l.variance, Seen: l.seen}
}

// Restore takes over what an earlier process has learned, unless enough answers were
// seen since.
func (l *Lengths) Restore(s LengthsState) error {
	if l.Known() {
		return nil
	}
	if !finite(s.LogEvents, s.Variance) || s.Variance < 0 || s.Seen < 0 {
		return ErrState
	}
	*l = Lengths{logEvents: s.LogEvents, variance: s.Variance, seen: s.Seen}
	return nil
}

// State returns what was learned of the engine.
func (e *Engine) State() EngineState {
	return EngineState{LogSlowness: e.logSlowness, Variance: e.variance, Reads: e.reads}
}

// Usable reports whether an engine can have been like that.
func (s EngineState) Usable() bool {
	return finite(s.LogSlowness, s.Variance) && math.Abs(s.LogSlowness) <= math.Log(mostSlowness) &&
		s.Variance >= 0 && s.Reads >= 0
}

// Restore takes over what an earlier process has learned and is usable, unless the
// engine is known.
func (e *Engine) Restore(s EngineState) {
	if !e.Known() {
		*e = Engine{logSlowness: s.LogSlowness, variance: s.Variance, reads: s.Reads}
	}
}
