package queue

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// add puts e into its lane. A lane or caller that was idle starts at the
// present virtual time: idling earns no credit, or a caller back from a break
// would hold up all others.
func (q *Queue) add(e *entry) {
	l, ok := q.lanes[e.lane]
	if !ok {
		l = &lane{weight: q.laneWeight(e.lane), pass: q.pass}
		q.lanes[e.lane] = l
	}
	l.entries = append(l.entries, e)
	c, ok := q.callers[e.Caller]
	if !ok {
		c = &caller{served: q.served}
		q.callers[e.Caller] = c
	}
	c.items++
	c.queued += e.cost
	q.byID[e.ID] = e
	q.tokens += max(0, e.PromptTokens-e.CachedTokens)
}

func (q *Queue) remove(e *entry) {
	l := q.lanes[e.lane]
	l.entries = slices.DeleteFunc(l.entries, func(x *entry) bool { return x == e })
	if len(l.entries) == 0 {
		delete(q.lanes, e.lane)
	}
	c := q.callers[e.Caller]
	c.items--
	c.queued -= e.cost
	if c.items == 0 && c.served <= q.served {
		delete(q.callers, e.Caller)
	}
	delete(q.byID, e.ID)
	q.tokens -= max(0, e.PromptTokens-e.CachedTokens)
	if q.held == e.ID {
		q.held = ""
	}
}

func (q *Queue) laneWeight(k laneKey) float64 {
	weights := q.cfg.ClassWeights
	w := weights[min(k.class, len(weights)-1)]
	if k.long {
		return w * q.cfg.LongShare
	}
	return w * (1 - q.cfg.LongShare)
}

func (q *Queue) laneKeys() []laneKey {
	return slices.SortedFunc(maps.Keys(q.lanes), func(a, b laneKey) int {
		if a.class != b.class || a.long == b.long {
			return cmp.Compare(a.class, b.class)
		}
		if a.long {
			return 1
		}
		return -1
	})
}

// lanesByPass returns the lanes, the one most behind its share first.
func (q *Queue) lanesByPass() []*lane {
	var lanes []*lane
	for _, key := range q.laneKeys() {
		lanes = append(lanes, q.lanes[key])
	}
	slices.SortStableFunc(lanes, func(a, b *lane) int { return cmp.Compare(a.pass, b.pass) })
	return lanes
}

// next picks from a lane: among the callers that have had least, the earliest
// deadline. Items that do not fit are passed by until the hold is over.
func (q *Queue) next(now time.Time, l *lane, room Room) *entry {
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
func (q *Queue) blocked(now time.Time, e *entry, room Room) bool {
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
	first := true
	for _, l := range q.lanes {
		if first || l.pass < q.pass {
			q.pass = l.pass
		}
		first = false
	}
	first = true
	for _, c := range q.callers {
		if c.items > 0 && (first || c.served < q.served) {
			q.served = c.served
			first = false
		}
	}
	for name, c := range q.callers {
		if c.items == 0 && (c.served <= q.served || len(q.callers) > 2*q.cfg.Items) {
			delete(q.callers, name)
		}
	}
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
	for _, key := range q.laneKeys() {
		for _, x := range q.lanes[key].entries {
			if x.Caller == heaviest && (last == nil || earlier(last, x)) {
				last = x
			}
		}
	}
	q.remove(last)
	q.displaced = append(q.displaced, Removed{Item: last.Item, Reason: Displaced})
	return true
}
