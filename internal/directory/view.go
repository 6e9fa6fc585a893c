// Package directory follows the operator's configuration and the objects of
// backend servers in the store.
//
// What it publishes only moves forward: an object of a lower revision than one
// already seen is dropped, so that neither a stale read nor a late response can
// revert a process to an older configuration.
package directory

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/routes"
)

// View is an immutable snapshot of the configuration and the servers.
type View struct {
	// Table is nil before the first configuration was read.
	Table *routes.Table
	// TableRevision is the store's revision of the object that Table was decoded from.
	TableRevision int64
	// AnnouncedRevision is the newest revision of Table that another gateway has
	// announced. If it is higher than TableRevision, Table is out of date.
	AnnouncedRevision int64
	// TableConfirmedAt and ServersConfirmedAt are when the store last confirmed that
	// each was the newest, by the monotonic clock.
	TableConfirmedAt, ServersConfirmedAt time.Time
	// Servers are all servers with a valid object, by ID.
	Servers map[string]backend.Server

	byService map[string][]backend.Server
}

// Service returns the servers of a service that may get new requests.
func (v *View) Service(name string) []backend.Server { return v.byService[name] }

// OutOfDate reports whether a newer configuration than Table is known to exist.
func (v *View) OutOfDate() bool { return v.AnnouncedRevision > v.TableRevision }

// Current reports whether Table includes every change that the store confirmed more
// than within before now.
func (v *View) Current(now time.Time, within time.Duration) bool {
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
