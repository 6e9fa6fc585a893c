package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
)

const (
	// ReusedThreshold is the number of crashes from which a segment is blamed that prompts have
	// completed with before, and any other although a second segment explains its crashes.
	ReusedThreshold = 5
	// maxCrashes bounds the recorded crashes, and MaxCrashSegments the segments of each.
	maxCrashes       = 64
	MaxCrashSegments = 64
	// completedGeneration is the number of segments in each of the two generations of those
	// that prompts have completed with.
	completedGeneration = 4_096
	// maxBlames bounds the sets of segments that are blamed.
	maxBlames = 16
	// A prompt that would be rejected is sent as a trial once no server has crashed for
	// firstTrialDelay, and if that one crashes too, once more after laterTrialDelay: a set of
	// segments that is blamed wrongly would be rejected without ever being cleared.
	firstTrialDelay = 3 * time.Second
	laterTrialDelay = 10 * time.Second
	maxTrials       = 2
	// trialRotation is how long one gateway has for a trial before it is another one's turn.
	trialRotation = 5 * time.Second
	// settleTime is how long after segments could be blamed crashes may be those of prompts
	// that were sent before. Later ones are those of trials.
	settleTime = 2500 * time.Millisecond
)

// Segment is the ID of a prompt segment that prompts share.
type Segment = uint64

// Crash records that an instance terminated while it ran prompts with the segments, or, with a
// zero Instance, that prompts with the segments completed.
type Crash struct {
	Instance   backend.Instance
	ObservedAt time.Time
	// Fresh are the segments that no prompt is known to have completed with before, Reused the
	// others.
	Fresh, Reused []Segment
}

// completed reports whether prompts completed.
func (c Crash) completed() bool { return c.Instance == backend.Instance{} }

// Blame is a set of segments that explains crashes: a prompt that has all of them is not sent to
// any server. Their crashes are the same, so they can't be told apart.
type Blame struct {
	Segments []Segment
	// Crashes are the crashes that the set explains, oldest first.
	Crashes []Crash
	// Reused says that prompts have completed with the segments before.
	Reused bool
	// Restored says that crashes were observed before this process started.
	Restored bool
}

// RetryAfter is when prompts with the segments are sent again unless more crashes come.
func (b Blame) RetryAfter(now time.Time) time.Duration {
	return b.Crashes[len(b.Crashes)-b.threshold()].ObservedAt.Add(evidenceTTL).Sub(now)
}

func (b Blame) threshold() int {
	if b.Reused {
		return ReusedThreshold
	}
	return TerminationThreshold
}

// TrialRound returns whether a trial is due. One gateway has the turn in each round.
func (b Blame) TrialRound(now time.Time) (round uint64, due bool) {
	blamableAt, last := b.Crashes[b.threshold()-1].ObservedAt, b.Crashes[len(b.Crashes)-1].ObservedAt
	trials := 0
	for _, c := range b.Crashes {
		if c.ObservedAt.Sub(blamableAt) > settleTime {
			trials++
		}
	}
	from := last.Add(firstTrialDelay)
	if trials > 0 {
		from = last.Add(laterTrialDelay)
	}
	if trials >= maxTrials || now.Before(from) {
		return 0, false
	}
	return uint64(len(b.Crashes))<<32 | uint64(now.Sub(from)/trialRotation), true
}

// matches reports whether a prompt has all segments of the set.
func (b Blame) matches(segments []Segment) bool {
	for _, s := range b.Segments {
		if !slices.Contains(segments, s) {
			return false
		}
	}
	return true
}

// Segments decides which prompts are no longer sent to any server because a segment crashes the
// servers that generate on it. Each such prompt is another request, so evidence on requests does
// not find them.
//
// All segments of the prompts that ran at a crashed server are suspected. The ones that explain
// the most crashes are blamed; a crash that they explain is no evidence against others. A segment
// is cleared when a prompt that has it completes. Like List it merges evidence in any order, and
// it is not safe for concurrent use.
type Segments struct {
	crashes map[backend.Instance]*crash
	// clearedAt is when prompts last completed with a segment of the crashes.
	clearedAt map[Segment]time.Time
	// suspects are the segments against which a crash counts.
	suspects  map[Segment]struct{}
	completed generations
	blames    []Blame
	version   uint64
}

// crash is the merged record of a crash.
type crash struct {
	instance   backend.Instance
	observedAt time.Time
	// segments has the segments of the prompts that ran there.
	segments   map[Segment]struct{}
	restored   bool
	repeatedAt time.Time
}

// NewSegments returns an empty Segments.
func NewSegments() *Segments {
	return &Segments{crashes: make(map[backend.Instance]*crash), clearedAt: make(map[Segment]time.Time)}
}

// Empty reports whether no crash is known.
func (s *Segments) Empty() bool { return len(s.crashes) == 0 }

// Version returns a number that changes whenever the snapshot may have changed other than by the
// passage of time. It is 0 while there has been nothing to save.
func (s *Segments) Version() uint64 { return s.version }

// Split returns the segments of a crash, the fresh ones and the reused ones apart. Of more than
// MaxCrashSegments it drops reused ones first.
func (s *Segments) Split(segments []Segment) (fresh, reused []Segment) {
	for _, id := range segments {
		if s.completed.has(id) {
			reused = append(reused, id)
			continue
		}
		fresh = append(fresh, id)
	}
	fresh = fresh[:min(len(fresh), MaxCrashSegments)]
	return fresh, reused[:min(len(reused), MaxCrashSegments-len(fresh))]
}

// Add merges a crash, or a completion, and reports whether it was new.
func (s *Segments) Add(now time.Time, c Crash) bool {
	if now.Sub(c.ObservedAt) >= evidenceTTL {
		return false
	}
	if c.completed() {
		return len(s.complete(now, slices.Concat(c.Fresh, c.Reused), c.ObservedAt)) > 0
	}
	return s.addCrash(now, c, false)
}

func (s *Segments) addCrash(now time.Time, c Crash, restored bool) bool {
	r, ok := s.crashes[c.Instance]
	if !ok {
		r = &crash{instance: c.Instance, observedAt: c.ObservedAt, segments: make(map[Segment]struct{}), restored: restored}
		s.crashes[c.Instance] = r
	}
	if c.ObservedAt.Before(r.observedAt) {
		r.observedAt = c.ObservedAt
	}
	known := len(r.segments)
	for _, id := range c.Reused {
		s.completed.add(id)
	}
	for _, id := range slices.Concat(c.Fresh, c.Reused) {
		if len(r.segments) < 2*MaxCrashSegments {
			r.segments[id] = struct{}{}
		}
	}
	if ok && len(r.segments) == known {
		return false
	}
	s.evictOldest()
	s.recompute(now)
	return true
}

// Complete records that a prompt with the segments completed, and returns those that it clears.
func (s *Segments) Complete(now time.Time, segments []Segment) (cleared []Segment) {
	for _, id := range segments {
		s.completed.add(id)
	}
	if s.Empty() {
		return nil
	}
	return s.complete(now, segments, now)
}

func (s *Segments) complete(now time.Time, segments []Segment, at time.Time) (cleared []Segment) {
	for _, id := range segments {
		s.completed.add(id)
		if _, ok := s.suspects[id]; ok && s.suspectedUntil(id, at) {
			s.clearedAt[id] = at
			cleared = append(cleared, id)
		}
	}
	if len(cleared) > 0 {
		s.recompute(now)
	}
	return cleared
}

// suspectedUntil reports whether a crash up to the given time counts against a segment.
func (s *Segments) suspectedUntil(id Segment, at time.Time) bool {
	for _, r := range s.crashes {
		if s.counts(r, id) && !r.observedAt.After(at) {
			return true
		}
	}
	return false
}

// counts reports whether a crash counts against a segment.
func (s *Segments) counts(r *crash, id Segment) bool {
	_, ok := r.segments[id]
	return ok && r.observedAt.After(s.clearedAt[id])
}

// Suspected reports whether a server crashed under a prompt with one of the segments, and none has
// completed with it.
func (s *Segments) Suspected(segments []Segment) bool {
	return slices.ContainsFunc(segments, func(id Segment) bool {
		_, suspected := s.suspects[id]
		return suspected && !s.completed.has(id)
	})
}

// Blamed returns the set of segments for which a prompt is rejected, if it is.
func (s *Segments) Blamed(now time.Time, segments []Segment) (Blame, bool) {
	for _, b := range s.blames {
		if b.matches(segments) && b.RetryAfter(now) > 0 {
			return b, true
		}
	}
	return Blame{}, false
}

// MayTry reports whether a prompt for which a set is blamed is fit for a trial: it has no other
// segment that may crash servers.
func (s *Segments) MayTry(segments []Segment, b Blame) bool {
	return !s.Suspected(slices.DeleteFunc(slices.Clone(segments), func(id Segment) bool { return slices.Contains(b.Segments, id) }))
}

// Blames returns all sets of segments that are blamed.
func (s *Segments) Blames() []Blame { return s.blames }

// recompute finds the sets of segments to blame.
func (s *Segments) recompute(now time.Time) {
	s.expire(now)
	remaining := slices.SortedFunc(maps.Values(s.crashes), func(a, b *crash) int {
		return cmp.Or(a.observedAt.Compare(b.observedAt), cmp.Compare(a.instance.ID, b.instance.ID))
	})
	if s.suspect(remaining) || s.version > 0 {
		s.version++
	}
	s.blames = nil
	all := slices.Clone(remaining)
	for len(s.blames) < maxBlames {
		b, explained, ok := s.explain(remaining)
		if !ok {
			break
		}
		s.blames = append(s.blames, b)
		remaining = slices.DeleteFunc(remaining, func(r *crash) bool { return slices.Contains(explained, r) })
	}
	s.blameFrequent(all)
}

// blameFrequent blames the segments that have ReusedThreshold crashes and that no prompt has
// completed with, whatever explains these crashes as well: a frequent segment that ran everywhere
// must not hide a fatal one for long.
func (s *Segments) blameFrequent(crashes []*crash) {
	byCrashes := s.explained(crashes, false)
	for _, id := range slices.Sorted(maps.Keys(byCrashes)) {
		if len(s.blames) >= maxBlames {
			return
		}
		known := slices.ContainsFunc(s.blames, func(b Blame) bool { return slices.Contains(b.Segments, id) })
		if !known && len(byCrashes[id]) >= ReusedThreshold && distinct(byCrashes[id]) >= TerminationThreshold {
			s.blames = append(s.blames, newBlame(byCrashes, byCrashes[id], false))
		}
	}
}

// newBlame returns the set of segments whose crashes are the given ones.
func newBlame(byCrashes map[Segment][]*crash, crashes []*crash, reused bool) Blame {
	b := Blame{Reused: reused}
	for id, of := range byCrashes {
		if slices.Equal(of, crashes) {
			b.Segments = append(b.Segments, id)
		}
	}
	slices.Sort(b.Segments)
	for _, r := range crashes {
		b.Crashes = append(b.Crashes, Crash{Instance: r.instance, ObservedAt: r.observedAt})
		b.Restored = b.Restored || r.restored
	}
	return b
}

// explain returns the set of segments that explains the most of the crashes, with these crashes.
// Segments that prompts have completed with come last.
func (s *Segments) explain(crashes []*crash) (b Blame, explained []*crash, ok bool) {
	for _, reused := range []bool{false, true} {
		byCrashes := s.explained(crashes, reused)
		best := Segment(0)
		for id, of := range byCrashes {
			if distinct(of) < (Blame{Reused: reused}).threshold() {
				continue
			}
			if more := cmp.Or(cmp.Compare(len(of), len(byCrashes[best])), cmp.Compare(distinct(of), distinct(byCrashes[best])), cmp.Compare(best, id)); more > 0 {
				best = id
			}
		}
		if explained = byCrashes[best]; len(explained) > 0 {
			return newBlame(byCrashes, explained, reused), explained, true
		}
	}
	return Blame{}, nil, false
}

// explained returns the crashes that count against each segment, reused ones or the others.
func (s *Segments) explained(crashes []*crash, reused bool) map[Segment][]*crash {
	all := make(map[Segment][]*crash)
	for _, r := range crashes {
		for id := range r.segments {
			if s.completed.has(id) == reused && s.counts(r, id) {
				all[id] = append(all[id], r)
			}
		}
	}
	return all
}

// distinct returns the number of crashes, of which those within minGap of the one before count as
// one: servers that are lost together are no evidence against what many callers send.
func distinct(crashes []*crash) int {
	n := 0
	var last time.Time
	for _, r := range crashes {
		if n == 0 || r.observedAt.Sub(last) >= minGap {
			n++
			last = r.observedAt
		}
	}
	return n
}

// suspect sets the suspects, and reports whether two crashes count against one of them.
func (s *Segments) suspect(crashes []*crash) (twice bool) {
	s.suspects = make(map[Segment]struct{})
	for _, r := range crashes {
		for id := range r.segments {
			if !s.counts(r, id) {
				continue
			}
			if _, ok := s.suspects[id]; ok {
				twice = true
			}
			s.suspects[id] = struct{}{}
		}
	}
	return twice
}

// expire drops crashes that count no more, and the times of completions that matter no more.
func (s *Segments) expire(now time.Time) {
	maps.DeleteFunc(s.crashes, func(_ backend.Instance, r *crash) bool { return now.Sub(r.observedAt) >= evidenceTTL })
	maps.DeleteFunc(s.clearedAt, func(_ Segment, at time.Time) bool { return now.Sub(at) >= evidenceTTL })
}

// evictOldest drops the oldest crash that explains no blame if there are more than maxCrashes, or
// the oldest of all.
func (s *Segments) evictOldest() {
	if len(s.crashes) <= maxCrashes {
		return
	}
	var oldest *crash
	for _, r := range s.crashes {
		if oldest == nil || s.evictBefore(r, oldest) {
			oldest = r
		}
	}
	delete(s.crashes, oldest.instance)
}

func (s *Segments) evictBefore(a, b *crash) bool {
	if blamed := s.explainsBlame(a); blamed != s.explainsBlame(b) {
		return !blamed
	}
	return a.observedAt.Before(b.observedAt)
}

func (s *Segments) explainsBlame(r *crash) bool {
	return slices.ContainsFunc(s.blames, func(b Blame) bool {
		return slices.ContainsFunc(b.Crashes, func(c Crash) bool { return c.Instance == r.instance })
	})
}

// PendingAnnouncements returns up to limit crashes that other gateways may not know yet, those
// first that were repeated the longest ago.
func (s *Segments) PendingAnnouncements(now time.Time, limit int) []Crash {
	var pending []*crash
	for _, r := range s.crashes {
		recent := now.Sub(r.observedAt) < announceFor
		if recent || (s.explainsBlame(r) && now.Sub(r.repeatedAt) >= repeatInterval) {
			pending = append(pending, r)
		}
	}
	slices.SortFunc(pending, func(a, b *crash) int {
		return cmp.Or(a.repeatedAt.Compare(b.repeatedAt), b.observedAt.Compare(a.observedAt))
	})
	var all []Crash
	for _, r := range pending[:min(limit, len(pending))] {
		r.repeatedAt = now
		all = append(all, s.announcement(r))
	}
	return all
}

// announcement returns a crash with the segments against which it counts.
func (s *Segments) announcement(r *crash) Crash {
	var segments []Segment
	for id := range r.segments {
		if s.counts(r, id) {
			segments = append(segments, id)
		}
	}
	slices.Sort(segments)
	c := Crash{Instance: r.instance, ObservedAt: r.observedAt}
	c.Fresh, c.Reused = s.Split(segments)
	return c
}

// generations is a bounded set of segments that forgets those that were added the longest ago.
type generations struct {
	current, previous map[Segment]struct{}
}

func (g *generations) has(id Segment) bool {
	if _, ok := g.current[id]; ok {
		return true
	}
	_, ok := g.previous[id]
	return ok
}

func (g *generations) add(id Segment) {
	if _, ok := g.current[id]; ok {
		return
	}
	if g.current == nil || len(g.current) >= completedGeneration {
		g.previous, g.current = g.current, make(map[Segment]struct{})
	}
	g.current[id] = struct{}{}
}
