package directory

import (
	"context"
	"time"

	"github.com/apex/log"

	"pistachioroad.dev/pistachioroad/internal/boottime"
	"pistachioroad.dev/pistachioroad/internal/store"
)

const (
	// confirmationMaxAge is how old another gateway's confirmation may be to replace a
	// watch of this gateway. A gateway without a recent confirmation lists immediately,
	// well within the two seconds that a change may take.
	confirmationMaxAge = 1500 * time.Millisecond
	// catchUpWait is the wait of a watch that fetches changes announced by other
	// gateways. They are in the store already. A list instead would be 300 KB for a
	// thousand servers, and take a small VM a good part of a second.
	catchUpWait = time.Millisecond
	// catchUpTimeout bounds that watch. The store responds in milliseconds, unless it
	// withholds the changes; a list takes longer but includes them even then.
	catchUpTimeout = 200 * time.Millisecond
	// delegationCheckInterval is how often a gateway checks whether its watching is
	// still delegated.
	delegationCheckInterval = 200 * time.Millisecond
)

// Confirmation is an announcement that the store had no newer state than these
// revisions.
type Confirmation struct {
	// Era is the newest era of the store that the sender knows.
	Era store.Era
	// ConfigEra is the era that ConfigRevision belongs to: an earlier one if the store has
	// lost the configuration.
	ConfigEra      store.Era
	ConfigRevision int64
	// ConfigVersion is the operator's version of the configuration.
	ConfigVersion int64
	// ConfigUnconfirmed is set if the store has another configuration than the sender's.
	ConfigUnconfirmed bool
	// ServersRevision is a revision after which no server object has changed.
	ServersRevision int64
	// Age is how long ago the store confirmed it.
	Age time.Duration
}

// config identifies the sender's configuration.
func (c Confirmation) config() ConfigID {
	return ConfigID{Position: store.Position{Era: c.ConfigEra, Revision: c.ConfigRevision}, Version: c.ConfigVersion}
}

// Confirmation returns the state that this gateway's own watches have confirmed; false
// if the last confirmation is too old.
func (d *Directory) Confirmation(now time.Time) (Confirmation, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.state.ownConfirmedAt()
	c := Confirmation{
		ServersRevision: d.state.serversLastChange,
		Age:             now.Sub(at),

		Era: d.state.era, ConfigUnconfirmed: d.state.configUnapplied,
	}
	config := d.state.view.Config()
	c.ConfigEra, c.ConfigRevision, c.ConfigVersion = config.Era, config.Revision, config.Version
	return c, !at.IsZero() && c.Age < confirmationMaxAge
}

// ownConfirmedAt returns when own reads last confirmed both kinds.
func (s *state) ownConfirmedAt() time.Time {
	if s.ownConfigReadAt.Before(s.ownServersConfirmedAt) {
		return s.ownConfigReadAt
	}
	return s.ownServersConfirmedAt
}

// RemoteConfirmation applies what the watches of another gateway have confirmed.
//
// Each watch is a call of the store, and calls are billed and rate-limited; if every
// gateway watched, they would grow with the fleet. So a few gateways watch. The others
// rely on them as long as their confirmations are recent, and fetch what is newer than
// their own state.
func (d *Directory) RemoteConfirmation(now time.Time, c Confirmation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.state
	if !d.enterEra(now, c.Era, "gateway") {
		return
	}
	known, told := s.view.Config(), c.config()
	if known.newerThan(told) && known.Era != told.Era {
		s.olderAnnouncedAt = now
	}
	if known.newerThan(told) || c.ServersRevision < s.serversRevision {
		// The sender is behind. It may have been suspended, and its clock with it, so
		// that the age in its confirmation cannot be trusted.
		return
	}
	if told.newerThan(known) {
		d.noteAnnounced(c)
		d.wake(d.configWake)
	}
	if c.ServersRevision > s.serversSynced {
		s.serversAnnounced = c.ServersRevision
		d.wake(d.serversWake)
	}
	at := now.Add(-c.Age)
	if at.Sub(s.remoteConfirmedAt) >= confirmationMaxAge {
		d.endRetryPauses()
	}
	s.remoteConfirmedAt = later(s.remoteConfirmedAt, at)
	if !c.ConfigUnconfirmed && !told.newerThan(known) {
		s.view.TableConfirmedAt = later(s.view.TableConfirmedAt, at)
	}
	if c.ServersRevision <= s.serversSynced {
		s.recordLastChange(c.ServersRevision)
		s.view.ServersConfirmedAt = later(s.view.ServersConfirmedAt, at)
		s.view.ServersCoverage.Extend(boottime.Now() - c.Age)
	}
	d.publish(false)
}

// MustAnnounce reports whether a gateway that relies on others has to announce its state: one
// that watches the store has lately announced a configuration that a copy of the store has
// brought back, and that this gateway knows to be replaced.
func (d *Directory) MustAnnounce(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.state.olderAnnouncedAt
	return !at.IsZero() && now.Sub(at) < confirmationMaxAge
}

// noteAnnounced records that another gateway has announced a newer configuration.
func (d *Directory) noteAnnounced(c Confirmation) {
	v := &d.state.view
	if !c.config().newerThan(v.Announced) {
		return
	}
	v.Announced = c.config()
	log.WithFields(log.Fields{
		"revision": v.TableRevision, "told": v.Announced.Revision, "told_version": v.Announced.Version,
		"told_era": int64(v.Announced.Era), "told_age_ms": c.Age.Milliseconds(),
	}).Info("another gateway announced a newer configuration")
}

// ServerChange is a change of a server object that a watch has returned.
type ServerChange struct {
	store.Event
	// PreviousRevision is the revision of the change before this one, or a later
	// revision: between it and the event's revision no other server object changed.
	PreviousRevision int64
}

// RemoteServerChange applies a change of a server object that another gateway has
// relayed. If an earlier change was lost, the next confirmation reveals that this
// gateway is behind.
func (d *Directory) RemoteServerChange(now time.Time, c ServerChange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.enterEra(now, c.Object.Era, "gateway") {
		return
	}
	d.applyServerEvent(now, c.Event)
	if c.PreviousRevision <= d.state.serversSynced {
		d.state.markServersSynced(c.Object.Revision)
		d.state.recordLastChange(c.Object.Revision)
	}
}

func (d *Directory) wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// watchDelegated reports whether other gateways' watches replace those of this one.
func (d *Directory) watchDelegated() bool {
	if d.IsWatcher == nil || d.IsWatcher() {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.state.remoteConfirmedAt) < confirmationMaxAge
}

// waitWhileDelegated waits while watching is delegated, and catches up whenever another
// gateway announces a newer change.
func (d *Directory) waitWhileDelegated(ctx context.Context, f *follower) {
	tick := time.NewTicker(delegationCheckInterval)
	defer tick.Stop()
	log.WithField("kind", f.kind).Info("relying on other gateways to watch the store")
	// While watching is delegated, no successful watch would reset the backoff of an
	// earlier outage.
	f.pauses.Reset()
	for d.watchDelegated() {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			continue
		case <-f.wake:
		}
		if !d.behind(f) {
			continue
		}
		if err := d.catchUp(ctx, f); err != nil {
			// Without these changes, the confirmations do not cover this state.
			d.readFailed(f, err)
			return
		}
	}
}

// behind reports whether a change, or an era of the store, that another gateway has announced
// is missing here.
func (d *Directory) behind(f *follower) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return f.era < d.state.era || f.behind()
}

// lastRevision returns the highest revision among changes.
func lastRevision(events []store.Event) int64 {
	last := int64(0)
	for _, e := range events {
		last = max(last, e.Object.Revision)
	}
	return last
}

// catchUp fetches changes that other gateways have announced, by a watch from the last
// change received. If the watch hangs or returns none, it lists: a store that is about
// to compact its history may withhold changes for a while, and a gateway that accepted
// the revision of such a response would never see them. A kind with few objects is
// listed right away.
func (d *Directory) catchUp(ctx context.Context, f *follower) error {
	if f.markSynced == nil || f.era != d.eras.Newest() {
		return d.list(ctx, f)
	}
	sent := currentMoment()
	watching, stop := context.WithTimeout(ctx, catchUpTimeout)
	defer stop()
	batch, err := d.store.Watch(watching, f.kind, f.revision, catchUpWait)
	if err != nil || len(batch.Events) == 0 || batch.Era != f.era {
		log.WithError(err).WithField("kind", f.kind).WithField("from", f.revision).Info("watch did not return the announced change, listing")
		return d.list(ctx, f)
	}
	batch.Revision = lastRevision(batch.Events)
	f.revision = max(f.revision, batch.Revision)
	d.locked(func() { d.applyBatch(f, batch, sent) })
	return nil
}
