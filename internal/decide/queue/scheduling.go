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
	index := 2 * class
	if i.PromptTokens-i.CachedTokens >= q.cfg.LongPromptTokens {
		index++
	}
	return &q.lanes[index]
}

// add appends the item to its lane. A lane or caller that was idle continues from the
// current virtual time or its own, whichever is later. Idle time earns no credit, or a
// caller that returns from a break would block all others. Going idle clears no debt, or
// short requests that arrive one at a time would starve long ones.
func (q *Queue) add(item *queuedItem) {
	l := item.lane
	if len(l.items) == 0 {
		l.pass = max(l.pass, q.virtualPass)
	}
	l.items = append(l.items, item)
	c, ok := q.callers[item.Caller]
	if !ok {
		c = &caller{}
		q.callers[item.Caller] = c
	}
	if c.queuedItems == 0 {
		c.served = max(c.served, q.virtualService)
	}
	c.queuedItems++
	c.queuedCost += item.cost
	q.byID[item.ID] = item
	q.tokens += max(0, item.PromptTokens-item.CachedTokens)
}

func (q *Queue) remove(item *queuedItem) {
	item.lane.items = slices.DeleteFunc(item.lane.items, func(x *queuedItem) bool { return x == item })
	c := q.callers[item.Caller]
	c.queuedItems--
	c.queuedCost -= item.cost
	delete(q.byID, item.ID)
	q.tokens -= max(0, item.PromptTokens-item.CachedTokens)
	if q.reservedFor == item.ID {
		q.reservedFor = ""
	}
	if len(q.byID) == 0 {
		q.resetDebts()
	}
}

// resetDebts clears all debts when the queue is empty: work served while there was capacity
// for all delayed nobody.
func (q *Queue) resetDebts() {
	clear(q.callers)
	q.virtualService, q.virtualPass = 0, 0
	for i := range q.lanes {
		q.lanes[i].pass = 0
	}
}

// lanesByPass returns the lanes with queued items, starting with the one furthest below its
// share.
func (q *Queue) lanesByPass() []*lane {
	var lanes []*lane
	for i := range q.lanes {
		if len(q.lanes[i].items) > 0 {
			lanes = append(lanes, &q.lanes[i])
		}
	}
	slices.SortStableFunc(lanes, func(a, b *lane) int { return cmp.Compare(a.pass, b.pass) })
	return lanes
}

// next returns the item of a lane to run next: the earliest deadline among the least served
// callers. Items that do not fit are passed over until capacity is reserved for them.
func (q *Queue) next(now time.Time, l *lane, free Capacity) *queuedItem {
	lowest := q.minServed(l)
	var best, bestFit *queuedItem
	for _, item := range l.items {
		if missesDeadline(now, item.Item) || q.callers[item.Caller].served > lowest+q.cfg.MaxServiceLead {
			continue
		}
		if best == nil || dueBefore(item, best) {
			best = item
		}
		if q.kvBlocks(item.Item) <= free.KVBlocks && (bestFit == nil || dueBefore(item, bestFit)) {
			bestFit = item
		}
	}
	if best != bestFit && q.reservedFor == "" {
		q.reservedFor, q.passedOverSince = best.ID, now
	}
	return bestFit
}

// takesReservedCapacity reports whether the item would use capacity that is reserved for an
// item that has been passed over for too long. Otherwise a steady stream of short prompts
// keeps long ones from ever fitting.
func (q *Queue) takesReservedCapacity(now time.Time, item *queuedItem, free Capacity) bool {
	reserved, ok := q.byID[q.reservedFor]
	if !ok || reserved == item || now.Sub(q.passedOverSince) < q.cfg.ReserveAfter {
		return false
	}
	if missesDeadline(now, reserved.Item) {
		return false
	}
	return free.KVBlocks-q.kvBlocks(item.Item) < q.kvBlocks(reserved.Item)
}

func dueBefore(a, b *queuedItem) bool {
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

func (q *Queue) minServed(l *lane) float64 {
	lowest := q.callers[l.items[0].Caller].served
	for _, item := range l.items[1:] {
		lowest = min(lowest, q.callers[item.Caller].served)
	}
	return lowest
}

// charge adds the item's cost to its lane and its caller.
func (q *Queue) charge(l *lane, item *queuedItem) {
	l.pass = max(l.pass, q.virtualPass) + item.cost/l.weight
	q.callers[item.Caller].served += item.cost
}

// advance moves the virtual times up to the minimum over the queued items. It deletes idle
// callers that are not ahead of it, and all idle ones if there are too many callers.
func (q *Queue) advance() {
	if len(q.byID) == 0 {
		return
	}
	q.virtualPass = q.minPass()
	q.virtualService = q.minWaitingServed()
	for name, c := range q.callers {
		if c.queuedItems == 0 && (c.served <= q.virtualService || len(q.callers) > 2*q.cfg.MaxItems) {
			delete(q.callers, name)
		}
	}
}

func (q *Queue) minPass() float64 {
	lowest := math.Inf(1)
	for _, l := range q.lanes {
		if len(l.items) > 0 {
			lowest = min(lowest, l.pass)
		}
	}
	return lowest
}

func (q *Queue) minWaitingServed() float64 {
	lowest := math.Inf(1)
	for _, c := range q.callers {
		if c.queuedItems > 0 {
			lowest = min(lowest, c.served)
		}
	}
	return lowest
}

// displace removes an item of the caller with the most work queued, if that is more than
// the new item's caller would have. Otherwise a caller that fills the queue would have all
// others rejected.
func (q *Queue) displace(item *queuedItem) bool {
	own := item.cost
	if c, ok := q.callers[item.Caller]; ok {
		own += c.queuedCost
	}
	heaviest := ""
	highest := own
	for _, name := range slices.Sorted(maps.Keys(q.callers)) {
		if c := q.callers[name]; c.queuedCost > highest {
			heaviest, highest = name, c.queuedCost
		}
	}
	if highest <= own {
		return false
	}
	var last *queuedItem
	for _, l := range q.lanes {
		for _, x := range l.items {
			if x.Caller == heaviest && (last == nil || dueBefore(last, x)) {
				last = x
			}
		}
	}
	q.remove(last)
	q.displaced = append(q.displaced, Removed{Item: last.Item, Reason: Displaced})
	return true
}
