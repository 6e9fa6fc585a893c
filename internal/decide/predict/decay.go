package predict

import (
	"math"
	"time"
)

// Left returns the part of something that is left after a time, if half of it is left
// after halfLife.
func DecayFactor(passed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(passed) / float64(halfLife))
}
