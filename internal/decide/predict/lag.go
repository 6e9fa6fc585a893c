package predict

import "time"

const (
	// lagGain is the part that each value adds to a Lag.
	lagGain = 0.1
	// lagHalfLife is how long it takes a Lag to halve while no value comes: an entry
	// that refuses all callers for its own lag sees no reads that would end it.
	lagHalfLife = time.Second
	// mostLag bounds a value.
	mostLag = time.Second
)

// Lag is how much longer some reads take than expected, whatever engine reads.
type PrefillLag struct {
	value float64 // ms
	at    time.Time
}

// Now is the lag, never negative.
func (l *PrefillLag) Current(now time.Time) time.Duration {
	l.fade(now)
	return milliseconds(max(0, l.value))
}

// Learn takes in what a read of this entry was expected to take, and took.
func (l *PrefillLag) Observe(now time.Time, expected, took time.Duration) {
	l.fade(now)
	off := min(max(took-expected, -mostLag), mostLag)
	l.value += lagGain * (ToMillis(off) - l.value)
}

func (l *PrefillLag) fade(now time.Time) {
	if passed := now.Sub(l.at); passed > 0 {
		l.value *= DecayFactor(passed, lagHalfLife)
		l.at = now
	}
}
