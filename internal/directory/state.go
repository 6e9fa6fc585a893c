package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/boottime"
	"pistachioroad.dev/pistachioroad/internal/routes"
	"pistachioroad.dev/pistachioroad/internal/store"
)

// absentGrace is how long a server that is missing after an outage of the store is
// still used. Server objects expire during an outage, because servers cannot renew
// them, and live servers register again within two seconds of its end. Dropping them
// immediately would leave a service without servers.
const absentGrace = 2 * time.Second

// Decoder decodes the objects of the store.
type Decoder interface {
	Config(store.Object) (*routes.Table, error)
	// WithoutKeys returns the configuration with digests in place of callers' API keys.
	WithoutKeys(store.Object) (store.Object, error)
	Server(store.Object) (backend.Server, error)
}

// state holds what has been read so far. It is not safe for concurrent use.
type state struct {
	decoder Decoder
	view    View
	// revisions has the latest revision of each server object, including removed
	// ones: an older event of a removed object must not restore its server.
	revisions map[string]int64
	// listedRevision is the store's revision at the last list. Events up to it about
	// objects that were not listed are stale, so that revisions need not keep those.
	listedRevision int64
	// onServer is called with each server that is new or has changed.
	onServer func(backend.Server)
	// absentAt is when each server was found missing after an outage.
	absentAt map[string]time.Time
	// outage is set while the store cannot be read; recoveredAt is when it could
	// be read again.
	outage      bool
	recoveredAt time.Time
	// configObject and serverObjects are the objects as read from the store, except for
	// API keys, for gateways that cannot reach it.
	configObject  store.Object
	serverObjects map[string]store.Object
	// serversRevision is the highest revision of a server object seen.
	serversRevision int64
	// serversSynced is the store's revision up to which all changes of server objects
	// are known. Between serversLastChange and serversSynced there was no change.
	serversSynced, serversLastChange int64
	// serversAnnounced is the newest revision of a server object that another gateway
	// has announced.
	serversAnnounced int64
	// ownConfigReadAt and ownServersConfirmedAt are up to when this gateway's own reads
	// have shown all changes of each.
	ownConfigReadAt, ownServersConfirmedAt time.Time
	// remoteConfirmedAt is when the store last confirmed this state to another gateway.
	remoteConfirmedAt time.Time
	// malformed has the revisions of the server objects that cannot be decoded, to log
	// each once.
	malformed map[string]int64
	// era is the store's era that the revisions above belong to.
	era store.Era
	// configUnapplied is set while the store's configuration is not the one in force: it is of
	// an older version, missing, or cannot be decoded, or has not been read in this era.
	configUnapplied bool
	// unappliedConfig is the position of the store's configuration that was last logged as not
	// put in force.
	unappliedConfig store.Position
	// olderAnnouncedAt is when another gateway last announced a configuration of another era
	// and of an older version than the one in force.
	olderAnnouncedAt time.Time
	// departed has the servers whose objects were removed lately, reappeared the objects of such
	// servers that a copy of the store has brought back.
	departed   map[string]departure
	reappeared map[string]store.Object
}

func newState(d Decoder) *state {
	return &state{
		decoder:    d,
		view:       View{Servers: make(map[string]backend.Server)},
		revisions:  make(map[string]int64),
		absentAt:   make(map[string]time.Time),
		malformed:  make(map[string]int64),
		departed:   make(map[string]departure),
		reappeared: make(map[string]store.Object),
		onServer:   func(backend.Server) {},

		serverObjects: make(map[string]store.Object),
	}
}

// applyConfig applies the configuration object if it is newer than the known one, and
// reports whether it was.
func (s *state) applyConfig(o store.Object) (bool, error) {
	known := s.view.Config()
	if o.Era == known.Era && o.Revision <= known.Revision {
		s.configUnapplied = s.configUnapplied && o.Revision < known.Revision
		return false, nil
	}
	s.configUnapplied = true
	table, err := s.decoder.Config(o)
	if err != nil {
		return false, err
	}
	if known.Era != o.Era && table.Version < known.Version {
		return false, nil
	}
	stored, err := s.decoder.WithoutKeys(o)
	if err != nil {
		return false, err
	}
	s.view.Table = table
	s.configObject = stored
	s.view.TableEra, s.view.TableRevision = o.Era, o.Revision
	s.configUnapplied = false
	return true, nil
}

// confirmConfig records that all changes of the store's configuration up to the given time
// have been read. This confirms the configuration in force only if the store's is that one.
func (s *state) confirmConfig(at time.Time) {
	s.ownConfigReadAt = later(s.ownConfigReadAt, at)
	if !s.configUnapplied {
		s.view.TableConfirmedAt = later(s.view.TableConfirmedAt, at)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// applyServerEvent applies one event and reports whether the servers changed.
func (s *state) applyServerEvent(now time.Time, e store.Event) (bool, error) {
	name := e.Object.Name
	if s.isStale(e.Object) {
		return false, nil
	}
	_, seen := s.revisions[name]
	s.recordRevision(e.Object)
	delete(s.reappeared, name)
	if e.Removed {
		delete(s.malformed, name)
		if !seen {
			// The server has come and gone without a trace of its properties.
			s.view.ServersCoverage.Break(boottime.Now())
		}
		return s.removeServer(now, name), nil
	}
	// Only a server that is alive writes its object.
	delete(s.departed, name)
	return s.upsert(now, e.Object)
}

// isStale reports whether the object has changed since, or was missing from a later
// list.
func (s *state) isStale(o store.Object) bool {
	known, ok := s.revisions[o.Name]
	if !ok {
		return o.Revision <= s.listedRevision
	}
	return o.Revision < known
}

func (s *state) recordRevision(o store.Object) {
	s.revisions[o.Name] = max(s.revisions[o.Name], o.Revision)
	s.serversRevision = max(s.serversRevision, o.Revision)
}

// markServersSynced records that all changes of server objects up to a revision of
// the store are known.
func (s *state) markServersSynced(revision int64) {
	s.serversSynced = max(s.serversSynced, revision)
}

// recordLastChange records a revision after which no change of a server object is
// known.
func (s *state) recordLastChange(revision int64) {
	s.serversLastChange = max(s.serversLastChange, revision)
}

func (s *state) upsert(now time.Time, o store.Object) (bool, error) {
	delete(s.absentAt, o.Name)
	server, err := s.decoder.Server(o)
	if err == nil && s.isReappeared(now, o, server.Incarnation) {
		return false, nil
	}
	if err != nil {
		_, known := s.view.Servers[o.Name]
		delete(s.view.Servers, o.Name)
		err = eris.Wrapf(err, "revision %d", o.Revision)
		if s.malformed[o.Name] == o.Revision {
			err = nil
		}
		s.malformed[o.Name] = o.Revision
		return known, err
	}
	delete(s.malformed, o.Name)
	known, ok := s.view.Servers[o.Name]
	if ok && known.Draining && !server.Draining && known.Incarnation == server.Incarnation && s.serverObjects[o.Name].Era < o.Era {
		// The object is from before the server announced that it is leaving.
		return false, nil
	}
	if ok && server.Draining && known.Incarnation == server.Incarnation {
		server.LastReady = known.LastReady
		if !known.Draining {
			server.LastReady = s.view.ServersConfirmedAt
		}
	}
	changed := known != server
	if changed {
		s.onServer(server)
	}
	s.serverObjects[o.Name] = o
	s.view.Servers[o.Name] = server
	return changed, nil
}

// removeServer drops a server whose object is gone, or keeps it for absentGrace if an
// outage of the store has just ended. It reports whether it was dropped.
func (s *state) removeServer(now time.Time, name string) bool {
	if _, ok := s.view.Servers[name]; !ok {
		return false
	}
	if s.graceUntil().After(now) {
		if _, ok := s.absentAt[name]; !ok {
			s.absentAt[name] = now
		}
		return false
	}
	s.drop(now, name)
	return true
}

func (s *state) drop(now time.Time, name string) {
	if server, ok := s.view.Servers[name]; ok {
		s.departed[name] = departure{incarnation: server.Incarnation, era: s.era, at: now}
	}
	delete(s.view.Servers, name)
	delete(s.absentAt, name)
	delete(s.serverObjects, name)
}

func (s *state) graceUntil() time.Time {
	if s.recoveredAt.IsZero() {
		return time.Time{}
	}
	return s.recoveredAt.Add(absentGrace)
}

// applyServerList applies a list of all server objects. It reports whether the servers
// changed, and returns the errors of objects that cannot be decoded.
func (s *state) applyServerList(now time.Time, l store.Listing) (changed bool, errs []error) {
	if s.outage {
		s.outage = false
		s.recoveredAt = now
	}
	first, gone := s.serversSynced == 0, false
	present := make(map[string]bool, len(l.Objects))
	for _, o := range l.Objects {
		present[o.Name] = true
		if o.Revision < s.revisions[o.Name] {
			continue
		}
		s.recordRevision(o)
		c, err := s.upsert(now, o)
		changed = changed || c
		if err != nil {
			errs = append(errs, err)
		}
	}
	maps.DeleteFunc(s.reappeared, func(name string, _ store.Object) bool { return !present[name] })
	for name := range s.view.Servers {
		if !present[name] {
			gone = true
			changed = s.removeServer(now, name) || changed
		}
	}
	s.recordLastChange(s.serversRevision)
	if first || gone {
		// A removal before the list leaves no trace in the objects listed.
		s.recordLastChange(l.Revision)
	}
	s.markServersSynced(l.Revision)
	s.pruneRevisions(l.Revision, present)
	return changed, errs
}

// pruneRevisions drops what is known of objects that were missing from a list. Servers
// come and go under new names, so that the maps would grow without bound.
func (s *state) pruneRevisions(listedRevision int64, present map[string]bool) {
	if listedRevision < s.listedRevision {
		return
	}
	s.listedRevision = listedRevision
	gone := func(name string, revision int64) bool { return !present[name] && revision <= listedRevision }
	maps.DeleteFunc(s.revisions, gone)
	maps.DeleteFunc(s.malformed, gone)
}

// confirmServers records that the store had no newer server objects at the given moment.
func (s *state) confirmServers(at moment) {
	s.view.ServersConfirmedAt = later(s.view.ServersConfirmedAt, at.clock)
	s.ownServersConfirmedAt = later(s.ownServersConfirmedAt, at.clock)
	s.view.ServersCoverage.Extend(at.boot)
}

// coverList records a list that was requested at a time, before it is applied. Servers that
// have come and gone since the last change that is known are not in it.
func (s *state) coverList(sent time.Duration, l store.Listing) {
	if s.serversSynced == 0 || l.Revision != s.serversSynced {
		s.view.ServersCoverage.Relist(sent)
	}
}

// markUnreachable records that the store cannot be read.
func (s *state) markUnreachable() { s.outage = true }

// expire drops the servers that are still missing at the end of the grace period. It
// reports whether there were any.
func (s *state) expire(now time.Time) bool {
	changed := s.releaseReappeared(now)
	if s.graceUntil().After(now) {
		return changed
	}
	for name := range s.absentAt {
		if _, ok := s.view.Servers[name]; ok {
			changed = true
		}
		s.drop(now, name)
	}
	return changed
}

// snapshotWithServersOf returns the state as a View that shares the servers of an
// earlier View.
func (s *state) snapshotWithServersOf(before *View) *View {
	v := s.view
	v.Servers, v.byService = before.Servers, before.byService
	v.Invalid = slices.Sorted(maps.Keys(s.malformed))
	return &v
}

// snapshot returns the state as a View with its own copy of the servers.
func (s *state) snapshot() *View {
	v := s.view
	v.Servers = maps.Clone(s.view.Servers)
	v.Invalid = slices.Sorted(maps.Keys(s.malformed))
	v.index()
	return &v
}
