// Package availability tracks what backend servers state about themselves in their
// responses: that they are leaving, that they want no requests from this gateway for a
// while, or how many requests a second they accept from all gateways together (package
// ratelimit).
//
// A statement holds for one start of a server (backend.Instance). A later start under the
// same ID is not bound by it, an earlier one is: a view of the servers may be older than a
// response. A start that is unknown (incarnation 0) counts as the one that stated it,
// because nothing shows that the server has been restarted.
//
// The package does no I/O. The caller passes times since the boot of the VM, suspended
// time included: a server's rest does not stop while the VM is suspended.
package availability

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/ratelimit"
)

const (
	// removedRetention is how long the statements of a server are retained after it was
	// removed: after an outage of the store, or by a stale read, it may return.
	removedRetention = 10 * time.Minute
	// maxRemoved bounds the number of removed servers whose statements are retained.
	maxRemoved = 4_096
)

// Response is what one response of a server states.
type Response struct {
	Server backend.Instance
	// Leaving says that the server is shutting down.
	Leaving bool
	// Rest is for how long the server wants no requests from this gateway, 0 if it
	// states nothing.
	Rest time.Duration
	// ReceivedAt is when the response header was received.
	ReceivedAt time.Duration
}

// Change is the effect of a Response.
type Change struct {
	// Leaving says that it was not known before that the server is leaving.
	Leaving bool
	// Rest says that the end of the server's rest has moved, to RestUntil.
	Rest      bool
	RestUntil time.Duration
}

// Table holds what servers have stated to one gateway. It is not safe for concurrent use.
type Table struct {
	// Limits are the limits that servers state, also to other gateways.
	Limits  *ratelimit.Table
	servers map[string]*statements
}

// statements is what one start of a server has stated.
type statements struct {
	server    backend.Instance
	leaving   bool
	restUntil time.Duration
	// replaced says that a later start of the server is registered.
	replaced bool
	// removed says that no start of the server is registered, since removedAt.
	removed   bool
	removedAt time.Duration
}

// New returns an empty Table. The ranking is the one of the gateways that share limits.
func New(r ratelimit.Ranking) *Table {
	return &Table{Limits: ratelimit.New(r), servers: make(map[string]*statements)}
}

// Len returns the number of servers with statements, counting those with limits twice if
// they have stated something else as well.
func (t *Table) Len() int { return len(t.servers) + t.Limits.Len() }

// Tracks reports whether anything is known of a server. If not, it is available.
func (t *Table) Tracks(server string) bool {
	_, ok := t.servers[server]
	return ok || t.Limits.Tracks(server)
}

// Observe merges a response and returns its effect.
func (t *Table) Observe(r Response) Change {
	if !r.Leaving && r.Rest <= 0 {
		return Change{}
	}
	s := t.servers[r.Server.ID]
	switch {
	case s == nil || laterStart(r.Server.Incarnation, s.server.Incarnation):
		s = &statements{server: r.Server}
		t.servers[r.Server.ID] = s
	case laterStart(s.server.Incarnation, r.Server.Incarnation):
		return Change{}
	}
	s.server.Incarnation = max(s.server.Incarnation, r.Server.Incarnation)
	return s.merge(r)
}

// merge adds a response of the same start. A rest is never shortened: the server has
// asked for the longer one as well.
func (s *statements) merge(r Response) Change {
	c := Change{Leaving: r.Leaving && !s.leaving}
	s.leaving = s.leaving || r.Leaving
	if until := r.ReceivedAt + r.Rest; r.Rest > 0 && until > s.restUntil {
		s.restUntil = until
		c.Rest = true
	}
	c.RestUntil = s.restUntil
	return c
}

// laterStart reports whether a is a later start of a server than b; both are known.
func laterStart(a, b int64) bool { return a != 0 && b != 0 && a > b }

// Leaving reports whether a start of a server is leaving.
func (t *Table) Leaving(server backend.Instance) bool {
	s := t.binding(server)
	return s != nil && s.leaving
}

// RestUntil returns the end of the rest that a start of a server has asked for, or 0 if
// it rests no more.
func (t *Table) RestUntil(now time.Duration, server backend.Instance) time.Duration {
	s := t.binding(server)
	if s == nil || s.restUntil <= now {
		return 0
	}
	return s.restUntil
}

// binding returns the statements that bind requests to a start of a server, or nil.
func (t *Table) binding(server backend.Instance) *statements {
	s := t.servers[server.ID]
	if s == nil || laterStart(server.Incarnation, s.server.Incarnation) {
		return nil
	}
	return s
}

// Counts returns how many servers are leaving and how many rest. Servers of which a later
// start is registered are not counted.
func (t *Table) Counts(now time.Duration) (leaving, resting int) {
	for _, s := range t.servers {
		if s.replaced || s.removed {
			continue
		}
		if s.leaving {
			leaving++
		}
		if s.restUntil > now {
			resting++
		}
	}
	return leaving, resting
}

// Update adapts the table to the servers that are registered now. It returns the starts
// that were leaving or resting and have been replaced by later ones since the last call.
func (t *Table) Update(now time.Duration, registered func(id string) (backend.Instance, bool)) []backend.Instance {
	t.Limits.Prune(now, func(id string) bool {
		_, ok := registered(id)
		return ok
	})
	var replaced []backend.Instance
	for id, s := range t.servers {
		current, ok := registered(id)
		if !ok && !s.removed {
			s.removedAt = now
		}
		s.removed = !ok
		later := ok && laterStart(current.Incarnation, s.server.Incarnation)
		if later && !s.replaced && (s.leaving || s.restUntil > now) {
			replaced = append(replaced, s.server)
		}
		s.replaced = later
	}
	t.prune(now)
	return replaced
}

// prune drops the statements that bind no requests any more. A leaving server's are kept
// for as long as a start of it is registered, and then for removedRetention: with an
// older view it would otherwise be used again.
func (t *Table) prune(now time.Duration) {
	maps.DeleteFunc(t.servers, func(_ string, s *statements) bool {
		rested := s.restUntil <= now
		return rested && (!s.leaving || (s.removed && now-s.removedAt >= removedRetention))
	})
	t.evictRemoved()
}

// evictRemoved drops the servers that were removed first while there are more than
// maxRemoved.
func (t *Table) evictRemoved() {
	var removed []*statements
	for _, s := range t.servers {
		if s.removed {
			removed = append(removed, s)
		}
	}
	if len(removed) <= maxRemoved {
		return
	}
	slices.SortFunc(removed, func(a, b *statements) int {
		return cmp.Or(cmp.Compare(a.removedAt, b.removedAt), cmp.Compare(a.server.ID, b.server.ID))
	})
	for _, s := range removed[:len(removed)-maxRemoved] {
		delete(t.servers, s.server.ID)
	}
}
