package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/pause"
	"pistachioroad.dev/pistachioroad/internal/periodic"
	"pistachioroad.dev/pistachioroad/internal/store"
)

const (
	// watchWait is how long a watch waits for a change. A watch that hears nothing,
	// for its connection went silent or the store keeps changes back, shows only
	// when it does not return: this and the client's timeout are how late such a
	// gateway hears of a change, which must be less than the two seconds that a
	// configuration may take. Two of them are under coverFor too: a change at the
	// end of one confirms its begin. Each watch is a call of the store, and calls
	// are priced; few gateways watch at a time.
	watchWait = 700 * time.Millisecond
	// deafAfter is how long a watch may take to bring a change that others have
	// seen. They have it by a watch or list of their own, so that it is on its way.
	deafAfter = 50 * time.Millisecond
	// firstPause and longestPause bound the pause after a failed read. The
	// longest stays well under the two seconds that a change may take.
	firstPause   = 100 * time.Millisecond
	longestPause = 600 * time.Millisecond
	expireEvery  = 200 * time.Millisecond
	// publishEvery spaces the Views of changed servers. Each copies and indexes
	// all servers, and when a deployment starts each server is a change: with a
	// View for each, a thousand of them took a gateway 2.5 s of processor.
	publishEvery = 50 * time.Millisecond
)

// Kinds names the objects that are followed.
type Kinds struct {
	Config, ConfigName string
	Servers            string
}

// Directory follows the store and publishes Views.
type Directory struct {
	store store.Store
	kinds Kinds

	mu    sync.Mutex
	state *state
	view  atomic.Pointer[View]
	// publishedAt is when servers were last published; pending says that they
	// have changed since and will be.
	publishedAt time.Time
	pending     bool

	// Watcher says whether this gateway is one of the few that watch the store
	// for all; nil means that it watches.
	Watcher func() bool
	// OnEntry is told of each change of an entry that a watch saw, if set.
	OnEntry func(Change)

	configWake, serversWake chan struct{}

	// OnChange is called after each change of the servers or the configuration,
	// if set.
	OnChange func(*View)

	failures, dropped, early metrics.Counter
}

// New returns a Directory that knows nothing yet.
func New(s store.Store, d Decoder, kinds Kinds) *Directory {
	dir := &Directory{
		store: s,
		kinds: kinds,
		state: newState(d),

		configWake:  make(chan struct{}, 1),
		serversWake: make(chan struct{}, 1),

		failures: metrics.GetOrRegisterCounter("directory.store_failures", nil),
		dropped:  metrics.GetOrRegisterCounter("directory.histories_dropped", nil),
		early:    metrics.GetOrRegisterCounter("directory.watches_ended_early", nil),
	}
	dir.view.Store(dir.state.snapshot())
	return dir
}

// View returns what is known now.
func (d *Directory) View() *View { return d.view.Load() }

// FollowConfig keeps the configuration up to date until ctx ends.
func (d *Directory) FollowConfig(ctx context.Context) error {
	return d.follow(ctx, &follower{
		kind: d.kinds.Config,
		list: d.configListed,
		event: func(_ time.Time, e store.Event) {
			if e.Object.Name == d.kinds.ConfigName && !e.Removed {
				d.takeConfig(e.Object)
			}
		},
		confirm: func(at time.Time) { d.state.confirmConfig(at) },
		lacks:   func() bool { return d.state.view.OutOfDate() },
		wake:    d.configWake,
	})
}

// FollowServers keeps the servers up to date until ctx ends.
func (d *Directory) FollowServers(ctx context.Context) error {
	return d.follow(ctx, &follower{
		kind: d.kinds.Servers,
		list: d.serversListed,
		event: func(now time.Time, e store.Event) {
			after := d.state.serversChanged
			d.serverEvent(now, e)
			d.state.changedAt(e.Object.Revision)
			if d.OnEntry != nil {
				d.OnEntry(Change{Event: e, After: after})
			}
		},
		lacks:   func() bool { return d.state.serversWanted > d.state.serversKnown },
		sawAll:  func(at int64) { d.state.sawAll(at) },
		wake:    d.serversWake,
		confirm: func(at time.Time) { d.state.confirmServers(at) },
		lost:    func() { d.state.lost() },
	})
}

// Expire drops servers that stayed away after an outage, until ctx ends.
func (d *Directory) Expire(ctx context.Context) error {
	return periodic.Run(ctx, expireEvery, func(now time.Time) {
		d.locked(func() {
			if d.state.expire(now) {
				d.publish(true)
			}
		})
	})
}

// follower is how one kind of objects is taken in. Its functions are called
// with the lock held.
type follower struct {
	kind  string
	list  func(now time.Time, l store.Listing)
	event func(now time.Time, e store.Event)
	// confirm is told of a time at which nothing was newer than what is known.
	confirm func(at time.Time)
	// sawAll, if set, is told of a revision up to which all changes are known.
	sawAll func(at int64)
	lost   func()
	// lacks reports whether others know a newer change; wake asks to look.
	lacks func() bool
	wake  chan struct{}

	// at is the revision to watch from.
	at int64

	pauses pause.Backoff
	down   bool
}

// follow lists a kind, watches it, and lists again whenever a watch fails: what
// a broken watch missed is then seen whatever the reason was. It lists too when
// nobody confirms any more: then watches fail, or soon will.
func (d *Directory) follow(ctx context.Context, f *follower) error {
	f.pauses = pause.Backoff{First: firstPause, Longest: longestPause}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for ctx.Err() == nil {
		err := d.listAndWatch(ctx, f)
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			d.waitCovered(ctx, f)
			continue
		}
		if errors.Is(err, store.ErrCompacted) {
			d.dropped.Inc(1)
			log.WithField("kind", f.kind).WithField("from", f.at).Info("history dropped, listing")
		} else {
			d.failed(f, err)
		}
		pause.For(ctx, f.pauses.Next(random))
	}
	return ctx.Err()
}

// listAndWatch returns nil once other gateways' watches stand in for its own.
func (d *Directory) listAndWatch(ctx context.Context, f *follower) error {
	if err := d.list(ctx, f); err != nil {
		return err
	}
	if !d.covered() {
		log.WithField("kind", f.kind).WithField("from", f.at).Info("store watched by this gateway")
	}
	for !d.covered() {
		if err := d.watchUnlessTold(ctx, f); err != nil {
			return err
		}
	}
	return nil
}

// watchUnlessTold takes in what the next watch brings, or gives the watch up and
// lists when other gateways name a change that it does not bring.
//
// A watch may hear nothing of a change that the store has confirmed: for one
// thing, the store keeps changes back before it drops its history. A gateway that
// waited for its end denied a new route for seconds, though all others served it
// and had told it so.
func (d *Directory) watchUnlessTold(ctx context.Context, f *follower) error {
	watching, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- d.watch(watching, f, watchWait) }()
	var deaf <-chan time.Time
	for {
		select {
		case err := <-ended:
			return err
		case <-f.wake:
			if deaf == nil && d.lacks(f) {
				deaf = time.After(deafAfter)
			}
		case <-deaf:
			deaf = nil
			if !d.lacks(f) {
				continue
			}
			stop()
			<-ended
			return d.list(ctx, f)
		}
	}
}

// watch takes in the changes since the last list or watch.
func (d *Directory) watch(ctx context.Context, f *follower, wait time.Duration) error {
	sent := time.Now()
	batch, err := d.store.Watch(ctx, f.kind, f.at, wait)
	if err != nil {
		return err
	}
	f.pauses.Reset()
	d.noteEarly(f, batch, time.Since(sent), wait)
	f.at = max(f.at, batch.At)
	d.locked(func() { d.takeBatch(f, batch, watchedUntil(sent, time.Now(), wait, batch)) })
	return nil
}

// noteEarly logs a watch that ended without changes before its time: the store
// does so shortly before it drops its history.
func (d *Directory) noteEarly(f *follower, b store.Batch, took, wait time.Duration) {
	if len(b.Events) > 0 || took >= wait {
		return
	}
	d.early.Inc(1)
	log.WithFields(log.Fields{
		"kind": f.kind, "from": f.at, "at": b.At, "took_ms": took.Milliseconds(), "wait_ms": wait.Milliseconds(),
	}).Info("watch ended early, without changes")
}

// watchedUntil is until when the answer of a watch certainly tells all changes.
// An answer may have waited in its connection while this process stood still, so
// that the time of its receipt says nothing: one with changes tells of the time
// when it was asked, and one without of the end of its wait.
func watchedUntil(sent, now time.Time, wait time.Duration, b store.Batch) time.Time {
	if len(b.Events) > 0 {
		return sent
	}
	if end := sent.Add(wait); end.Before(now) {
		return end
	}
	return now
}

// list takes in all objects of a kind.
func (d *Directory) list(ctx context.Context, f *follower) error {
	sent := time.Now()
	l, err := d.store.List(ctx, f.kind, store.Linearizable)
	if err != nil {
		return err
	}
	d.answered(f)
	f.at = l.At
	d.locked(func() {
		f.confirm(sent)
		f.list(time.Now(), l)
	})
	return nil
}

func (d *Directory) takeBatch(f *follower, b store.Batch, until time.Time) {
	now := time.Now()
	for _, e := range b.Events {
		f.event(now, e)
	}
	if f.sawAll != nil {
		f.sawAll(b.At)
	}
	f.confirm(until)
	d.publish(false)
}

func (d *Directory) locked(step func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	step()
}

func (d *Directory) answered(f *follower) {
	if f.down {
		f.down = false
		log.WithField("kind", f.kind).Info("store regained")
	}
}

func (d *Directory) failed(f *follower, err error) {
	d.failures.Inc(1)
	if f.lost != nil {
		d.locked(f.lost)
	}
	if !f.down {
		f.down = true
		log.WithField("kind", f.kind).WithField("error", err.Error()).Warn("store lost")
	}
}

func (d *Directory) configListed(_ time.Time, l store.Listing) {
	for _, o := range l.Objects {
		if o.Name == d.kinds.ConfigName {
			d.takeConfig(o)
		}
	}
	d.publish(false)
}

func (d *Directory) takeConfig(o store.Object) {
	changed, err := d.state.config(o)
	if err != nil {
		log.WithField("revision", o.Revision).WithField("error", err.Error()).Error("configuration not understood, the one before stays")
		return
	}
	if changed {
		t := d.state.view.Table
		log.WithFields(log.Fields{
			"version": t.Version, "revision": o.Revision, "routes": t.Len(), "services": len(t.Services),
		}).Info("configuration in force")
		d.publish(true)
	}
}

func (d *Directory) serversListed(now time.Time, l store.Listing) {
	changed, errs := d.state.listed(now, l)
	for _, err := range errs {
		log.WithField("error", err.Error()).Warn("entry names no server")
	}
	d.publish(changed)
}

func (d *Directory) serverEvent(now time.Time, e store.Event) {
	changed, err := d.state.serverChanged(now, e)
	if err != nil {
		log.WithField("error", err.Error()).Warn("entry names no server")
	}
	if !changed {
		return
	}
	s, there := d.state.view.Servers[e.Object.Name]
	log.WithFields(log.Fields{
		"server": e.Object.Name, "there": there, "draining": s.Draining, "role": string(s.Role),
		"address": s.Address, "revision": e.Object.Revision,
	}).Info("backend server changed")
	d.publishSoon(now)
}

// publishSoon publishes changed servers at once, or with those that change
// shortly after.
func (d *Directory) publishSoon(now time.Time) {
	if d.pending {
		return
	}
	wait := d.publishedAt.Add(publishEvery).Sub(now)
	if wait <= 0 {
		d.publish(true)
		return
	}
	d.pending = true
	time.AfterFunc(wait, func() {
		d.locked(func() {
			if d.pending {
				d.publish(true)
			}
		})
	})
}

// publish makes the state visible, and announces it if it has changed. A view of
// an unchanged state differs in its times only and shares the servers of the one
// before: to copy some thousand of them at each confirmation took a tenth of a
// small VM's processor.
func (d *Directory) publish(changed bool) {
	before := d.view.Load()
	var v *View
	if changed {
		v = d.state.snapshot()
		d.publishedAt, d.pending = time.Now(), false
	} else {
		v = d.state.retimed(before)
	}
	invariant.Check(v.TableRevision >= before.TableRevision, "configuration-forward",
		"revision %d after %d", v.TableRevision, before.TableRevision)
	d.view.Store(v)
	if changed && d.OnChange != nil {
		d.OnChange(v)
	}
}
