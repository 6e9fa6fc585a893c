package predict

import (
	"math"
	"time"
)

const (
	// lengthGain is the weight of one answer in the moving averages once a hundred answers
	// were observed.
	lengthGain = 0.01
	// priorLogStdDev is the standard deviation of the log ratio of length to hint that is
	// assumed before the model is calibrated.
	priorLogStdDev = 0.5
	// minLogStdDev leaves some uncertainty where hints are exact.
	minLogStdDev = 0.05
	// minProbability keeps the estimates for answers far longer than hinted finite.
	minProbability = 1e-9
)

// LengthModel is a log-normal model of the number of stream events of an answer, given the
// caller's hint in tokens: an event carries several tokens, and hints are often far off.
type LengthModel struct {
	// logEventsPerToken is the mean logarithm of events per hinted token, variance the
	// variance of that logarithm.
	logEventsPerToken, variance float64
	samples                     int
}

// Observe adds a complete answer.
func (l *LengthModel) Observe(hint, events int) {
	if hint <= 0 || events <= 0 {
		return
	}
	l.samples++
	gain := max(lengthGain, 1/float64(l.samples))
	logError := math.Log(float64(events)/float64(hint)) - l.logEventsPerToken
	l.logEventsPerToken += gain * logError
	l.variance += gain * ((1-gain)*logError*logError - l.variance)
}

// Calibrated reports whether enough answers were observed.
func (l *LengthModel) Calibrated() bool { return l.samples >= minSamples }

// Answer describes an answer that is not finished.
type Answer struct {
	// HintTokens is the length that the caller expects, EventsDone the number of events
	// generated so far.
	HintTokens, EventsDone int
}

// Tokens returns the expected number of tokens in the given number of events, or 0 before
// the model is calibrated.
func (l *LengthModel) Tokens(events int) int {
	if !l.Calibrated() {
		return 0
	}
	return int(float64(events) * math.Exp(-l.logEventsPerToken))
}

// RemainingTime returns the time that the rest of an answer takes at the given inter-event
// time: the median over the answers that are longer than EventsDone.
func (l *LengthModel) RemainingTime(a Answer, interEvent time.Duration) time.Duration {
	z := math.Sqrt2 * math.Erfcinv(l.probabilityLonger(a, float64(a.EventsDone)))
	events := float64(a.HintTokens) * math.Exp(l.logEventsPerToken+l.logStdDev()*z)
	return time.Duration(max(1, events-float64(a.EventsDone)) * float64(interEvent))
}

// MissProbability returns the probability that the rest of an answer takes longer than the
// remaining time.
func (l *LengthModel) MissProbability(a Answer, interEvent, remaining time.Duration) float64 {
	if remaining <= 0 {
		return 1
	}
	return l.probabilityLonger(a, l.eventsAfter(a, interEvent, remaining)) / l.probabilityLonger(a, float64(a.EventsDone))
}

// MissSensitivity returns the derivative of MissProbability with respect to a delay, the
// delay as a fraction of the remaining time.
func (l *LengthModel) MissSensitivity(a Answer, interEvent, remaining time.Duration) float64 {
	if remaining <= 0 {
		return 0
	}
	events := l.eventsAfter(a, interEvent, remaining)
	z := l.zScore(a, events)
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi) / l.logStdDev()
	return density * (1 - float64(a.EventsDone)/events) / l.probabilityLonger(a, float64(a.EventsDone))
}

// eventsAfter returns the number of events that an answer has after a further time.
func (l *LengthModel) eventsAfter(a Answer, interEvent, after time.Duration) float64 {
	return float64(a.EventsDone) + float64(after)/float64(max(1, interEvent))
}

// probabilityLonger returns the probability that an answer has more than the given number
// of events.
func (l *LengthModel) probabilityLonger(a Answer, events float64) float64 {
	if events <= 0 {
		return 1
	}
	return max(minProbability, 0.5*math.Erfc(l.zScore(a, events)/math.Sqrt2))
}

// zScore returns by how many standard deviations the logarithm of the number of events
// exceeds its mean.
func (l *LengthModel) zScore(a Answer, events float64) float64 {
	return math.Log(events/(float64(a.HintTokens)*math.Exp(l.logEventsPerToken))) / l.logStdDev()
}

func (l *LengthModel) logStdDev() float64 {
	if !l.Calibrated() {
		return priorLogStdDev
	}
	return max(minLogStdDev, math.Sqrt(l.variance))
}

// Spread returns the factor by which an answer exceeds the caller's hint at one standard
// deviation.
func (l *LengthModel) Spread() float64 { return math.Exp(l.logStdDev()) }
