// Package ratelimit keeps the limits that backend servers name for themselves: how many
// requests a second a server takes from all gateways together, for as long as it says so.
//
// Answers come out of order, and one gateway hears what another has not. A Notice
// therefore carries the span in which the server can have said it, and is newer than
// another one only if the spans do not overlap; of two that overlap, the stricter holds.
//
// It is pure code. Times are passed in and count from the start of the VM, suspended time
// included: with a clock that stands still, what a VM knew before a suspension would seem
// newer than what others heard meanwhile.
package ratelimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
)

const (
	// weakDelay is how much later than a limit with an authentication code an answer
	// without one must have been asked for to end it.
	weakDelay = 2 * time.Second
	// keptEnded is for how long the end of a limit is known: late news of the limit must
	// not bring it back.
	keptEnded = 10 * time.Second
	// keptGone is for how long the limit of a server is known whose entry is gone. An
	// entry that lapsed with the store's outage returns.
	keptGone = time.Minute
	// notable is the part by which a limit must differ from the one that was last a change
	// to be another.
	notable = 0.05
	// mostServers bounds the servers with limits.
	mostServers = 4_096
)

// Notice is what one answer of a server says of its limit.
type Notice struct {
	Server backend.Instance
	// Named says that the server takes PerSecond requests a second; otherwise it names no
	// limit.
	Limited   bool
	PerSecond float64
	// Sent is when the request was sent that the server answered so, and Heard when the
	// head of the answer came.
	RequestedAt, ReceivedAt time.Duration
	// Weak says that the answer had no authentication code, as those to prompts that are
	// only read and rejections.
	Unauthenticated bool
}

// stricter reports whether n lets fewer requests through than o.
func (n Notice) stricter(o Notice) bool {
	return n.Limited && (!o.Limited || n.PerSecond < o.PerSecond)
}

// says reports whether n and o say the same.
func (n Notice) says(o Notice) bool {
	return n.Limited == o.Limited && (!n.Limited || n.PerSecond == o.PerSecond)
}

// Change is what a Notice changed.
type Change uint8

// The changes. One that others need not hear of at once is Unchanged.
const (
	Unchanged Change = iota
	Begun
	Changed
	Ended
)

// String returns the name used in logs.
func (c Change) String() string {
	return [...]string{"unchanged", "begun", "changed", "ended"}[c]
}

// Table is the limits that one gateway knows, by server. Its methods are for one
// goroutine at a time.
type Table struct {
	ranking Ranking
	entries map[string]*entry
}

// entry is the limit of one start of a server.
type entry struct {
	// last is the newest notice.
	last Notice
	// announced is the limit that was last a change.
	announced float64
	// before is the limit that ended, and endedAt when, of a server that names none any
	// more.
	before  float64
	endedAt time.Duration
	allowance
	// toldAt is when it was last told to others.
	toldAt time.Duration
}

// New returns a Table without limits.
func New(r Ranking) *Table { return &Table{ranking: r, entries: make(map[string]*entry)} }

// Len returns how many servers have a limit, or had one until lately.
func (t *Table) Len() int { return len(t.entries) }

// Knows reports whether a server has a limit, or had one until lately.
func (t *Table) Tracks(server string) bool {
	_, ok := t.entries[server]
	return ok
}

// Limit returns the limit that a server names, in requests a second.
func (t *Table) Limit(server string) (perSecond float64, ok bool) {
	e, ok := t.entries[server]
	if !ok || !e.last.Limited {
		return 0, false
	}
	return e.last.PerSecond, true
}

// Add takes in a notice and returns what it changed.
func (t *Table) Add(now time.Duration, n Notice) Change {
	e, ok := t.entries[n.Server.ID]
	switch {
	case !ok:
		return t.begin(now, n)
	case n.Server.Incarnation < e.last.Server.Incarnation:
		return Unchanged
	case n.Server.Incarnation > e.last.Server.Incarnation:
		return t.replace(now, e, n)
	case n.ReceivedAt <= e.last.RequestedAt:
		return Unchanged
	case !n.newerThan(e.last):
		return e.merge(n)
	}
	return e.set(n)
}

// begin takes in the first notice of a server. One without a limit says nothing.
func (t *Table) begin(now time.Duration, n Notice) Change {
	if !n.Limited {
		return Unchanged
	}
	t.makeRoom()
	e := &entry{last: n, announced: n.PerSecond}
	e.refilled = now
	e.rank = t.ranking(n.Server.ID, 0)
	t.entries[n.Server.ID] = e
	return Begun
}

// replace takes in the first notice of a later start of a server.
func (t *Table) replace(now time.Duration, e *entry, n Notice) Change {
	delete(t.entries, n.Server.ID)
	if t.begin(now, n) == Begun {
		return Begun
	}
	if e.last.Limited {
		return Ended
	}
	return Unchanged
}

// newerThan reports whether the server certainly said n after o.
func (n Notice) newerThan(o Notice) bool {
	if !n.Limited && o.Limited && n.Unauthenticated && !o.Unauthenticated {
		return n.RequestedAt >= o.ReceivedAt+weakDelay
	}
	return n.RequestedAt >= o.ReceivedAt
}

// merge takes in a notice that overlaps with the last one.
func (e *entry) merge(n Notice) Change {
	switch {
	case n.says(e.last):
		e.last.RequestedAt, e.last.ReceivedAt = max(e.last.RequestedAt, n.RequestedAt), max(e.last.ReceivedAt, n.ReceivedAt)
		return Unchanged
	case n.stricter(e.last):
		return e.set(n)
	default:
		return Unchanged
	}
}

// set makes a notice the newest one.
func (e *entry) set(n Notice) Change {
	was := e.last
	e.last = n
	switch {
	case !n.Limited && !was.Limited:
		return Unchanged
	case !n.Limited:
		e.before, e.endedAt = was.PerSecond, n.ReceivedAt
		return Ended
	case was.Limited && math.Abs(n.PerSecond-e.announced) <= notable*e.announced:
		return Unchanged
	}
	e.announced = n.PerSecond
	if was.Limited {
		return Changed
	}
	return Begun
}

// Forget drops the limits that ended and those of servers that are gone.
func (t *Table) Prune(now time.Duration, known func(server string) bool) {
	maps.DeleteFunc(t.entries, func(id string, e *entry) bool {
		if !e.last.Limited && now-e.endedAt >= keptEnded {
			return true
		}
		return !known(id) && now-e.last.ReceivedAt >= keptGone
	})
}

// ToTell returns up to most notices that others may not have, those told longest ago
// first.
func (t *Table) PendingAnnouncements(now time.Duration, most int) []Notice {
	entries := slices.SortedFunc(maps.Values(t.entries), func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.toldAt, b.toldAt), cmp.Compare(a.last.Server.ID, b.last.Server.ID))
	})
	notices := make([]Notice, 0, min(most, len(entries)))
	for _, e := range entries[:min(most, len(entries))] {
		e.toldAt = now
		notices = append(notices, e.last)
	}
	return notices
}

// makeRoom drops the limit that was heard longest ago if there are too many.
func (t *Table) makeRoom() {
	if len(t.entries) < mostServers {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(t.entries)), func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.last.ReceivedAt, b.last.ReceivedAt), cmp.Compare(a.last.Server.ID, b.last.Server.ID))
	})
	delete(t.entries, oldest.last.Server.ID)
}
