package predict

const (
	// forget is the part of what was seen that each further value takes away:
	// five hundred reads count. It follows a fleet whose engines are replaced within
	// seconds of traffic.
	forget = 0.002
	// priorWeight is how much the prior counts at first, in values that are off by
	// their whole size; priorDecay is what is left of that after each value, and
	// leastPrior what stays for good, so that features that always come together
	// have a solution.
	priorWeight = 0.5
	priorDecay  = 0.9
	leastPrior  = 1e-4
	// solveEvery is how many values pass between two solutions once the fit is
	// settled: solving at each of them takes a visible part of a small VM.
	solveEvery = 8
	// settled is the number of values from which on solveEvery holds.
	settled = 200
)

// fit is a weighted least-squares fit with forgetting. Coefficients are kept
// from being negative: time is not given back by more work.
type fit struct {
	// n is how many of the coefficients are used, the first ones.
	n int
	// normal and right are the normal equations: the sums of weighted products.
	normal [coefficients][coefficients]float64
	right  [coefficients]float64
	prior  [coefficients]float64
	// solution is the fit as last solved.
	solution [coefficients]float64
	count    int
	// believed is how much the prior counts now.
	believed float64
}

func newFit(n int, prior [coefficients]float64) fit {
	return fit{n: n, prior: prior, solution: prior, believed: priorWeight}
}

// add takes in one value with its features and weight.
func (f *fit) add(features [coefficients]float64, value, weight float64) {
	for i := range f.n {
		for j := range f.n {
			f.normal[i][j] += weight*features[i]*features[j] - forget*f.normal[i][j]
		}
		f.right[i] += weight*features[i]*value - forget*f.right[i]
	}
	f.count++
	f.believed = max(leastPrior, priorDecay*f.believed)
	if f.count < settled || f.count%solveEvery == 0 {
		f.solve()
	}
}

// learn takes in a value of which another was expected, in milliseconds. Values are
// weighed by their relative error; a bounded one counts as mostSurprise times what
// was expected at most.
func (f *fit) learn(features [coefficients]float64, expected, seen float64, bounded bool) {
	if bounded {
		seen = min(seen, mostSurprise*expected+surpriseFloor)
	}
	scale := max(expected, seen) + jitter
	f.add(features, seen, 1/(scale*scale))
}

// solve finds the coefficients. Those that come out negative are held at zero
// one after the other, the most negative first, and the others solved again.
func (f *fit) solve() {
	var held [coefficients]bool
	for range f.n {
		s := f.solveFree(held)
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
		held[worst] = true
	}
}

// solveFree solves for the coefficients that are not held at zero.
func (f *fit) solveFree(held [coefficients]bool) [coefficients]float64 {
	a, b := f.normal, f.right
	for i := range f.n {
		// A coefficient that is off by its whole prior costs so much.
		pull := f.believed / (f.prior[i] * f.prior[i])
		a[i][i] += pull
		b[i] += pull * f.prior[i]
	}
	for i := range f.n {
		if !held[i] {
			continue
		}
		for j := range f.n {
			a[i][j], a[j][i] = 0, 0
		}
		a[i][i], b[i] = 1, 0
	}
	return eliminate(f.n, a, b)
}

// eliminate solves a symmetric positive definite system of n equations.
func eliminate(n int, a [coefficients][coefficients]float64, b [coefficients]float64) [coefficients]float64 {
	for i := range n {
		for j := i + 1; j < n; j++ {
			by := a[j][i] / a[i][i]
			for k := i; k < n; k++ {
				a[j][k] -= by * a[i][k]
			}
			b[j] -= by * b[i]
		}
	}
	var x [coefficients]float64
	for i := n - 1; i >= 0; i-- {
		x[i] = b[i]
		for k := i + 1; k < n; k++ {
			x[i] -= a[i][k] * x[k]
		}
		x[i] /= a[i][i]
	}
	return x
}
