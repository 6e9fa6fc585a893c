package streamversion

import (
	"maps"
	"time"
)

// departedService is how long a server may still begin streams after it has left the list of
// servers: at gateways that have not learned of it, for as long as its process runs.
const departedService = 10 * time.Second

// History has which versions of each service serve or have served. It does not know of times
// at which servers were not observed. It is not safe for concurrent use.
type History struct {
	// present are the versions of servers that are there, left when others were last there.
	present map[Version]bool
	left    map[Version]time.Time
}

// NewHistory returns the empty History of a process that starts. Other versions may have
// served before.
func NewHistory() *History {
	return &History{left: make(map[Version]time.Time)}
}

// Observe records that servers of these versions are there, and of no others.
func (h *History) Observe(now time.Time, versions []Version) {
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
	maps.DeleteFunc(h.left, func(v Version, at time.Time) bool { return h.present[v] || now.Sub(at) > MaxStreamLife+departedService })
}

// Saw records that a server of a version is there, or was there a moment ago.
func (h *History) Saw(now time.Time, v Version) {
	if !h.present[v] {
		h.left[v] = now
	}
}

// Served is what a History has of a service.
type Served struct {
	// Version is the only one that has been there within the time asked for, if Single.
	Version Version
	Single  bool
	// Complete is set if every server that was there within all of that time is known.
	Complete bool
}

// Certain reports whether no other version can have begun a stream within that time.
func (s Served) Certain() bool { return s.Single && s.Complete }

// Served returns which versions of a service, by the hash of its name, have served within
// the longest life of a stream, MaxStreamLife at most. covered says that every server that was
// there meanwhile is known.
func (h *History) Served(now time.Time, service uint32, life time.Duration, covered bool) Served {
	s := Served{Complete: covered}
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
		if now.Sub(at) <= life+departedService {
			add(v)
		}
	}
	s.Single = count == 1
	return s
}
