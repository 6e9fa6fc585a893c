package streamversion

import (
	"maps"
	"time"
)

// History has which versions of each service serve or have served. It is not safe for
// concurrent use.
type History struct {
	// since is when versions were first observed.
	since time.Time
	// present are the versions of servers that are there, left when others were last there.
	present map[Version]bool
	left    map[Version]time.Time
}

// NewHistory returns the History of a process that starts. Other versions may have served
// before.
func NewHistory() *History {
	return &History{left: make(map[Version]time.Time)}
}

// Observe records that servers of these versions are there, and of no others.
func (h *History) Observe(now time.Time, versions []Version) {
	if h.since.IsZero() {
		h.since = now
	}
	before := h.present
	h.present = make(map[Version]bool, len(versions))
	for _, v := range versions {
		h.present[v] = true
	}
	for v := range before {
		if !h.present[v] {
			h.left[v] = now
		}
	}
	maps.DeleteFunc(h.left, func(v Version, at time.Time) bool { return h.present[v] || now.Sub(at) > MaxStreamLife })
}

// Served is what a History has of a service.
type Served struct {
	// Version is the only one that has been there within the time asked for, if Single.
	Version Version
	Single  bool
	// Complete is set if the history covers all of that time.
	Complete bool
}

// Certain reports whether no other version can have begun a stream within that time.
func (s Served) Certain() bool { return s.Single && s.Complete }

// Served returns which versions of a service, by the hash of its name, have served within
// the longest life of a stream, MaxStreamLife at most.
func (h *History) Served(now time.Time, service uint32, life time.Duration) Served {
	s := Served{Complete: !h.since.IsZero() && now.Sub(h.since) > life}
	count := 0
	add := func(v Version) {
		if v.Service == service {
			s.Version = v
			count++
		}
	}
	for v := range h.present {
		add(v)
	}
	for v, at := range h.left {
		if now.Sub(at) <= life {
			add(v)
		}
	}
	s.Single = count == 1
	return s
}
