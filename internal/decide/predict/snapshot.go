package predict

import (
	"math"

	"github.com/rotisserie/eris"
)

// restoredWeight is the weight of restored observations relative to new ones: the engines
// may have changed since, so new observations count for more.
const restoredWeight = 0.2

// ErrInvalidSnapshot is returned for a snapshot that is malformed or has values out of range.
var ErrInvalidSnapshot = eris.New("predict: snapshot is malformed or has values out of range")

// FitSnapshot is the stored form of a fit.
type FitSnapshot struct {
	Normal [][]float64 `json:"normal"`
	RHS    []float64   `json:"right"`
	Count  int         `json:"count"`
}

// LengthSnapshot is the stored form of a LengthModel.
type LengthSnapshot struct {
	LogEvents float64 `json:"log_events"`
	Variance  float64 `json:"variance"`
	Samples   int     `json:"seen"`
}

// EngineSnapshot is the stored form of an EngineSpeed.
type EngineSnapshot struct {
	LogSlowdown float64 `json:"log_slowness"`
	Variance    float64 `json:"variance"`
	Samples     int     `json:"reads"`
}

func (f *fit) snapshot() FitSnapshot {
	s := FitSnapshot{Count: f.count, RHS: append([]float64(nil), f.rhs[:f.n]...)}
	for i := range f.n {
		s.Normal = append(s.Normal, append([]float64(nil), f.normal[i][:f.n]...))
	}
	return s
}

// restore replaces the fit by a snapshot from an earlier process. Snapshots with fewer than
// minSamples observations are ignored.
func (f *fit) restore(s FitSnapshot) error {
	if s.Count < minSamples {
		return nil
	}
	if len(s.Normal) != f.n || len(s.RHS) != f.n {
		return ErrInvalidSnapshot
	}
	restored := newFit(f.n, f.prior)
	restored.count, restored.priorWeight = s.Count, minPriorWeight
	for i := range f.n {
		if len(s.Normal[i]) != f.n {
			return ErrInvalidSnapshot
		}
		restored.rhs[i] = restoredWeight * s.RHS[i]
		for j := range f.n {
			restored.normal[i][j] = restoredWeight * s.Normal[i][j]
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

// Snapshot returns the observations for storage.
func (m *DecodeModel) Snapshot() FitSnapshot { return m.fit.snapshot() }

// Restore loads a snapshot from an earlier process, unless the model is calibrated already.
func (m *DecodeModel) Restore(state FitSnapshot) error {
	if m.Calibrated() {
		return nil
	}
	return m.fit.restore(state)
}

// Snapshot returns the estimates for storage.
func (l *LengthModel) Snapshot() LengthSnapshot {
	return LengthSnapshot{LogEvents: l.logEventsPerToken, Variance: l.variance, Samples: l.samples}
}

// Restore loads a snapshot from an earlier process, unless the model is calibrated already.
func (l *LengthModel) Restore(s LengthSnapshot) error {
	if l.Calibrated() {
		return nil
	}
	if !finite(s.LogEvents, s.Variance) || s.Variance < 0 || s.Samples < 0 {
		return ErrInvalidSnapshot
	}
	*l = LengthModel{logEventsPerToken: s.LogEvents, variance: s.Variance, samples: s.Samples}
	return nil
}

// Snapshot returns the estimate for storage.
func (e *EngineSpeed) Snapshot() EngineSnapshot {
	return EngineSnapshot{LogSlowdown: e.logSlowdown, Variance: e.variance, Samples: e.samples}
}

// Valid reports whether the values are finite and within their bounds.
func (s EngineSnapshot) Valid() bool {
	return finite(s.LogSlowdown, s.Variance) && math.Abs(s.LogSlowdown) <= math.Log(maxSlowdown) &&
		s.Variance >= 0 && s.Samples >= 0
}

// Restore loads a snapshot from an earlier process, unless the estimate is calibrated
// already. The caller must have checked that it is valid.
func (e *EngineSpeed) Restore(s EngineSnapshot) {
	if !e.Calibrated() {
		*e = EngineSpeed{logSlowdown: s.LogSlowdown, variance: s.Variance, samples: s.Samples}
	}
}
