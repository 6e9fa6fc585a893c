package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"pistachioroad.dev/pistachioroad/internal/boottime"
	"pistachioroad.dev/pistachioroad/internal/pause"
	"pistachioroad.dev/pistachioroad/internal/safego"
	"pistachioroad.dev/pistachioroad/internal/store"
)

const (
	// watchWait is how long a watch waits for a change. A watch whose connection is
	// dead, or from which the store withholds changes, is detected only by its
	// failure to return. Such a gateway learns of a change up to watchWait plus the
	// client's timeout late, which must be less than the two seconds that a
	// configuration change may take. Twice watchWait is also less than
	// confirmationMaxAge, since a change at the end of a watch only confirms its
	// start. It is not shorter because each watch is a billed call of the store; few
	// gateways watch at a time.
	watchWait = 700 * time.Millisecond
	// announcedGrace is how long a watch may still take to return a change that other
	// gateways have announced. They have it from a watch or list of their own, so that
	// it is usually about to arrive.
	announcedGrace = 50 * time.Millisecond
	// minPause and maxPause bound the pause after a failed read. maxPause is well
	// under the two seconds that a change may take.
	minPause = 100 * time.Millisecond
	maxPause = 600 * time.Millisecond
)

// follower holds the callbacks and the state for following one kind of object. The
// callbacks run with the Directory's lock held.
type follower struct {
	kind string
	// onList takes a list that was requested at sent.
	onList  func(now time.Time, sent moment, l store.Listing)
	onEvent func(now time.Time, e store.Event)
	// onConfirm takes a time at which the store had nothing newer than the state.
	onConfirm func(at moment)
	// markSynced, if set, takes a revision up to which all changes are known.
	markSynced func(revision int64)
	onFailure  func()
	// behind reports whether another gateway has announced a change that is not known
	// here; wake signals that it may have become true.
	behind func() bool
	wake   chan struct{}
	// retry ends the pause after a failed read.
	retry chan struct{}

	// revision is the store's revision to watch from, in era.
	revision int64
	era      store.Era

	pauses pause.Backoff
	// down is set while reads fail, so that an outage is logged once.
	down bool
}

// moment is a reading of the monotonic clock and of the boot-time clock.
type moment struct {
	clock time.Time
	boot  time.Duration
}

func currentMoment() moment { return moment{clock: time.Now(), boot: boottime.Now()} }

// until returns the moment at a later reading of the monotonic clock. A suspension since m is
// not counted.
func (m moment) until(clock time.Time) moment {
	return moment{clock: clock, boot: m.boot + clock.Sub(m.clock)}
}

// follow lists a kind, watches it, and lists again whenever a watch fails, so that
// changes that a broken watch missed are seen whatever the cause. It also lists when
// confirmations of other gateways stop, since then watches fail or soon will.
func (d *Directory) follow(ctx context.Context, f *follower) error {
	f.pauses = pause.Backoff{Initial: minPause, Max: maxPause}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for ctx.Err() == nil {
		err := d.listAndWatch(ctx, f)
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			d.waitWhileDelegated(ctx, f)
			continue
		}
		switch {
		case errors.Is(err, store.ErrCompacted):
			d.compactions.Inc(1)
			log.WithField("kind", f.kind).WithField("from", f.revision).Info("store history compacted, listing")
		case errors.Is(err, store.ErrEraEnded):
			log.WithField("kind", f.kind).WithField("error", err.Error()).Info("answer is from before the store came back from a copy, listing")
		default:
			d.readFailed(f, err)
		}
		d.waitRetry(ctx, f, f.pauses.Next(random))
	}
	return ctx.Err()
}

// waitRetry waits after a failed read, up to longest or until the store is known to
// respond again.
func (d *Directory) waitRetry(ctx context.Context, f *follower, longest time.Duration) {
	select {
	case <-f.retry:
		// Discard a signal from before the failure.
	default:
	}
	pause.SleepOrSignal(ctx, longest, f.retry)
}

// endRetryPauses ends the pauses of all kinds. Otherwise each would last up to maxPause
// while requests are rejected, although a read of the other kind, or another gateway,
// has shown that the store responds again.
func (d *Directory) endRetryPauses() {
	d.wake(d.configRetry)
	d.wake(d.serversRetry)
}

// listAndWatch lists f once and then watches it. It returns nil once watching is
// delegated to other gateways.
func (d *Directory) listAndWatch(ctx context.Context, f *follower) error {
	if err := d.list(ctx, f); err != nil {
		return err
	}
	if !d.watchDelegated() {
		log.WithField("kind", f.kind).WithField("from", f.revision).Info("watching the store")
	}
	for !d.watchDelegated() {
		if err := d.watchOrList(ctx, f); err != nil {
			return err
		}
	}
	return nil
}

// watchOrList applies the result of the next watch, or cancels the watch and lists
// when other gateways announce a change that the watch does not return.
//
// A watch can miss a change that the store has confirmed, for example because the
// store withholds changes before it compacts its history. A gateway that waited for
// the end of the watch denied a new route for seconds, although all others served it
// and had announced the change.
func (d *Directory) watchOrList(ctx context.Context, f *follower) error {
	watching, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan error, 1)
	go func() {
		ended <- safego.RunWithError("watch of the store", func() error { return d.watch(watching, f) })
	}()
	var graceOver <-chan time.Time
	for {
		select {
		case err := <-ended:
			return err
		case <-f.wake:
			if graceOver == nil && d.behind(f) {
				graceOver = time.After(announcedGrace)
			}
		case <-graceOver:
			graceOver = nil
			if !d.behind(f) {
				continue
			}
			stop()
			<-ended
			return d.list(ctx, f)
		}
	}
}

// watch applies the changes since the last list or watch. It lists if they are of an earlier
// era than the store's.
func (d *Directory) watch(ctx context.Context, f *follower) error {
	if f.era != d.eras.Newest() {
		return d.list(ctx, f)
	}
	sent := currentMoment()
	batch, err := d.store.Watch(ctx, f.kind, f.revision, watchWait)
	if err != nil {
		return err
	}
	if batch.Era != f.era {
		// The revision may have been given out again, and the changes may not follow it.
		return d.list(ctx, f)
	}
	f.pauses.Reset()
	d.logEarlyEnd(f, batch, time.Since(sent.clock))
	f.revision = max(f.revision, batch.Revision)
	d.locked(func() { d.applyBatch(f, batch, sent.until(confirmedUntil(sent.clock, time.Now(), batch))) })
	return nil
}

// logEarlyEnd logs a watch that returned without changes before watchWait, which a
// healthy store does not do.
func (d *Directory) logEarlyEnd(f *follower, b store.Batch, took time.Duration) {
	if len(b.Events) > 0 || took >= watchWait {
		return
	}
	d.earlyEnds.Inc(1)
	log.WithFields(log.Fields{
		"kind": f.kind, "from": f.revision, "at": b.Revision, "took_ms": took.Milliseconds(),
	}).Info("watch returned early without changes")
}

// confirmedUntil returns the time up to which the result of a watch is certain to
// include all changes. The time of receipt proves nothing, since the response may have
// been buffered while this process was suspended. A response with changes is complete
// up to the time when the watch was sent, one without up to the end of its wait.
func confirmedUntil(sent, now time.Time, b store.Batch) time.Time {
	if len(b.Events) > 0 {
		return sent
	}
	if end := sent.Add(watchWait); end.Before(now) {
		return end
	}
	return now
}

// list reads and applies all objects of a kind.
func (d *Directory) list(ctx context.Context, f *follower) error {
	sent := currentMoment()
	l, err := d.store.List(ctx, f.kind, store.Linearizable)
	if err != nil {
		return err
	}
	d.readSucceeded(f)
	d.logList(f, l)
	ended := false
	d.locked(func() {
		now := time.Now()
		if !d.enterEra(now, l.Era, "store") {
			ended = true
			return
		}
		f.onList(now, sent, l)
	})
	if ended {
		return store.ErrEraEnded
	}
	f.revision, f.era = l.Revision, l.Era
	return nil
}

// logList logs a list, and whether the store's revision is lower than at the last read.
func (d *Directory) logList(f *follower, l store.Listing) {
	line := log.WithFields(log.Fields{"kind": f.kind, "revision": l.Revision, "era": int64(l.Era), "objects": len(l.Objects)})
	if l.Era == f.era && l.Revision < f.revision {
		d.wentBack.Inc(1)
		line.WithField("previous", f.revision).Warn("revision of the store went back within an era")
		return
	}
	line.Info("listed the store")
}

func (d *Directory) applyBatch(f *follower, b store.Batch, until moment) {
	if b.Era != d.state.era {
		return
	}
	now := time.Now()
	for _, e := range b.Events {
		f.onEvent(now, e)
	}
	if f.markSynced != nil {
		f.markSynced(b.Revision)
	}
	f.onConfirm(until)
	d.publish(false)
}

func (d *Directory) readSucceeded(f *follower) {
	d.storeUnreachable.Store(false)
	if f.down {
		f.down = false
		log.WithField("kind", f.kind).Info("store reachable again")
		d.endRetryPauses()
	}
}

func (d *Directory) readFailed(f *follower, err error) {
	d.storeUnreachable.Store(true)
	d.failures.Inc(1)
	if f.onFailure != nil {
		d.locked(f.onFailure)
	}
	if !f.down {
		f.down = true
		log.WithField("kind", f.kind).WithField("error", err.Error()).Warn("store unreachable")
	}
}
