package predict

import (
	"math"
	"time"
)

const (
	// lengthGain is the part that each answer adds to what is believed of lengths
	// once a hundred were seen.
	lengthGain = 0.01
	// priorSpread is that of lengths around their hints before any were seen.
	priorSpread = 0.5
	// leastSpread keeps a chance of error in exact hints.
	leastSpread = 0.05
	// leastChance keeps answers far longer than hinted from having no length at all.
	leastChance = 1e-9
)

// Lengths is what is believed of how many events an answer has, given the caller's
// hint of its tokens: an event holds several tokens, and hints are often far off.
type LengthModel struct {
	// logEvents is the mean logarithm of events a hinted token, variance its
	// spread.
	logEvents, variance float64
	seen                int
}

// Learn takes in a whole answer.
func (l *LengthModel) Observe(hint, events int) {
	if hint <= 0 || events <= 0 {
		return
	}
	l.seen++
	gain := max(lengthGain, 1/float64(l.seen))
	err := math.Log(float64(events)/float64(hint)) - l.logEvents
	l.logEvents += gain * err
	l.variance += gain * ((1-gain)*err*err - l.variance)
}

// Known reports whether enough answers were seen.
func (l *LengthModel) Calibrated() bool { return l.seen >= enoughReads }

// Answer is what is known of one answer before its end.
type Answer struct {
	// Hint is how many tokens its caller expects, Done how many events there are.
	HintTokens, EventsDone int
}

// Tokens returns how many tokens a number of events hold, 0 while that is not known.
func (l *LengthModel) Tokens(events int) int {
	if !l.Calibrated() {
		return 0
	}
	return int(float64(events) * math.Exp(-l.logEvents))
}

// Duration is how long the rest of an answer takes, with the time between two of
// its events: the median of the answers that are longer than what is done.
func (l *LengthModel) RemainingTime(a Answer, between time.Duration) time.Duration {
	z := math.Sqrt2 * math.Erfcinv(l.longer(a, float64(a.EventsDone)))
	events := float64(a.HintTokens) * math.Exp(l.logEvents+l.spread()*z)
	return time.Duration(max(1, events-float64(a.EventsDone)) * float64(between))
}

// Exceeds is the probability that the rest of an answer takes longer than left.
func (l *LengthModel) MissProbability(a Answer, between, left time.Duration) float64 {
	if left <= 0 {
		return 1
	}
	return l.longer(a, l.reach(a, between, left)) / l.longer(a, float64(a.EventsDone))
}

// Sensitivity is how much that probability grows with a delay, as a part of left.
func (l *LengthModel) MissSensitivity(a Answer, between, left time.Duration) float64 {
	if left <= 0 {
		return 0
	}
	reach := l.reach(a, between, left)
	z := l.deviation(a, reach)
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi) / l.spread()
	return density * (1 - float64(a.EventsDone)/reach) / l.longer(a, float64(a.EventsDone))
}

// reach is how many events there are of an answer after a time.
func (l *LengthModel) reach(a Answer, between, after time.Duration) float64 {
	return float64(a.EventsDone) + float64(after)/float64(max(1, between))
}

// longer is the probability that an answer has more than a number of events.
func (l *LengthModel) longer(a Answer, events float64) float64 {
	if events <= 0 {
		return 1
	}
	return max(leastChance, 0.5*math.Erfc(l.deviation(a, events)/math.Sqrt2))
}

// deviation is by how many standard deviations a number of events is more than
// expected.
func (l *LengthModel) deviation(a Answer, events float64) float64 {
	return math.Log(events/(float64(a.HintTokens)*math.Exp(l.logEvents))) / l.spread()
}

func (l *LengthModel) spread() float64 {
	if !l.Calibrated() {
		return priorSpread
	}
	return max(leastSpread, math.Sqrt(l.variance))
}
