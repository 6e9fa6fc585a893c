package member

import (
	"maps"
	"slices"

	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// maxObjects bounds the objects that a process holds, so that a peer cannot exhaust its
// memory with new names.
const maxObjects = 64

// Objects holds, for each name, the object with the highest version seen. It
// is not safe for use by several goroutines.
//
// A peer that was partitioned for a while still sends its old objects. If the last
// message won, this process could revert to a configuration that an operator has already
// replaced; comparing store versions prevents that.
type Objects struct {
	held map[string]sharedstate.Object
	// wanted are the only names accepted; empty means all.
	wanted []string
}

// NewObjects returns an empty Objects that accepts only the given names; without names,
// any.
func NewObjects(wanted ...string) *Objects {
	return &Objects{held: map[string]sharedstate.Object{}, wanted: wanted}
}

// Offer stores o if its version is above the one held, and reports whether it did.
func (s *Objects) Offer(o sharedstate.Object) bool {
	before, known := s.held[o.Name]
	if o.Version <= before.Version {
		return false
	}
	if !known && (len(s.held) >= maxObjects || !s.wants(o.Name)) {
		return false
	}
	s.held[o.Name] = o
	invariant.Check(s.held[o.Name].Version > before.Version, "config never reverts",
		"%s went from version %d to %d", o.Name, before.Version, o.Version)
	return true
}

func (s *Objects) wants(name string) bool {
	return len(s.wanted) == 0 || slices.Contains(s.wanted, name)
}

// clone returns an independent copy of s.
func (s *Objects) clone() *Objects {
	return &Objects{held: maps.Clone(s.held), wanted: s.wanted}
}

// Get returns the object held, with version 0 if there is none.
func (s *Objects) Get(name string) sharedstate.Object {
	o, ok := s.held[name]
	if !ok {
		return sharedstate.Object{Name: name}
	}
	return o
}

// Versions returns the version held of each object, 0 for a wanted one that is
// not held yet.
func (s *Objects) Versions() *wire.Versions {
	versions := make(map[string]uint64, len(s.held)+len(s.wanted))
	for _, name := range s.wanted {
		versions[name] = 0
	}
	for name, o := range s.held {
		versions[name] = o.Version
	}
	return &wire.Versions{Versions: versions}
}

// Newer returns the objects held at a higher version than the peer's, sorted by name. A
// peer that lists names gets only those: the plan of one region is of no use in another.
func (s *Objects) Newer(peer *wire.Versions) []*wire.Object {
	newer := []*wire.Object{}
	for _, name := range slices.Sorted(maps.Keys(s.held)) {
		o := s.held[name]
		version, listed := peer.GetVersions()[name]
		if !listed && len(peer.GetVersions()) > 0 {
			continue
		}
		if o.Version > version {
			newer = append(newer, &wire.Object{Name: name, Version: o.Version, Value: o.Value})
		}
	}
	return newer
}
