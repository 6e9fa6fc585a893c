// Package directory follows the operator's configuration and the objects of
// backend servers in the store.
//
// What it publishes only moves forward: an object of a lower revision than one
// already seen is dropped, so that neither a stale read nor a late response can
// revert a process to an older configuration. Revisions are compared within an era
// of the store only. When the store has come back from a copy, the operator's version
// orders configurations, and a server that was leaving or gone stays so.
package directory

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/routes"
	"pistachioroad.dev/pistachioroad/internal/store"
)

// View is an immutable snapshot of the configuration and the servers.
type View struct {
	// Table is nil before the first configuration was read.
	Table *routes.Table
	// TableRevision is the store's revision of the object that Table was decoded from.
	TableRevision int64
	// TableEra is the store's era that TableRevision belongs to.
	TableEra store.Era
	// StoreEra is the newest known era of the store.
	StoreEra store.Era
	// EraSince is when this process learned of StoreEra, zero if the store names no era.
	EraSince time.Time
	// Announced is the newest configuration that another gateway has announced. If it is
	// newer than Table, Table is out of date.
	Announced ConfigID
	// TableConfirmedAt and ServersConfirmedAt are when the store last confirmed that
	// each was the newest, by the monotonic clock.
	TableConfirmedAt, ServersConfirmedAt time.Time
	// ServersCoverage is when every server that the store has had is known.
	ServersCoverage Coverage
	// Servers are all servers with a valid object, by ID.
	Servers map[string]backend.Server
	// Invalid are the names of the server objects that cannot be decoded, in order.
	Invalid []string

	byService map[string][]backend.Server
}

// Service returns the servers of a service that may get new requests.
func (v *View) Service(name string) []backend.Server { return v.byService[name] }

// OutOfDate reports whether a newer configuration than Table is known to exist.
func (v *View) OutOfDate() bool { return v.Announced.newerThan(v.Config()) }

// Current reports whether Table includes every change that the store confirmed more
// than within before now. It does not while the store may lack changes that it has
// confirmed before it came back from a copy.
func (v *View) Current(now time.Time, within time.Duration) bool {
	if !v.EraSince.IsZero() && now.Sub(v.EraSince) < rewriteTime {
		return false
	}
	return !v.OutOfDate() && now.Sub(v.TableConfirmedAt) <= within
}

// index groups the servers that are not draining by service.
func (v *View) index() {
	v.byService = make(map[string][]backend.Server)
	for _, s := range v.Servers {
		if !s.Draining {
			v.byService[s.Service] = append(v.byService[s.Service], s)
		}
	}
}
