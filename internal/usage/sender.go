package usage

import "time"

// resendAfter are the times after the end of a window, at which a Sender repeats all counts of it.
var resendAfter = []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 5 * time.Second}

// fullInterval is the time between two updates with all counts of the current window.
// Between them, updates have only what has changed.
const fullInterval = time.Second

// Sender decides when a gateway sends which of its counts to the collectors. It is not
// safe for concurrent use.
type Sender struct {
	source  Source
	counter *Counter

	sequence uint32
	current  Window
	lastFull time.Time
	// closings are the windows that are over but may still have to be repeated, with the
	// number of times that all their counts were sent.
	closings map[Window]int
}

// NewSender returns a Sender of the counts of counter.
func NewSender(source Source, counter *Counter) *Sender {
	return &Sender{source: source, counter: counter, closings: make(map[Window]int)}
}

// Step returns the updates to send now. It must be called several times a second.
func (s *Sender) Step(now time.Time) []Update {
	current := s.counter.Window(now)
	if s.current != 0 {
		for w := max(s.current, current-keptWindows); w < current; w++ {
			s.closings[w] = 0
		}
	}
	s.current = current
	updates := s.closed(now)
	if now.Sub(s.lastFull) >= fullInterval {
		s.lastFull = now
		updates = append(updates, s.full(current, false))
	} else if u, ok := s.changes(current, false); ok {
		updates = append(updates, u)
	}
	s.counter.Forget(current)
	return updates
}

// closed returns the updates of windows that are over.
func (s *Sender) closed(now time.Time) (updates []Update) {
	for w, sent := range s.closings {
		age := s.counter.trueTime(now).Sub(w.End(s.counter.length))
		switch {
		case sent < len(resendAfter) && age >= resendAfter[sent]:
			s.closings[w]++
			updates = append(updates, s.full(w, true))
		case w < s.current-keptWindows:
			delete(s.closings, w)
		default:
			if u, ok := s.changes(w, true); ok {
				updates = append(updates, u)
			}
		}
	}
	return updates
}

// Finish returns the updates of a gateway that is about to exit: all counts of the current
// window and of those beside it, as of windows that are over.
func (s *Sender) Finish(now time.Time) []Update {
	current := s.counter.Window(now)
	return []Update{s.full(current-1, true), s.full(current, true), s.full(current+1, true)}
}

// full returns an update with all counts of a window.
func (s *Sender) full(w Window, closed bool) Update {
	s.counter.Changes(w)
	counts := s.counter.Snapshot(w)
	s.sequence++
	return Update{Source: s.source, Window: w, Sequence: s.sequence, Total: counts.Total(), Closed: closed, Counts: counts}
}

// changes returns an update with the counts that have changed, if any have.
func (s *Sender) changes(w Window, closed bool) (Update, bool) {
	counts, total := s.counter.Changes(w)
	if len(counts) == 0 {
		return Update{}, false
	}
	s.sequence++
	return Update{Source: s.source, Window: w, Sequence: s.sequence, Total: total, Closed: closed, Counts: counts}, true
}
