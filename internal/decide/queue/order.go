package queue

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

func newLanes(cfg Config) []lane {
	lanes := make([]lane, 0, 2*len(cfg.ClassWeights))
	for _, w := range cfg.ClassWeights {
		lanes = append(lanes, lane{weight: w * (1 - cfg.LongShare)}, lane{weight: w * cfg.LongShare})
	}
	return lanes
}

func (q *Queue) laneOf(i Item) *lane {
	class := min(max(0, i.Class), len(q.cfg.ClassWeights)-1)
	at := 2 * class
	if i.PromptTokens-i.CachedTokens >= q.cfg.LongPromptTokens {
		at++
	}
	return &q.lanes[at]
}

// add puts e into its lane. A lane or caller that was idle goes on from the
// present virtual time or from its own, whichever is later: idling earns no
// credit, or a caller back from a break would hold up all others; and going
// idle clears no debt, or short work that comes one by one would starve what
// is long.
func (q *Queue) add(e *entry) {
	l := e.lane
	if len(l.entries) == 0 {
		l.pass = max(l.pass, q.pass)
	}
	l.entries = append(l.entries, e)
	c, ok := q.callers[e.Caller]
	if !ok {
		c = &caller{}
		q.callers[e.Caller] = c
	}
	if c.items == 0 {
		c.served = max(c.served, q.served)
	}
	c.items++
	c.queued += e.cost
	q.byID[e.ID] = e
	q.tokens += max(0, e.PromptTokens-e.CachedTokens)
}

func (q *Queue) remove(e *entry) {
	e.lane.entries = slices.DeleteFunc(e.lane.entries, func(x *entry) bool { return x == e })
	c := q.callers[e.Caller]
	c.items--
	c.queued -= e.cost
	delete(q.byID, e.ID)
	q.tokens -= max(0, e.PromptTokens-e.CachedTokens)
	if q.held == e.ID {
		q.held = ""
	}
	if len(q.byID) == 0 {
		q.reset()
	}
}

// reset forgets all debts once nothing waits: nobody was kept waiting by what
// was served while there was room for all.
func (q *Queue) reset() {
	clear(q.callers)
	q.served, q.pass = 0, 0
	for i := range q.lanes {
		q.lanes[i].pass = 0
	}
}

// lanesByPass returns the lanes with work, the one most behind its share first.
func (q *Queue) lanesByPass() []*lane {
	var lanes []*lane
	for i := range q.lanes {
		if len(q.lanes[i].entries) > 0 {
			lanes = append(lanes, &q.lanes[i])
		}
	}
	slices.SortStableFunc(lanes, func(a, b *lane) int { return cmp.Compare(a.pass, b.pass) })
	return lanes
}

// next picks from a lane: among the callers that have had least, the earliest
// deadline. Items that do not fit are passed by until the hold is over.
func (q *Queue) next(now time.Time, l *lane, room Capacity) *entry {
	least := q.leastServed(l)
	var best, bestFit *entry
	for _, e := range l.entries {
		if hopeless(now, e.Item) || q.callers[e.Caller].served > least+q.cfg.Quantum {
			continue
		}
		if best == nil || earlier(e, best) {
			best = e
		}
		if q.pieces(e.Item) <= room.Pieces && (bestFit == nil || earlier(e, bestFit)) {
			bestFit = e
		}
	}
	if best != bestFit && q.held == "" {
		q.held, q.heldAt = best.ID, now
	}
	return bestFit
}

// blocked says that e would take the room kept for an item that has been
// passed by for too long. Without this, a steady stream of short prompts keeps
// every long one from ever fitting.
func (q *Queue) blocked(now time.Time, e *entry, room Capacity) bool {
	held, ok := q.byID[q.held]
	if !ok || held == e || now.Sub(q.heldAt) < q.cfg.Hold {
		return false
	}
	if hopeless(now, held.Item) {
		return false
	}
	return room.Pieces-q.pieces(e.Item) < q.pieces(held.Item)
}

func earlier(a, b *entry) bool {
	switch {
	case a.Deadline.Equal(b.Deadline):
		return a.serial < b.serial
	case a.Deadline.IsZero():
		return false
	case b.Deadline.IsZero():
		return true
	default:
		return a.Deadline.Before(b.Deadline)
	}
}

func (q *Queue) leastServed(l *lane) float64 {
	least := q.callers[l.entries[0].Caller].served
	for _, e := range l.entries[1:] {
		least = min(least, q.callers[e.Caller].served)
	}
	return least
}

// charge adds e's cost to its lane and its caller.
func (q *Queue) charge(l *lane, e *entry) {
	l.pass = max(l.pass, q.pass) + e.cost/l.weight
	q.callers[e.Caller].served += e.cost
}

// advance moves the virtual times up to the least of what waits, and forgets
// idle callers that are no longer ahead.
func (q *Queue) advance() {
	if len(q.byID) == 0 {
		return
	}
	q.pass = q.leastPass()
	q.served = q.leastWaiting()
	for name, c := range q.callers {
		if c.items == 0 && (c.served <= q.served || len(q.callers) > 2*q.cfg.MaxItems) {
			delete(q.callers, name)
		}
	}
}

func (q *Queue) leastPass() float64 {
	least := math.Inf(1)
	for _, l := range q.lanes {
		if len(l.entries) > 0 {
			least = min(least, l.pass)
		}
	}
	return least
}

func (q *Queue) leastWaiting() float64 {
	least := math.Inf(1)
	for _, c := range q.callers {
		if c.items > 0 {
			least = min(least, c.served)
		}
	}
	return least
}

// displace makes place for e at the cost of the caller that holds most of the
// queue, if that is more than e's caller would hold. Otherwise one caller that
// fills the queue would have everyone else refused.
func (q *Queue) displace(e *entry) bool {
	own := e.cost
	if c, ok := q.callers[e.Caller]; ok {
		own += c.queued
	}
	heaviest := ""
	most := own
	for _, name := range slices.Sorted(maps.Keys(q.callers)) {
		if c := q.callers[name]; c.queued > most {
			heaviest, most = name, c.queued
		}
	}
	if most <= own {
		return false
	}
	var last *entry
	for _, l := range q.lanes {
		for _, x := range l.entries {
			if x.Caller == heaviest && (last == nil || earlier(last, x)) {
				last = x
			}
		}
	}
	q.remove(last)
	q.displaced = append(q.displaced, Removed{Item: last.Item, Reason: Displaced})
	return true
}
