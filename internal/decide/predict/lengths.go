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
)

// Lengths is what is believed of how many events an answer has, given the caller's
// hint of its tokens: an event holds several tokens, and hints are often far off.
type Lengths struct {
	// logEvents is the mean logarithm of events a hinted token, variance its
	// spread.
	logEvents, variance float64
	seen                int
}

// Learn takes in a whole answer.
func (l *Lengths) Learn(hint, events int) {
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
func (l *Lengths) Known() bool { return l.seen >= enoughReads }

// Duration is how long an answer takes, by its hint and with the time between two
// of its events.
func (l *Lengths) Duration(hint int, between time.Duration) time.Duration {
	return time.Duration(float64(hint) * math.Exp(l.logEvents) * float64(between))
}

// Exceeds is the probability that an answer takes longer than left.
func (l *Lengths) Exceeds(hint int, between, left time.Duration) float64 {
	return 0.5 * math.Erfc(-l.deviation(hint, between, left)/math.Sqrt2)
}

// Sensitivity is how much that probability grows with a delay, as a part of left.
func (l *Lengths) Sensitivity(hint int, between, left time.Duration) float64 {
	z := l.deviation(hint, between, left)
	return math.Exp(-z*z/2) / math.Sqrt(2*math.Pi) / l.spread()
}

// deviation is by how many standard deviations an answer is expected to take
// longer than left.
func (l *Lengths) deviation(hint int, between, left time.Duration) float64 {
	if left <= 0 {
		return math.Inf(1)
	}
	return math.Log(float64(l.Duration(hint, between))/float64(left)) / l.spread()
}

func (l *Lengths) spread() float64 {
	if !l.Known() {
		return priorSpread
	}
	return max(leastSpread, math.Sqrt(l.variance))
}
