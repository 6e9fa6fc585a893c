package directory

import (
	"maps"
	"time"

	"github.com/apex/log"

	"pistachioroad.dev/pistachioroad/internal/boottime"
	"pistachioroad.dev/pistachioroad/internal/store"
)

const (
	// rewriteTime is how long after the store's return from a copy the operator's lost changes
	// may still be missing. Until then, a configuration that the store confirms may lack some
	// of them, even if this gateway knew none. A process that starts cannot know when the era
	// began.
	rewriteTime = 5 * time.Second
	// departureRetention is how long the departure of a server is remembered. Copies are some
	// seconds old.
	departureRetention = time.Minute
	// reappearedTime is how long an object of a departed server that a copy has brought back is
	// not used. The object of a server that has ended expires within that time.
	reappearedTime = 10 * time.Second
)

// ConfigID identifies a configuration.
type ConfigID struct {
	store.Position
	// Version is the operator's version, which only increases.
	Version int64
}

// newerThan reports whether c replaces other. Within an era, the later revision does. Across
// eras revisions cannot be compared, and the higher version does.
func (c ConfigID) newerThan(other ConfigID) bool {
	if c.Era == other.Era {
		return c.Revision > other.Revision
	}
	return c.Version > other.Version
}

// Config identifies the configuration that is in force.
func (v *View) Config() ConfigID {
	id := ConfigID{Position: store.Position{Era: v.TableEra, Revision: v.TableRevision}}
	if v.Table != nil {
		id.Version = v.Table.Version
	}
	return id
}

// departure is the end of a server.
type departure struct {
	incarnation int64
	era         store.Era
	at          time.Time
}

// beginEra starts a new era: revisions known so far cannot be compared with those to come.
// What only goes forward is kept: the configuration's version, leaving and departed servers.
// It reports whether the store has come back from a copy, as far as this process knows.
func (s *state) beginEra(now time.Time, era store.Era) bool {
	empty := s.era == 0 && s.view.Table == nil && len(s.view.Servers) == 0
	s.era, s.view.StoreEra, s.view.EraSince = era, era, now
	if empty {
		return false
	}
	s.configUnapplied = true
	// Until servers have written their objects again, the store may lack some that serve.
	s.view.ServersCoverage.Break(boottime.Now() + rewriteTime)
	clear(s.revisions)
	clear(s.malformed)
	s.listedRevision, s.serversRevision, s.serversSynced, s.serversLastChange, s.serversAnnounced = 0, 0, 0, 0, 0
	s.ownConfigReadAt, s.ownServersConfirmedAt, s.remoteConfirmedAt = time.Time{}, time.Time{}, time.Time{}
	// Servers that the copy lacks have a grace period, as after an outage.
	s.outage = true
	return true
}

// enterEra begins an era that the store, or another gateway, has named. It reports whether
// the era is the present one, false if it has ended.
func (d *Directory) enterEra(now time.Time, era store.Era, source string) bool {
	s := d.state
	if era <= s.era {
		return era == s.era
	}
	previous := s.era
	d.eras.Learn(era)
	if !s.beginEra(now, era) {
		return true
	}
	d.restorations.Inc(1)
	log.WithFields(log.Fields{
		"era": int64(era), "previous": int64(previous), "learned_from": source, "version": s.view.Config().Version,
		"revision": s.view.TableRevision, "servers": len(s.view.Servers),
	}).Warn("store came back from a copy")
	d.publish(false)
	d.wake(d.configWake)
	d.wake(d.serversWake)
	return true
}

// isReappeared reports whether an object is that of a server that departed in an earlier era, and
// keeps it in case the server turns out to be alive.
func (s *state) isReappeared(now time.Time, o store.Object, incarnation int64) bool {
	left, ok := s.departed[o.Name]
	if !ok || left.era >= o.Era || left.incarnation != incarnation {
		return false
	}
	if !now.Before(s.view.EraSince.Add(reappearedTime)) {
		delete(s.departed, o.Name)
		return false
	}
	if _, known := s.reappeared[o.Name]; !known {
		log.WithField("server", o.Name).WithField("revision", o.Revision).Info("server departed before the store's copy, not used")
	}
	s.reappeared[o.Name] = o
	return true
}

// releaseReappeared uses the servers whose objects have outlived reappearedTime, and forgets old
// departures. It reports whether the servers changed.
func (s *state) releaseReappeared(now time.Time) (changed bool) {
	maps.DeleteFunc(s.departed, func(_ string, left departure) bool { return now.Sub(left.at) >= departureRetention })
	if now.Before(s.view.EraSince.Add(reappearedTime)) {
		return false
	}
	for name, o := range s.reappeared {
		delete(s.reappeared, name)
		c, err := s.upsert(now, o)
		changed = changed || (c && err == nil)
	}
	return changed
}
