// Package streamversion decides at which engines a stream may go on. What engines of two
// software versions write does not fit together, so that a stream goes on only at the
// version that began it. The package is pure code; time is passed in.
package streamversion

import (
	"github.com/cespare/xxhash/v2"

	"pistachioroad.dev/pistachioroad/internal/backend"
)

// Version is a software version of the servers of a service, as hashes of both names.
type Version struct {
	Service, Software uint32
}

// Of returns the version of a server.
func Of(s backend.Server) Version {
	return Version{Service: HashOf(s.Service), Software: HashOf(s.Version)}
}

// HashOf returns the hash of the name of a service or of a software version.
func HashOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Constraint limits the engines at which a stream may go on. The zero Constraint is that
// of a stream without events, which any engine may begin.
type Constraint struct {
	version Version
	fixed   bool
}

// Only returns the constraint of a stream that a version began.
func Only(v Version) Constraint { return Constraint{version: v, fixed: true} }

// Version returns the only version that is allowed, or false if all are.
func (c Constraint) Version() (Version, bool) { return c.version, c.fixed }

// Allows reports whether the stream may go on at a version. A service to which the route
// has moved since has versions of its own, which the constraint does not concern.
func (c Constraint) Allows(v Version) bool {
	return !c.fixed || c.version.Service != v.Service || c.version == v
}
