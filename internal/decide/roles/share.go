package roles

import (
	"math"

	"pistachioroad.dev/pistachioroad/internal/backend"
)

const (
	// longDecodeShare is the fraction of decode engines for long answers.
	longDecodeShare = 0.5
	// longAnswerEvents is the value of AnswerStats.MaxEvents from which answers are
	// assumed to be long, unless their miss rate is known to be negligible.
	longAnswerEvents = 40
	// raiseMissRate is the miss rate above which one more engine decodes. The raised
	// share is held until the rate falls below lowerMissRate, so that a burst does not
	// change roles back and forth. Up to negligibleMissRate the default share suffices
	// for long answers.
	raiseMissRate      = 0.2
	lowerMissRate      = 0.1
	negligibleMissRate = 0.03
)

// AnswerStats holds statistics of the answers of a service.
type AnswerStats struct {
	// ExpectedMissRate is the fraction of answers, weighted by length, that is expected to
	// miss the deadline. It is valid if MissRateKnown.
	ExpectedMissRate float64
	MissRateKnown    bool
	// MaxEvents is the number of stream events in the longest answer that routes allow if
	// the inter-event time is at its objective.
	MaxEvents int
}

// DecodeShare returns the fraction of the engines that should decode.
//
// It raises the share for long answers: each occupies its engine for hundreds of
// decode steps, and the more of them share an engine, the longer its steps take.
// Symptom: the longest answers exceed their deadlines while prefills are on time.
func DecodeShare(engines []Engine, a AnswerStats) float64 {
	n, decode := float64(len(engines)), float64(count(engines, backend.Decode))
	if n == 0 {
		return DefaultDecodeShare
	}
	share := DefaultDecodeShare
	if a.MaxEvents >= longAnswerEvents && (!a.MissRateKnown || a.ExpectedMissRate > negligibleMissRate) {
		share = longDecodeShare
	}
	if !a.MissRateKnown || a.ExpectedMissRate < lowerMissRate {
		return share
	}
	if a.ExpectedMissRate > raiseMissRate {
		decode++
	}
	lowest, highest := math.Round(share*n), math.Round(longDecodeShare*n)
	return min(max(decode, lowest), highest) / n
}
