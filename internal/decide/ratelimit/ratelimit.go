// Package ratelimit tracks the rate limits that backend servers set for themselves: how
// many requests a second a server accepts from all gateways together while it states a
// limit in its responses.
//
// Responses arrive out of order, and gateways receive different ones. A Notice therefore
// carries the interval in which the server can have sent it, and is newer than another
// one only if the intervals do not overlap. Of two that overlap, the stricter applies.
//
// The package does no I/O. The caller passes times since the boot of the VM, suspended
// time included: with a clock that stops during a suspension, what a VM knew before it
// would seem newer than what other gateways received meanwhile.
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
	// unauthenticatedDelay is the minimum time between receiving an authenticated limit
	// and sending a request whose unauthenticated response may end the limit.
	unauthenticatedDelay = 2 * time.Second
	// endedRetention is how long an ended limit is retained, so that a delayed notice
	// does not restore it.
	endedRetention = 10 * time.Second
	// removedRetention is how long the limit of a removed server is retained: a server
	// whose object expired during an outage of the store returns.
	removedRetention = time.Minute
	// minRelativeChange is the fraction by which a limit must differ from the last
	// reported one to count as Changed.
	minRelativeChange = 0.05
	// maxServers bounds the number of servers with limits.
	maxServers = 4_096
)

// Notice is what one response of a server says about its limit.
type Notice struct {
	Server backend.Instance
	// Limited says that the server accepts PerSecond requests a second; otherwise it
	// states no limit.
	Limited   bool
	PerSecond float64
	// RequestedAt is when the request was sent, and ReceivedAt when the response header
	// was received.
	RequestedAt, ReceivedAt time.Duration
	// Unauthenticated says that the response had no authentication code. Rejections and
	// responses to prefill-only requests have none.
	Unauthenticated bool
}

// stricter reports whether n allows fewer requests than o.
func (n Notice) stricter(o Notice) bool {
	return n.Limited && (!o.Limited || n.PerSecond < o.PerSecond)
}

// sameLimit reports whether n and o state the same limit.
func (n Notice) sameLimit(o Notice) bool {
	return n.Limited == o.Limited && (!n.Limited || n.PerSecond == o.PerSecond)
}

// Change is the effect of a Notice.
type Change uint8

// The changes. Unchanged includes those that need not be announced immediately.
const (
	Unchanged Change = iota
	Begun
	Changed
	Ended
)

// String returns the name for logs.
func (c Change) String() string {
	return [...]string{"unchanged", "begun", "changed", "ended"}[c]
}

// Table holds the limits that one gateway knows, by server. It is not safe for
// concurrent use.
type Table struct {
	ranking Ranking
	limits  map[string]*serverLimit
}

// serverLimit is the limit of one incarnation of a server.
type serverLimit struct {
	// latest is the newest notice.
	latest Notice
	// reportedLimit is the limit last reported as Begun or Changed.
	reportedLimit float64
	// endedLimit is the limit that ended at endedAt, if the server states none now.
	endedLimit float64
	endedAt    time.Duration
	allowance
	// announcedAt is when the limit was last announced to other gateways.
	announcedAt time.Duration
}

// New returns an empty Table.
func New(r Ranking) *Table { return &Table{ranking: r, limits: make(map[string]*serverLimit)} }

// Len returns the number of servers that have, or recently had, a limit.
func (t *Table) Len() int { return len(t.limits) }

// Tracks reports whether a server has, or recently had, a limit.
func (t *Table) Tracks(server string) bool {
	_, ok := t.limits[server]
	return ok
}

// Limit returns the limit that a server states, in requests a second.
func (t *Table) Limit(server string) (perSecond float64, ok bool) {
	l, ok := t.limits[server]
	if !ok || !l.latest.Limited {
		return 0, false
	}
	return l.latest.PerSecond, true
}

// Add merges a notice and returns its effect.
func (t *Table) Add(now time.Duration, n Notice) Change {
	l, ok := t.limits[n.Server.ID]
	switch {
	case !ok:
		return t.insert(now, n)
	case n.Server.Incarnation < l.latest.Server.Incarnation:
		return Unchanged
	case n.Server.Incarnation > l.latest.Server.Incarnation:
		return t.replace(now, l, n)
	case n.ReceivedAt <= l.latest.RequestedAt:
		return Unchanged
	case !n.newerThan(l.latest):
		return l.merge(n)
	}
	return l.setLatest(n)
}

// insert adds the first notice of a server. A notice without a limit is ignored.
func (t *Table) insert(now time.Duration, n Notice) Change {
	if !n.Limited {
		return Unchanged
	}
	t.evictOldest()
	l := &serverLimit{latest: n, reportedLimit: n.PerSecond}
	l.refilledAt = now
	l.rank = t.ranking(n.Server.ID, 0)
	t.limits[n.Server.ID] = l
	return Begun
}

// replace adds the first notice of a later incarnation of a server.
func (t *Table) replace(now time.Duration, l *serverLimit, n Notice) Change {
	delete(t.limits, n.Server.ID)
	if t.insert(now, n) == Begun {
		return Begun
	}
	if l.latest.Limited {
		return Ended
	}
	return Unchanged
}

// newerThan reports whether the server certainly sent n after o.
func (n Notice) newerThan(o Notice) bool {
	if !n.Limited && o.Limited && n.Unauthenticated && !o.Unauthenticated {
		return n.RequestedAt >= o.ReceivedAt+unauthenticatedDelay
	}
	return n.RequestedAt >= o.ReceivedAt
}

// merge adds a notice whose interval overlaps with that of the latest one.
func (l *serverLimit) merge(n Notice) Change {
	switch {
	case n.sameLimit(l.latest):
		l.latest.RequestedAt, l.latest.ReceivedAt = max(l.latest.RequestedAt, n.RequestedAt), max(l.latest.ReceivedAt, n.ReceivedAt)
		return Unchanged
	case n.stricter(l.latest):
		return l.setLatest(n)
	default:
		return Unchanged
	}
}

// setLatest makes a notice the latest one.
func (l *serverLimit) setLatest(n Notice) Change {
	previous := l.latest
	l.latest = n
	switch {
	case !n.Limited && !previous.Limited:
		return Unchanged
	case !n.Limited:
		l.endedLimit, l.endedAt = previous.PerSecond, n.ReceivedAt
		return Ended
	case previous.Limited && math.Abs(n.PerSecond-l.reportedLimit) <= minRelativeChange*l.reportedLimit:
		return Unchanged
	}
	l.reportedLimit = n.PerSecond
	if previous.Limited {
		return Changed
	}
	return Begun
}

// Prune drops ended limits, and those of servers that are not known, once their
// retention has elapsed.
func (t *Table) Prune(now time.Duration, known func(server string) bool) {
	maps.DeleteFunc(t.limits, func(id string, l *serverLimit) bool {
		if !l.latest.Limited && now-l.endedAt >= endedRetention {
			return true
		}
		return !known(id) && now-l.latest.ReceivedAt >= removedRetention
	})
}

// PendingAnnouncements returns up to limit notices that other gateways may not have,
// the least recently announced first.
func (t *Table) PendingAnnouncements(now time.Duration, limit int) []Notice {
	byAge := slices.SortedFunc(maps.Values(t.limits), func(a, b *serverLimit) int {
		return cmp.Or(cmp.Compare(a.announcedAt, b.announcedAt), cmp.Compare(a.latest.Server.ID, b.latest.Server.ID))
	})
	notices := make([]Notice, 0, min(limit, len(byAge)))
	for _, l := range byAge[:min(limit, len(byAge))] {
		l.announcedAt = now
		notices = append(notices, l.latest)
	}
	return notices
}

// evictOldest drops the least recently received limit if there are maxServers.
func (t *Table) evictOldest() {
	if len(t.limits) < maxServers {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(t.limits)), func(a, b *serverLimit) int {
		return cmp.Or(cmp.Compare(a.latest.ReceivedAt, b.latest.ReceivedAt), cmp.Compare(a.latest.Server.ID, b.latest.Server.ID))
	})
	delete(t.limits, oldest.latest.Server.ID)
}
