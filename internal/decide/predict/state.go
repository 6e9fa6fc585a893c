package predict

import (
	"math"

	"github.com/rotisserie/eris"
)

// restoredPart is what restored values weigh when new ones come: what was seen
// since, of engines that may have changed, counts for more.
const restoredPart = 0.2

// ErrState says that restored values cannot be believed.
var ErrInvalidSnapshot = eris.New("predict: restored values are not usable")

// FitState is what a fit has learned, to be kept beyond the process.
type FitSnapshot struct {
	Normal [][]float64 `json:"normal"`
	Right  []float64   `json:"right"`
	Count  int         `json:"count"`
}

// LengthsState is what Lengths have learned.
type LengthSnapshot struct {
	LogEvents float64 `json:"log_events"`
	Variance  float64 `json:"variance"`
	Samples   int     `json:"seen"`
}

// EngineState is what is learned of one engine.
type EngineSnapshot struct {
	LogSlowdown float64 `json:"log_slowness"`
	Variance    float64 `json:"variance"`
	Samples     int     `json:"reads"`
}

func (f *fit) state() FitSnapshot {
	s := FitSnapshot{Count: f.count, Right: append([]float64(nil), f.right[:f.n]...)}
	for i := range f.n {
		s.Normal = append(s.Normal, append([]float64(nil), f.normal[i][:f.n]...))
	}
	return s
}

// restore takes over what an earlier process has learned.
func (f *fit) restore(s FitSnapshot) error {
	if s.Count < enoughReads {
		return nil
	}
	if len(s.Normal) != f.n || len(s.Right) != f.n {
		return ErrInvalidSnapshot
	}
	restored := newFit(f.n, f.prior)
	restored.count, restored.believed = s.Count, leastPrior
	for i := range f.n {
		if len(s.Normal[i]) != f.n {
			return ErrInvalidSnapshot
		}
		restored.right[i] = restoredPart * s.Right[i]
		for j := range f.n {
			restored.normal[i][j] = restoredPart * s.Normal[i][j]
		}
	}
	restored.solve()
	if !finite(restored.solution[:f.n]...) {
		return ErrInvalidSnapshot
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
func (s *DecodeModel) Snapshot() FitSnapshot { return s.fit.state() }

// Restore takes over what an earlier process has learned, unless enough events were
// seen since.
func (s *DecodeModel) Restore(state FitSnapshot) error {
	if s.Calibrated() {
		return nil
	}
	return s.fit.restore(state)
}

// State returns what was learned of the lengths of answers.
func (l *LengthModel) Snapshot() LengthSnapshot {
	return LengthSnapshot{LogEvents: l.logEvents, Variance: l.variance, Samples: l.seen}
}

// Restore takes over what an earlier process has learned, unless enough answers were
// seen since.
func (l *LengthModel) Restore(s LengthSnapshot) error {
	if l.Calibrated() {
		return nil
	}
	if !finite(s.LogEvents, s.Variance) || s.Variance < 0 || s.Samples < 0 {
		return ErrInvalidSnapshot
	}
	*l = LengthModel{logEvents: s.LogEvents, variance: s.Variance, seen: s.Samples}
	return nil
}

// State returns what was learned of the engine.
func (e *EngineSpeed) Snapshot() EngineSnapshot {
	return EngineSnapshot{LogSlowdown: e.logSlowness, Variance: e.variance, Samples: e.reads}
}

// Usable reports whether an engine can have been like that.
func (s EngineSnapshot) Valid() bool {
	return finite(s.LogSlowdown, s.Variance) && math.Abs(s.LogSlowdown) <= math.Log(mostSlowness) &&
		s.Variance >= 0 && s.Samples >= 0
}

// Restore takes over what an earlier process has learned and is usable, unless the
// engine is known.
func (e *EngineSpeed) Restore(s EngineSnapshot) {
	if !e.Calibrated() {
		*e = EngineSpeed{logSlowness: s.LogSlowdown, variance: s.Variance, reads: s.Samples}
	}
}
