package place

import (
	"math"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
)

// arrivalRateHalfLife is the half-life of an arrival's weight.
const arrivalRateHalfLife = time.Second

// arrivalRate is an exponentially decayed count of arrivals.
type arrivalRate struct {
	count     float64
	decayedAt time.Time
}

func (a *arrivalRate) add(now time.Time) {
	a.decay(now)
	a.count++
}

func (a *arrivalRate) decay(now time.Time) {
	if elapsed := now.Sub(a.decayedAt); elapsed > 0 {
		a.count *= predict.DecayFactor(elapsed, arrivalRateHalfLife)
		a.decayedAt = now
	}
}

// perSecond returns the arrivals per second.
func (a *arrivalRate) perSecond(now time.Time) float64 {
	a.decay(now)
	return a.count * math.Ln2 / arrivalRateHalfLife.Seconds()
}

// handoverCost returns what a prefill at a decode engine costs the answers handed over
// to it until the prefill ends: the sum of the delays of their first tokens.
func (f *Fleet) handoverCost(now time.Time, e *engine, p Plan) time.Duration {
	// Handovers that arrive while the prompt is queued are delayed by the whole
	// prefill, those that arrive during the prefill by half of it on average.
	delayed := e.handovers.perSecond(now) * (p.QueueDelay + p.PrefillTime/2).Seconds()
	return scale(delayed, f.handoverModel.BacklogDelay(p.PrefillTime))
}
