package predict

const (
	// forgettingFactor is the fraction of the accumulated sums that each observation
	// discards: about the last 500 observations count. This follows a fleet whose engines
	// are replaced within seconds of traffic.
	forgettingFactor = 0.002
	// The prior starts with initialPriorWeight, measured in observations that are off by
	// 100%, and is multiplied by priorDecay after each observation. It never falls below
	// minPriorWeight, so that features that always occur together have a solution.
	initialPriorWeight = 0.5
	priorDecay         = 0.9
	minPriorWeight     = 1e-4
	// solveInterval is the number of observations between two solutions after the first
	// settledAfter ones: solving after each takes a noticeable share of a small VM's CPU.
	solveInterval = 8
	// settledAfter is the number of observations from which on solveInterval applies.
	settledAfter = 200
)

// fit is a weighted least-squares fit with exponential forgetting. No coefficient is
// negative: more work never takes less time.
type fit struct {
	// n is the number of coefficients in use, from the first on.
	n int
	// normal and rhs are the normal equations, as sums of weighted products.
	normal [maxCoefficients][maxCoefficients]float64
	rhs    [maxCoefficients]float64
	prior  [maxCoefficients]float64
	// solution holds the most recently computed coefficients.
	solution [maxCoefficients]float64
	count    int
	// priorWeight is the current weight of the prior.
	priorWeight float64
}

func newFit(n int, prior [maxCoefficients]float64) fit {
	return fit{n: n, prior: prior, solution: prior, priorWeight: initialPriorWeight}
}

// add adds one weighted observation.
func (f *fit) add(features [maxCoefficients]float64, value, weight float64) {
	for i := range f.n {
		for j := range f.n {
			f.normal[i][j] += weight*features[i]*features[j] - forgettingFactor*f.normal[i][j]
		}
		f.rhs[i] += weight*features[i]*value - forgettingFactor*f.rhs[i]
	}
	f.count++
	f.priorWeight = max(minPriorWeight, priorDecay*f.priorWeight)
	if f.count < settledAfter || f.count%solveInterval == 0 {
		f.solve()
	}
}

// observe adds an observed time, in milliseconds, for which another was expected.
// Observations are weighted by their relative error. If bounded is set, the observed time
// is capped at maxObservedRatio times the expected one plus observedMargin.
func (f *fit) observe(features [maxCoefficients]float64, expected, observed float64, bounded bool) {
	if bounded {
		observed = min(observed, maxObservedRatio*expected+observedMargin)
	}
	scale := max(expected, observed) + relativeErrorOffset
	f.add(features, observed, 1/(scale*scale))
}

// solve finds the coefficients. Negative ones are clamped to zero one at a time, the most
// negative first, and the others solved again.
func (f *fit) solve() {
	var clamped [maxCoefficients]bool
	for range f.n {
		s := f.solveUnclamped(clamped)
		worst, relative := -1, 0.0
		for i := range f.n {
			if r := s[i] / f.prior[i]; r < relative {
				worst, relative = i, r
			}
		}
		if worst < 0 {
			f.solution = s
			return
		}
		clamped[worst] = true
	}
}

// solveUnclamped solves for the coefficients that are not clamped to zero.
func (f *fit) solveUnclamped(clamped [maxCoefficients]bool) [maxCoefficients]float64 {
	a, b := f.normal, f.rhs
	for i := range f.n {
		// The penalty is priorWeight for a coefficient that differs from its prior by 100%.
		penalty := f.priorWeight / (f.prior[i] * f.prior[i])
		a[i][i] += penalty
		b[i] += penalty * f.prior[i]
	}
	for i := range f.n {
		if !clamped[i] {
			continue
		}
		for j := range f.n {
			a[i][j], a[j][i] = 0, 0
		}
		a[i][i], b[i] = 1, 0
	}
	return eliminate(f.n, a, b)
}

// eliminate solves a symmetric positive definite system of n equations by Gaussian
// elimination.
func eliminate(n int, a [maxCoefficients][maxCoefficients]float64, b [maxCoefficients]float64) [maxCoefficients]float64 {
	for i := range n {
		for j := i + 1; j < n; j++ {
			factor := a[j][i] / a[i][i]
			for k := i; k < n; k++ {
				a[j][k] -= factor * a[i][k]
			}
			b[j] -= factor * b[i]
		}
	}
	var x [maxCoefficients]float64
	for i := n - 1; i >= 0; i-- {
		x[i] = b[i]
		for k := i + 1; k < n; k++ {
			x[i] -= a[i][k] * x[k]
		}
		x[i] /= a[i][i]
	}
	return x
}
