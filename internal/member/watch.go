package member

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"pistachioroad.dev/pistachioroad/internal/pause"
)

// The timing of reads and watches.
const (
	// watchTimeout bounds one watch. A dead connection hides every later change and
	// looks the same as an object that does not change; a new watch every few seconds
	// bounds how long.
	watchTimeout = 3 * time.Second
	// fallbackReadInterval is how often an entry that does not watch reads the objects
	// itself: both watchers of its data centre may be gone while the VM list still
	// shows them.
	fallbackReadInterval = 30 * time.Second
	// roleCheckInterval is how often an entry checks whether it is a watcher.
	roleCheckInterval = time.Second
	// applyTimeout bounds the wait until a new object is in the Snapshot.
	applyTimeout = time.Second
	// minRetryPause and maxRetryPause bound the pauses after a failed read.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = 3 * time.Second
)

// lister reads the VM list.
type lister struct {
	member *Member
	random *rand.Rand
}

// Serve reads the list until ctx ends.
func (l *lister) Serve(ctx context.Context) error {
	m := l.member
	for {
		vms, err := m.list.VMs(ctx)
		switch {
		case err != nil:
			m.metrics.listFailed.Inc(1)
		case len(vms) == 0:
			m.metrics.listEmpty.Inc(1)
			log.Warn("VM list is empty, keeping the last one")
		}
		m.inbox.Put(VMListRead{VMs: vms, Err: err})
		if !pause.Sleep(ctx, jitter(m.config.ListInterval, l.random)) {
			return ctx.Err()
		}
	}
}

// watcher reads one object when the process starts, and watches it while the process is
// one of the watchers of its data centre.
type watcher struct {
	member *Member
	name   string
	random *rand.Rand
}

// Serve reads and watches until ctx ends.
func (w *watcher) Serve(ctx context.Context) error {
	w.readFirst(ctx)
	if !w.member.config.Entry {
		<-ctx.Done()
		return ctx.Err()
	}
	pauses := pause.Backoff{Initial: minRetryPause, Max: maxRetryPause}
	readAt := time.Now().Add(jitter(fallbackReadInterval, w.random))
	for ctx.Err() == nil {
		if w.member.watching() {
			if w.watch(ctx) {
				pauses.Reset()
				continue
			}
			pause.Sleep(ctx, pauses.Next(w.random))
			continue
		}
		if time.Now().After(readAt) {
			w.read(ctx)
			readAt = time.Now().Add(jitter(fallbackReadInterval, w.random))
		}
		pause.Sleep(ctx, jitter(roleCheckInterval, w.random))
	}
	return ctx.Err()
}

// readFirst reads the object, with retries, until the store responds or the process is
// ready without it.
func (w *watcher) readFirst(ctx context.Context) {
	pauses := pause.Backoff{Initial: minRetryPause, Max: maxRetryPause}
	for !w.read(ctx) {
		if w.member.Snapshot().Ready || !pause.Sleep(ctx, pauses.Next(w.random)) {
			return
		}
	}
}

func (w *watcher) read(ctx context.Context) bool {
	o, err := w.member.store.Get(ctx, w.name)
	w.member.inbox.Put(StoreRead{Object: o, Err: err})
	return err == nil
}

// watch makes one watch call. It reports whether the store is considered healthy, which
// includes a watch that times out.
func (w *watcher) watch(ctx context.Context) bool {
	attempt, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	held := w.member.Snapshot().objects.Get(w.name).Version
	o, err := w.member.store.Watch(attempt, w.name, held)
	if err != nil {
		return attempt.Err() != nil
	}
	w.member.inbox.Put(StoreRead{Object: o})
	w.waitApplied(ctx, o.Version)
	return true
}

// waitApplied waits up to applyTimeout until the object is in the Snapshot, so that the
// next watch does not immediately return the same version.
func (w *watcher) waitApplied(ctx context.Context, version uint64) {
	until := time.Now().Add(applyTimeout)
	for time.Now().Before(until) && w.member.Snapshot().objects.Get(w.name).Version < version {
		if !pause.Sleep(ctx, time.Millisecond) {
			return
		}
	}
}
