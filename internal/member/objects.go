// Package member keeps a process's picture of the fleet: the VM list and the
// objects that all processes hold in common.
package member

import (
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/platform"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// maxObjects bounds the objects that a process holds; a peer cannot fill its
// memory with names.
const maxObjects = 64

// Objects holds, for each name, the object with the highest version seen. It
// is not safe for use by several goroutines.
//
// A relay that was cut off for a while goes on sending what it knew. Taking
// the newest message for the newest object would take this process back to a
// configuration that an operator has already replaced; comparing store
// versions keeps it from that.
type Objects struct {
	held map[string]platform.Object
}

// NewObjects returns an Objects that holds nothing.
func NewObjects() *Objects {
	return &Objects{held: map[string]platform.Object{}}
}

// Offer takes o if its version is above the one held, and reports whether it
// did.
func (s *Objects) Offer(o platform.Object) bool {
	before, known := s.held[o.Name]
	if o.Version <= before.Version {
		return false
	}
	if !known && len(s.held) >= maxObjects {
		return false
	}
	s.held[o.Name] = o
	invariant.Check(s.held[o.Name].Version > before.Version, "config never reverts",
		"%s went from version %d to %d", o.Name, before.Version, o.Version)
	return true
}

// Get returns the object held, with version 0 if there is none.
func (s *Objects) Get(name string) platform.Object {
	o, ok := s.held[name]
	if !ok {
		return platform.Object{Name: name}
	}
	return o
}

// Versions returns the version held of each object.
func (s *Objects) Versions() *wire.Versions {
	versions := make(map[string]uint64, len(s.held))
	for name, o := range s.held {
		versions[name] = o.Version
	}
	return &wire.Versions{Versions: versions}
}

// Newer returns the objects held at a higher version than the peer's.
func (s *Objects) Newer(peer *wire.Versions) []*wire.Object {
	newer := []*wire.Object{}
	for name, o := range s.held {
		if o.Version > peer.GetVersions()[name] {
			newer = append(newer, &wire.Object{Name: name, Version: o.Version, Value: o.Value})
		}
	}
	return newer
}
