package place

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
)

const (
	// missesHalfLife is the half-life of a placed answer's weight.
	missesHalfLife = 5 * time.Second
	// minPlacedEvents is how many events recently placed answers must be expected to
	// have before their miss rate is known.
	minPlacedEvents = 1_000
)

// expectedMisses has the expected events of recently placed answers, and those of the
// answers that are expected to miss their deadlines. Long answers count for more: they
// are the first to miss them.
type expectedMisses struct {
	missed, total float64
	decayedAt     time.Time
}

func (m *expectedMisses) add(now time.Time, events, miss float64) {
	m.decay(now)
	m.total += events
	m.missed += events * miss
}

func (m *expectedMisses) decay(now time.Time) {
	if elapsed := now.Sub(m.decayedAt); elapsed > 0 {
		factor := predict.DecayFactor(elapsed, missesHalfLife)
		m.total *= factor
		m.missed *= factor
		m.decayedAt = now
	}
}

// ExpectedMissRate returns the fraction of the answers, by length, that is expected to
// miss its deadline on the current decode engines; false while too few were placed.
func (f *Fleet) ExpectedMissRate(now time.Time) (float64, bool) {
	f.expectedMisses.decay(now)
	if f.expectedMisses.total < minPlacedEvents {
		return 0, false
	}
	return f.expectedMisses.missed / f.expectedMisses.total, true
}

// recordExpectedMiss adds the probability that an answer which starts at an engine
// misses its deadline.
func (f *Fleet) recordExpectedMiss(now time.Time, e *engine, a predict.Answer, remaining time.Duration) {
	if a.HintTokens <= 0 || !f.decodeCalibrated() {
		return
	}
	interEvent := f.answerInterEventTime(now, e, e.decodeBatch(now), a)
	events := float64(a.EventsDone) + float64(f.answerLengths.RemainingTime(a, interEvent))/float64(max(1, interEvent))
	f.expectedMisses.add(now, events, f.answerLengths.MissProbability(a, interEvent, remaining))
}
