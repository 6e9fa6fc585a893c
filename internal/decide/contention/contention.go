// Package contention keeps how contended the machine of each backend server is, as the
// server reports it in its responses.
//
// Servers share their machines with other workloads, and a machine that is contended takes
// a multiple of the usual time for some tenths of a second. Without the reports, requests
// wait at contended servers while others are free, and each sample of their time is taken
// for the speed of the server itself: the estimates of all servers drift apart without a
// cause that lasts. A report is therefore a factor on expected times that fades quickly, and
// observed times are compared with the expected ones that include it. Dividing the observed
// times by it made all estimates too short, because it holds for a part of a prefill only.
// The package is pure code; time is passed in.
package contention

import (
	"math"
	"time"
)

const (
	// fadeTime is the age at which a report has lost its weight: half of the time within
	// which the state of a machine changes.
	fadeTime = 300 * time.Millisecond
	// Min and Max bound the factors that are used, so that a false report neither attracts
	// all requests to a server nor makes estimates overflow.
	Min, Max = 0.5, 8.0
	// usualGain is the weight of a report in what is usual.
	usualGain = 0.005
	// usualWarmUp reduces the otherwise higher weight of the first reports.
	usualWarmUp = 20
)

// Report is what a server has reported at a time.
type Report struct {
	// Factor is how many times as long work takes: 1 is as usual, 0 unknown.
	Factor float64
	At     time.Time
}

// Clamp returns a factor within the bounds, or 0 if it is impossible.
func Clamp(factor float64) float64 {
	if !(factor > 0) || math.IsInf(factor, 1) {
		return 0
	}
	return min(max(factor, Min), Max)
}

// Usual is the mean of reported factors: those of one engine, whose learned speed includes it,
// or of all plain servers. The factor of a server is taken relative to it. The zero value is 1.
type Usual struct {
	excess float64
	count  int
}

// Factor returns the mean.
func (u *Usual) Factor() float64 { return 1 + u.excess }

func (u *Usual) add(factor float64) {
	u.count++
	u.excess += max(usualGain, 1/float64(u.count+usualWarmUp)) * (factor - 1 - u.excess)
}

// State is the contention at one server. The zero value is unknown.
type State struct {
	// relative is the factor of the last report, relative to the usual one.
	relative float64
	// reported is the factor as it was reported, at the time of the report.
	reported float64
	at       time.Time
}

// Add records a report, unless it is invalid or a later one is known. usual learns from it.
func (s *State) Add(now time.Time, r Report, usual *Usual) {
	factor := Clamp(r.Factor)
	if r.At.After(now) {
		r.At = now
	}
	if factor == 0 || now.Sub(r.At) >= fadeTime || (s.reported > 0 && r.At.Before(s.at)) {
		return
	}
	usual.add(factor)
	s.relative, s.reported, s.at = factor/usual.Factor(), factor, r.At
}

// Last returns the last report, with Factor 0 if there is none.
func (s *State) Last() Report { return Report{Factor: s.reported, At: s.at} }

// Sample is a factor relative to the usual one, with its weight: 0 if it is unknown, 1 if it
// is from now.
type Sample struct {
	Factor, Weight float64
}

// At returns the sample at a time.
func (s *State) At(now time.Time) Sample {
	if s.reported == 0 {
		return Sample{}
	}
	return Sample{Factor: s.relative, Weight: weight(now.Sub(s.at))}
}

func weight(age time.Duration) float64 {
	return max(0, 1-float64(max(0, age))/float64(fadeTime))
}

// Now returns by which factor work takes longer than usual at the moment: 1 if unknown.
func (s Sample) Now() float64 { return 1 + s.Weight*(s.Factor-1) }

// Over returns the mean factor for work that takes d from now on.
func (s Sample) Over(d time.Duration) float64 {
	if s.Weight == 0 || d <= 0 {
		return s.Now()
	}
	// The weight falls linearly, to 0 after left.
	left := s.Weight * float64(fadeTime)
	mean := s.Weight - float64(d)/(2*float64(fadeTime))
	if float64(d) > left {
		mean = s.Weight * left / (2 * float64(d))
	}
	return 1 + mean*(s.Factor-1)
}

// bytesPerUnit is the resolution of a factor in messages.
const bytesPerUnit = 31

// Encode returns a factor as a byte for messages between gateways, 0 if it is unknown.
func Encode(factor float64) byte { return byte(math.Round(Clamp(factor) * bytesPerUnit)) }

// Decode returns the factor that a byte encodes.
func Decode(b byte) float64 { return Clamp(float64(b) / bytesPerUnit) }
