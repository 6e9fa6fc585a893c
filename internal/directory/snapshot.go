package directory

import (
	"time"

	"github.com/apex/log"

	"pistachioroad.dev/pistachioroad/internal/store"
)

// Snapshot is what a process has read from the store, as it stood there.
type Snapshot struct {
	Config  store.Object   `json:"config"`
	Servers []store.Object `json:"servers"`
}

// Snapshot returns what is known now; false before the first configuration.
func (d *Directory) Snapshot() (Snapshot, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	snapshot := Snapshot{Config: d.state.configObject}
	for name := range d.state.view.Servers {
		snapshot.Servers = append(snapshot.Servers, d.state.serverObjects[name])
	}
	return snapshot, d.state.view.Table != nil
}

// Adopt takes in what another gateway knows, if nothing is known here yet.
//
// A process that starts while the store is away would refuse every caller until
// the store is back, though its neighbours serve. What it adopts is not
// confirmed: it does not deny a route by it, and the store's first answer
// replaces it, for revisions only go forward.
func (d *Directory) Adopt(now time.Time, s Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state.view.Table != nil {
		return
	}
	d.takeConfig(s.Config)
	for _, o := range s.Servers {
		if _, err := d.state.serverChanged(now, store.Event{Object: o}); err != nil {
			log.WithField("error", err.Error()).Warn("entry names no server")
		}
	}
	log.WithFields(log.Fields{"revision": s.Config.Revision, "servers": len(s.Servers)}).Info("knowledge of another gateway adopted")
	d.publish(true)
}
