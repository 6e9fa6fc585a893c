package predict

import "time"

const (
	// lagGain is the weight of one observation in the moving average.
	lagGain = 0.1
	// lagHalfLife is the half-life of the lag without observations: a gateway that rejects
	// all callers because of its own lag observes no prefills that would lower it.
	lagHalfLife = time.Second
	// maxLagSample bounds a single observation.
	maxLagSample = time.Second
)

// PrefillLag is a moving average of how much longer prefills take than expected, whichever
// engine runs them.
type PrefillLag struct {
	value     float64 // ms
	updatedAt time.Time
}

// Current returns the lag, which is never negative.
func (l *PrefillLag) Current(now time.Time) time.Duration {
	l.decay(now)
	return fromMillis(max(0, l.value))
}

// Observe adds the expected and the actual duration of a prefill.
func (l *PrefillLag) Observe(now time.Time, expected, took time.Duration) {
	l.decay(now)
	excess := min(max(took-expected, -maxLagSample), maxLagSample)
	l.value += lagGain * (ToMillis(excess) - l.value)
}

func (l *PrefillLag) decay(now time.Time) {
	if elapsed := now.Sub(l.updatedAt); elapsed > 0 {
		l.value *= DecayFactor(elapsed, lagHalfLife)
		l.updatedAt = now
	}
}
