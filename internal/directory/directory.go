package directory

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/periodic"
	"pistachioroad.dev/pistachioroad/internal/safego"
	"pistachioroad.dev/pistachioroad/internal/store"
)

const (
	expireInterval = 200 * time.Millisecond
	// publishInterval is the minimum time between two Views with changed servers.
	// Each copies and indexes all servers, and when a deployment starts, each server
	// is a change.
	publishInterval = 50 * time.Millisecond
)

// Kinds names the store objects that a Directory follows.
type Kinds struct {
	Config, ConfigName string
	Servers            string
}

// Directory follows the configuration and the server objects in the store and
// publishes them as Views.
type Directory struct {
	store store.Store
	kinds Kinds

	mu    sync.Mutex
	state *state
	view  atomic.Pointer[View]
	// publishedAt is when changed servers were last published; publishPending is
	// set while a timer is running that publishes later changes.
	publishedAt    time.Time
	publishPending bool

	// IsWatcher reports whether this gateway is one of the few that watch the store
	// on behalf of all; nil means that it always watches.
	IsWatcher func() bool
	// OnServerChange, if set, is called for each change of a server object that a watch
	// returned.
	OnServerChange func(ServerChange)

	// configWake and serversWake signal that another gateway has announced a change.
	configWake, serversWake chan struct{}
	// configRetry and serversRetry end the pause after a failed read.
	configRetry, serversRetry chan struct{}

	// OnServer, if set, is called with each server that is new or has changed, also if it is
	// gone again when the next View is published.
	OnServer func(backend.Server)

	// OnChange, if set, is called after each change of the servers or the
	// configuration.
	OnChange func(*View)

	// storeUnreachable is set while the last read of the store failed.
	storeUnreachable atomic.Bool

	// eras is the newest known era of the store.
	eras *store.Eras

	failures, compactions, earlyEnds, wentBack, restorations metrics.Counter
	// invalid is the number of server objects that cannot be decoded.
	invalid metrics.Gauge
}

// New returns a Directory with an empty View.
func New(s store.Store, d Decoder, kinds Kinds) *Directory {
	dir := &Directory{
		store: s,
		kinds: kinds,
		state: newState(d),

		configWake:   make(chan struct{}, 1),
		serversWake:  make(chan struct{}, 1),
		configRetry:  make(chan struct{}, 1),
		serversRetry: make(chan struct{}, 1),

		failures:    metrics.GetOrRegisterCounter("directory.store_failures", nil),
		compactions: metrics.GetOrRegisterCounter("directory.histories_dropped", nil),
		earlyEnds:   metrics.GetOrRegisterCounter("directory.watches_ended_early", nil),
		wentBack:    metrics.GetOrRegisterCounter("directory.revision_went_back", nil),

		eras:         store.ErasOf(s),
		restorations: metrics.GetOrRegisterCounter("directory.store_restorations", nil),
		invalid:      metrics.GetOrRegisterGauge("directory.server_objects_invalid", nil),
	}
	dir.state.onServer = func(s backend.Server) {
		if dir.OnServer != nil {
			dir.OnServer(s)
		}
	}
	dir.view.Store(dir.state.snapshot())
	return dir
}

// View returns the latest View.
func (d *Directory) View() *View { return d.view.Load() }

// StoreUnreachable reports whether the last read of the store failed.
func (d *Directory) StoreUnreachable() bool { return d.storeUnreachable.Load() }

// FollowConfig keeps the configuration up to date until ctx is done.
func (d *Directory) FollowConfig(ctx context.Context) error {
	return d.follow(ctx, &follower{
		kind: d.kinds.Config,
		onList: func(_ time.Time, sent moment, l store.Listing) {
			d.applyConfigList(l)
			d.state.confirmConfig(sent.clock)
			d.publish(false)
		},
		onEvent: func(_ time.Time, e store.Event) {
			if e.Object.Name == d.kinds.ConfigName && !e.Removed {
				d.applyConfig(e.Object)
				d.logUnapplied(e.Object)
			}
		},
		onConfirm: func(at moment) { d.state.confirmConfig(at.clock) },
		// The store has lost what was announced of an earlier era.
		behind: func() bool { return d.state.view.OutOfDate() && d.state.view.Announced.Era == d.state.era },
		wake:   d.configWake,
		retry:  d.configRetry,
	})
}

// FollowServers keeps the servers up to date until ctx is done.
func (d *Directory) FollowServers(ctx context.Context) error {
	return d.follow(ctx, &follower{
		kind: d.kinds.Servers,
		onList: func(now time.Time, sent moment, l store.Listing) {
			d.state.coverList(sent.boot, l)
			d.applyServerList(now, l)
			d.state.confirmServers(sent)
			d.publish(false)
		},
		onEvent: func(now time.Time, e store.Event) {
			previous := d.state.serversLastChange
			d.applyServerEvent(now, e)
			d.state.recordLastChange(e.Object.Revision)
			if d.OnServerChange != nil {
				d.OnServerChange(ServerChange{Event: e, PreviousRevision: previous})
			}
		},
		behind:     func() bool { return d.state.serversAnnounced > d.state.serversSynced },
		markSynced: func(revision int64) { d.state.markServersSynced(revision) },
		wake:       d.serversWake,
		retry:      d.serversRetry,
		onConfirm:  func(at moment) { d.state.confirmServers(at) },
		onFailure:  func() { d.state.markUnreachable() },
	})
}

// Expire removes servers that are still missing when the grace period after an
// outage is over. It runs until ctx is done.
func (d *Directory) Expire(ctx context.Context) error {
	return periodic.Run(ctx, expireInterval, func(now time.Time) {
		d.locked(func() {
			if d.state.expire(now) {
				d.publish(true)
			}
		})
	})
}

func (d *Directory) locked(step func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	step()
}

func (d *Directory) applyConfigList(l store.Listing) {
	found := false
	for _, o := range l.Objects {
		if o.Name == d.kinds.ConfigName {
			found = true
			d.applyConfig(o)
			d.logUnapplied(o)
		}
	}
	if !found && d.state.view.Table != nil {
		d.state.configUnapplied = true
	}
	d.publish(false)
}

func (d *Directory) applyConfig(o store.Object) {
	changed, err := d.state.applyConfig(o)
	if err != nil {
		log.WithField("revision", o.Revision).WithField("error", err.Error()).Error("configuration cannot be decoded, keeping the previous one")
		return
	}
	if changed {
		t := d.state.view.Table
		log.WithFields(log.Fields{
			"version": t.Version, "revision": o.Revision, "era": int64(o.Era), "routes": t.Len(), "services": len(t.Services),
		}).Info("configuration applied")
		d.publish(true)
	}
}

// logUnapplied logs, once for each, a configuration of the store that is not put in force, and
// that the store has the one in force again.
func (d *Directory) logUnapplied(o store.Object) {
	s := d.state
	line := log.WithFields(log.Fields{"revision": o.Revision, "era": int64(o.Era), "kept": s.view.Config().Version})
	switch {
	case s.configUnapplied && s.unappliedConfig != o.Position():
		s.unappliedConfig = o.Position()
		line.Warn("store has another configuration than the one in force")
	case !s.configUnapplied && s.unappliedConfig != (store.Position{}):
		s.unappliedConfig = store.Position{}
		line.Info("store has the configuration in force again")
	}
}

func (d *Directory) applyServerList(now time.Time, l store.Listing) {
	changed, errs := d.state.applyServerList(now, l)
	for _, err := range errs {
		log.WithField("error", err.Error()).Warn("server object is invalid, server not used")
	}
	d.publish(changed)
}

func (d *Directory) applyServerEvent(now time.Time, e store.Event) {
	changed, err := d.state.applyServerEvent(now, e)
	if err != nil {
		log.WithField("error", err.Error()).Warn("server object is invalid, server not used")
	}
	if !changed {
		return
	}
	s, there := d.state.view.Servers[e.Object.Name]
	log.WithFields(log.Fields{
		"server": e.Object.Name, "there": there, "version": s.Version, "draining": s.Draining, "role": string(s.Role),
		"address": s.Address, "revision": e.Object.Revision,
	}).Info("backend server changed")
	d.publishCoalesced(now)
}

// publishCoalesced publishes changed servers immediately, or, within
// publishInterval of the last time, together with later changes.
func (d *Directory) publishCoalesced(now time.Time) {
	if d.publishPending {
		return
	}
	wait := d.publishedAt.Add(publishInterval).Sub(now)
	if wait <= 0 {
		d.publish(true)
		return
	}
	d.publishPending = true
	safego.AfterFunc(wait, "publish changed servers", func() {
		d.locked(func() {
			if d.publishPending {
				d.publishPending = false
				d.publish(true)
			}
		})
	})
}

// publish makes the state visible as a View and calls OnChange if changed is set.
// Without a change only the times differ, and the View shares the servers of the
// previous one: copying some thousand servers at each confirmation took a tenth of
// a small VM's CPU time.
func (d *Directory) publish(changed bool) {
	before := d.view.Load()
	var v *View
	if changed {
		v = d.state.snapshot()
		d.publishedAt, d.publishPending = time.Now(), false
	} else {
		v = d.state.snapshotWithServersOf(before)
	}
	invariant.Check(!before.Config().newerThan(v.Config()), "configuration-forward", "%+v after %+v", v.Config(), before.Config())
	d.view.Store(v)
	d.invalid.Update(int64(len(v.Invalid)))
	if changed && d.OnChange != nil {
		d.OnChange(v)
	}
}
