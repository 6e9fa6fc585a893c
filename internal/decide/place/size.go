package place

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
)

const (
	// minAdmissionRatio is the minimum admission rate of long prompts relative to that
	// of all prompts of their route. At least half is required.
	minAdmissionRatio = 0.55
	// minRoomRatio is the same for prompts that are rejected for want of memory, from which
	// on room is kept for them. It is higher because room appears only as requests end, and
	// because attempts are counted: callers of short prompts get in with a later one.
	minRoomRatio = 0.7
	// admissionHalfLife is the half-life of the admission counts.
	admissionHalfLife = 20 * time.Second
	// thresholdGain is the fraction by which a prompt moves a length threshold, and by
	// which a long prompt exceeds it: prompts of equal length are not long.
	thresholdGain = 0.05
	// maxRoutes limits the routes that are tracked.
	maxRoutes = 1_024
)

// longQuantiles are the quantiles of a route's prompt lengths above which prompts are
// long and longest. Both classes are counted separately.
var longQuantiles = [...]float64{0.65, 0.9}

// admissionCount counts requests and how many were admitted, with exponential decay.
type admissionCount struct{ requests, admitted float64 }

func (s *admissionCount) add(admitted bool) {
	s.requests++
	if admitted {
		s.admitted++
	}
}

func (s *admissionCount) decay(factor float64) {
	s.requests *= factor
	s.admitted *= factor
}

// routeSizes tracks the prompt lengths of one route.
type routeSizes struct {
	// thresholds are the estimated longQuantiles of the prompt lengths.
	thresholds [len(longQuantiles)]float64
	// all counts all prompts, long those between each threshold and the next one.
	all       admissionCount
	long      [len(longQuantiles)]admissionCount
	decayedAt time.Time
}

// sizeClass returns the index of the highest threshold below a length; -1 if there is
// none.
func (r *routeSizes) sizeClass(tokens float64) int {
	class := -1
	for i, threshold := range r.thresholds {
		if tokens > (1+thresholdGain)*threshold {
			class = i
		}
	}
	return class
}

// updateThresholds moves the thresholds toward their quantiles.
func (r *routeSizes) updateThresholds(tokens float64) {
	for i, quantile := range longQuantiles {
		if tokens > r.thresholds[i] {
			r.thresholds[i] *= 1 + thresholdGain*quantile
		} else {
			r.thresholds[i] *= 1 - thresholdGain*(1-quantile)
		}
	}
}

func (r *routeSizes) decay(now time.Time) {
	elapsed := now.Sub(r.decayedAt)
	if elapsed <= 0 {
		return
	}
	factor := predict.DecayFactor(elapsed, admissionHalfLife)
	r.all.decay(factor)
	for i := range r.long {
		r.long[i].decay(factor)
	}
	r.decayedAt = now
}

// underserved reports whether the admission rate of long prompts of a class is less than a
// ratio of that of all.
func (r *routeSizes) underserved(class int, ratio float64) bool {
	long := r.long[class]
	return long.admitted*r.all.requests < ratio*r.all.admitted*long.requests
}

// sizesByRoute has the prompt lengths by the name of their route.
type sizesByRoute map[string]*routeSizes

func (l sizesByRoute) forRoute(now time.Time, route string, tokens float64) *routeSizes {
	r, ok := l[route]
	if !ok {
		if len(l) >= maxRoutes {
			clear(l)
		}
		r = &routeSizes{decayedAt: now}
		for i := range r.thresholds {
			r.thresholds[i] = tokens
		}
		l[route] = r
	}
	r.decay(now)
	return r
}

// admitBySize admits a long prompt that would be too late, if long ones were admitted
// too rarely and it can still be answered.
//
// It guards against sustained bursts: short prompts are admitted until the queue delay
// is just short enough for them, so that there is never time for a long one, and its
// caller is rejected on each attempt. Symptom: the rejection rate grows with the length
// of the prompt.
func (f *Fleet) admitBySize(now time.Time, j Job, p Plan, c Constraints, a Admission) Admission {
	if j.Prompt.Tokens <= 0 {
		return a
	}
	tokens := float64(j.Prompt.Tokens)
	r := f.sizes.forRoute(now, j.Route, tokens)
	class := r.sizeClass(tokens)
	r.updateThresholds(tokens)
	if !a.Admit && class >= 0 && r.underserved(class, minAdmissionRatio) && p.canFinishInTime(c) {
		a = Admission{Admit: true, Priority: OnTimePriority, BySize: true}
	}
	r.all.add(a.Admit)
	if class >= 0 {
		r.long[class].add(a.Admit)
	}
	return a
}

// rejectedBySize counts a prompt that is rejected for want of memory, and reports whether
// it is a long one and such were admitted too rarely.
func (f *Fleet) rejectedBySize(now time.Time, j Job) bool {
	if j.Prompt.Tokens <= 0 {
		return false
	}
	tokens := float64(j.Prompt.Tokens)
	r := f.sizes.forRoute(now, j.Route, tokens)
	class := r.sizeClass(tokens)
	r.updateThresholds(tokens)
	r.all.add(false)
	if class < 0 {
		return false
	}
	r.long[class].add(false)
	return r.underserved(class, minRoomRatio)
}
