package place

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
)

const (
	// missesHalfLife is how long it takes what was placed to count half.
	missesHalfLife = 5 * time.Second
	// enoughAnswers is the events that answers placed lately must be expected to have
	// for their misses to be known.
	enoughAnswers = 1_000
)

// misses is the events of the answers placed lately, and those of the answers that
// are expected to miss their deadlines. Long answers count for more: they are the
// first to miss them.
type misses struct {
	missed, all float64
	at          time.Time
}

func (m *misses) add(now time.Time, events, miss float64) {
	m.fade(now)
	m.all += events
	m.missed += events * miss
}

func (m *misses) fade(now time.Time) {
	if passed := now.Sub(m.at); passed > 0 {
		left := predict.DecayFactor(passed, missesHalfLife)
		m.all *= left
		m.missed *= left
		m.at = now
	}
}

// Misses returns the part of the answers, by length, that is expected to miss its
// deadline at the engines that generate now; false while too few were placed.
func (f *Fleet) ExpectedMissRate(now time.Time) (float64, bool) {
	f.misses.fade(now)
	if f.misses.all < enoughAnswers {
		return 0, false
	}
	return f.misses.missed / f.misses.all, true
}

// countMiss takes in the chance that an answer which begins at an engine misses its
// deadline.
func (f *Fleet) countMiss(now time.Time, e *engine, a predict.Answer, left time.Duration) {
	if a.HintTokens <= 0 || !f.answersKnown() {
		return
	}
	between := e.between(e.running(now))
	events := float64(a.EventsDone) + float64(f.lengths.RemainingTime(a, between))/float64(max(1, between))
	f.misses.add(now, events, f.lengths.MissProbability(a, between, left))
}
