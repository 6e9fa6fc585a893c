package predict

import (
	"math"
	"time"
)

// DecayFactor returns the factor by which exponential decay with the given half-life
// reduces a value within the elapsed time.
func DecayFactor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}
