package place

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
)

const (
	// leastShare is how often long prompts are to be let in at least, compared with all
	// of their route. Half of all is owed to them.
	leastShare = 0.55
	// shareHalfLife is how long it takes what was decided to count half.
	shareHalfLife = 20 * time.Second
	// cutGain is the part of a length by which a prompt moves what counts as long, and
	// by which a long one exceeds it: prompts of one length are not long.
	cutGain = 0.05
	// mostRoutes bounds the routes of which anything is kept.
	mostRoutes = 1_024
)

// longParts are the parts of a route's prompts that are shorter than its long ones and
// than its longest ones, which count by themselves.
var longParts = [...]float64{0.65, 0.9}

// share counts how many of some prompts were let in, those of late the most.
type share struct{ asked, admitted float64 }

func (s *share) add(admitted bool) {
	s.asked++
	if admitted {
		s.admitted++
	}
}

func (s *share) fade(left float64) {
	s.asked *= left
	s.admitted *= left
}

// routeSizes is what is known of the lengths of one route's prompts.
type routeSizes struct {
	// cuts are the lengths that longParts of the prompts do not exceed.
	cuts [len(longParts)]float64
	// all counts all prompts, long those between each cut and the next one.
	all  share
	long [len(longParts)]share
	at   time.Time
}

// class is the index of the highest cut below a length; -1 if there is none.
func (r *routeSizes) class(tokens float64) int {
	above := -1
	for i, cut := range r.cuts {
		if tokens > (1+cutGain)*cut {
			above = i
		}
	}
	return above
}

// learn moves the cuts so that each has its part of the prompts below it.
func (r *routeSizes) learn(tokens float64) {
	for i, part := range longParts {
		if tokens > r.cuts[i] {
			r.cuts[i] *= 1 + cutGain*part
		} else {
			r.cuts[i] *= 1 - cutGain*(1-part)
		}
	}
}

func (r *routeSizes) fade(now time.Time) {
	passed := now.Sub(r.at)
	if passed <= 0 {
		return
	}
	left := predict.DecayFactor(passed, shareHalfLife)
	r.all.fade(left)
	for i := range r.long {
		r.long[i].fade(left)
	}
	r.at = now
}

// owed reports whether long prompts were let in too seldom.
func (r *routeSizes) owed(class int) bool {
	long := r.long[class]
	return long.admitted*r.all.asked < leastShare*r.all.admitted*long.asked
}

// sizesByRoute is what is known of the lengths of prompts, by the name of their route.
type sizesByRoute map[string]*routeSizes

func (l sizesByRoute) of(now time.Time, route string, tokens float64) *routeSizes {
	r, ok := l[route]
	if !ok {
		if len(l) >= mostRoutes {
			clear(l)
		}
		r = &routeSizes{at: now}
		for i := range r.cuts {
			r.cuts[i] = tokens
		}
		l[route] = r
	}
	r.fade(now)
	return r
}

// admitBySize lets a long prompt in that would be too late, if long ones were let in
// too seldom and it can still be answered.
//
// It answers bursts that last. Short prompts are let in until the wait is just short
// enough for them, so that there is never time for a long one: its caller is refused
// whenever it comes. One notices by refusals that grow with the length of the prompt.
func (f *Fleet) admitBySize(now time.Time, j Job, p Plan, u Constraints, a Admission) Admission {
	if j.Prompt.Tokens <= 0 {
		return a
	}
	tokens := float64(j.Prompt.Tokens)
	r := f.sizes.of(now, j.Route, tokens)
	class := r.class(tokens)
	r.learn(tokens)
	if !a.Admit && class >= 0 && r.owed(class) && p.canEnd(u) {
		a = Admission{Admit: true, Priority: OnTimePriority, BySize: true}
	}
	r.all.add(a.Admit)
	if class >= 0 {
		r.long[class].add(a.Admit)
	}
	return a
}
