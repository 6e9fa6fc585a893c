package place

import (
	"math"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
)

// arrivalsHalfLife is how long it takes an arrival to count half.
const arrivalsHalfLife = time.Second

// arrivals is how often something has come lately.
type arrivals struct {
	count float64
	at    time.Time
}

func (a *arrivals) add(now time.Time) {
	a.fade(now)
	a.count++
}

func (a *arrivals) fade(now time.Time) {
	if passed := now.Sub(a.at); passed > 0 {
		a.count *= predict.DecayFactor(passed, arrivalsHalfLife)
		a.at = now
	}
}

// perSecond returns how often a second it comes.
func (a *arrivals) perSecond(now time.Time) float64 {
	a.fade(now)
	return a.count * math.Ln2 / arrivalsHalfLife.Seconds()
}

// handoverCost is what a read at an engine that generates costs the answers that are
// handed over to it until the read ends: by how much it delays the first token of each.
func (f *Fleet) handoverCost(now time.Time, e *engine, p Plan) time.Duration {
	// Those that come while the prompt waits are delayed by all of the read, those that
	// come while it is read by half of it on average.
	delayed := e.handovers.perSecond(now) * (p.QueueDelay + p.PrefillTime/2).Seconds()
	return part(delayed, f.handover.BacklogDelay(p.PrefillTime))
}
