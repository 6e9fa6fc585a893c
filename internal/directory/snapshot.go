package directory

import (
	"slices"
	"time"

	"github.com/apex/log"

	"pistachioroad.dev/pistachioroad/internal/store"
)

// Snapshot holds the objects that a process has read from the store, unchanged.
type Snapshot struct {
	Config  store.Object   `json:"config"`
	Servers []store.Object `json:"servers"`
}

// Snapshot returns the latest objects; false before the first configuration.
func (d *Directory) Snapshot() (Snapshot, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	snapshot := Snapshot{Config: d.state.configObject}
	for name := range d.state.view.Servers {
		snapshot.Servers = append(snapshot.Servers, d.state.serverObjects[name])
	}
	return snapshot, d.state.view.Table != nil
}

// AdoptConfig applies a configuration that another gateway has read, if it is newer than
// the known one.
//
// Without it, a gateway that cannot reach the store would serve by an old configuration
// although others have announced a newer one: with keys that were removed, and without
// those that were added.
func (d *Directory) AdoptConfig(o store.Object) {
	d.mu.Lock()
	defer d.mu.Unlock()
	table, err := d.state.decoder.Config(o)
	if o.Name != d.kinds.ConfigName || err != nil {
		log.WithError(err).WithField("object", o.Name).Warn("configuration of another gateway cannot be used")
		return
	}
	d.enterEra(time.Now(), o.Era, "gateway")
	known := d.state.view.Config()
	if offered := (ConfigID{Position: o.Position(), Version: table.Version}); !offered.newerThan(known) {
		return
	}
	log.WithFields(log.Fields{
		"revision": o.Revision, "era": int64(o.Era), "previous": known.Revision, "previous_version": known.Version,
	}).Info("configuration of another gateway adopted")
	unapplied := d.state.configUnapplied
	d.applyConfig(o)
	// The store need not have it.
	d.state.configUnapplied = unapplied || o.Era != d.state.era
}

// Adopt applies the snapshot of another gateway if this one has no configuration yet.
//
// Without it, a process that starts during an outage of the store would reject every
// caller until the outage ends, although its peers serve. An adopted snapshot counts
// as unconfirmed: no route is denied because of it, and the store's first response
// replaces it unless the store has come back from a copy with an older one.
func (d *Directory) Adopt(now time.Time, s Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state.view.Table != nil {
		return
	}
	for _, o := range append(slices.Clone(s.Servers), s.Config) {
		d.enterEra(now, o.Era, "gateway")
	}
	d.applyConfig(s.Config)
	for _, o := range s.Servers {
		if o.Era != d.state.era {
			continue
		}
		if _, err := d.state.applyServerEvent(now, store.Event{Object: o}); err != nil {
			log.WithField("error", err.Error()).Warn("server object is invalid, server not used")
		}
	}
	log.WithFields(log.Fields{"revision": s.Config.Revision, "servers": len(s.Servers)}).Info("snapshot of another gateway adopted")
	d.publish(true)
}
