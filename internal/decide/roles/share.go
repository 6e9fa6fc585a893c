package roles

import (
	"math"

	"pistachioroad.dev/pistachioroad/internal/backend"
)

const (
	// longDecodeShare is the part of the engines that generate long answers.
	longDecodeShare = 0.5
	// longAnswer is how many of the longest pauses between two events an answer may
	// last to count as long before answers were seen.
	longAnswer = 40
	// tooManyMisses is the part of misses above which one more engine generates. It
	// goes on until the part falls below someMisses, so that a burst does not change
	// roles to and fro. Below fewMisses the default share suffices for long answers.
	tooManyMisses = 0.2
	someMisses    = 0.1
	fewMisses     = 0.03
)

// Answers is what is known of the answers that engines generate.
type AnswerStats struct {
	// Misses is the part of them, by length, that is expected to miss its deadline, if
	// it is known.
	ExpectedMissRate float64
	MissRateKnown    bool
	// Longest is how many of the longest pauses between its events an answer may last.
	MaxEvents int
}

// DecodeShare returns the part of the engines that should generate.
//
// It answers long answers: each holds its engine for hundreds of steps, and the more
// of them share an engine, the longer its steps take. One notices by the longest
// answers, which are cut by their deadlines while prompts are read in time.
func DecodeShare(engines []Engine, a AnswerStats) float64 {
	n, decode := float64(len(engines)), float64(count(engines, backend.Decode))
	if n == 0 {
		return DefaultDecodeShare
	}
	share := DefaultDecodeShare
	if a.MaxEvents >= longAnswer && (!a.MissRateKnown || a.ExpectedMissRate > fewMisses) {
		share = longDecodeShare
	}
	if !a.MissRateKnown || a.ExpectedMissRate < someMisses {
		return share
	}
	if a.ExpectedMissRate > tooManyMisses {
		decode++
	}
	least, most := math.Round(share*n), math.Round(longDecodeShare*n)
	return min(max(decode, least), most) / n
}
