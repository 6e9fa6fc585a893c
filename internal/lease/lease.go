// Package lease grants one process at a time the right to act, by conditional
// updates of an object in the store.
//
// A grant is valid for Config.Valid, counted from the time at which the write
// that acquired it was sent, by a clock that does not stop during a suspend.
// Another process takes the lease only after it has seen the object unchanged
// for Valid plus Gap, so that whatever the holder sent at the end of its grant
// has arrived long before the next holder begins. The clocks of two processes
// are never compared.
//
// A store that has come back from a copy may lack a grant that it has acknowledged. A
// process that learns of a new era of the store therefore waits as if it had just seen
// a grant, unless it holds the lease itself and writes its grant again.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"

	"pistachioroad.dev/pistachioroad/internal/store"
)

// Kind is the object kind of leases in the store.
const Kind = "pistachioroad-leases"

// ErrHeld is returned if another process holds the lease, or may hold it.
var ErrHeld = errors.New("lease: held by another process")

// Config configures a Lease.
type Config struct {
	Name string
	// Holder is the name of this VM. Incarnation is random for each start, as a
	// restarted process does not know what its predecessor sent.
	Holder      string
	Incarnation string
	// Valid is the duration of a grant; Gap is the minimum time between the end of
	// one holder's grant and the start of the next holder's.
	Valid, Gap time.Duration
	// Clock returns the time since a fixed point. It must not stop while the VM is
	// suspended.
	Clock func() time.Duration
}

// Grant is the right to act until it expires.
type Grant struct {
	// Fence is the fencing token. It increases with each grant of the lease,
	// across all holders and eras of the store.
	Fence int64
	// expires is a time of clock.
	expires time.Duration
	clock   func() time.Duration
}

// Remaining returns how long the grant is still valid; it is negative after the
// grant has expired.
func (g Grant) Remaining() time.Duration { return g.expires - g.clock() }

// Lease is one process's view of a lease. It is not safe for concurrent use.
type Lease struct {
	config Config
	store  store.Store

	// last is the object's position when it was last seen; lastChange is when it was
	// first seen, or sent if this process wrote it.
	last       store.Position
	lastChange time.Duration
	// era is the newest era of the store that is known, since eraSince.
	era      store.Era
	eraSince time.Duration
	// heldUntil is when the last grant of this process expires, grantEra its era.
	heldUntil time.Duration
	grantEra  store.Era
}

// New returns a Lease that is not held.
func New(s store.Store, c Config) *Lease { return &Lease{config: c, store: s} }

// leaseSpec is the content of the lease's object.
type leaseSpec struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	// WriteID distinguishes the writes of one holder, so that it can recognize its
	// own write after the reply was lost.
	WriteID string `json:"write"`
	// Era is the store's era in which the grant was decided.
	Era store.Era `json:"era,omitempty"`
}

// Acquire acquires or renews the lease. It returns ErrHeld if the lease is not
// available yet. It must then be called repeatedly, as the age of the holder's
// last write is measured from the call that first saw it.
func (l *Lease) Acquire(ctx context.Context) (Grant, error) {
	o, err := l.store.Get(ctx, Kind, l.config.Name)
	missing := errors.Is(err, store.ErrNotFound)
	if err != nil && !missing {
		return Grant{}, err
	}
	now := l.config.Clock()
	l.enterEra(now, max(o.Era, store.ErasOf(l.store).Newest()))
	if position := o.Position(); !missing && position != l.last {
		l.last, l.lastChange = position, now
	}
	// A grant of an earlier era still excludes all others, but the store may lack it.
	rewrites := now < l.heldUntil && l.grantEra < l.era
	if now >= l.heldUntil && l.era > 0 && now-l.eraSince < l.config.Valid+l.config.Gap {
		return Grant{}, ErrHeld
	}
	if missing {
		return l.create(ctx)
	}
	if !rewrites && !l.wroteObject(o) && now-l.lastChange < l.config.Valid+l.config.Gap {
		return Grant{}, ErrHeld
	}
	return l.update(ctx, o.Revision)
}

// enterEra records a new era of the store. The object, or that there is none, says nothing
// then about grants of the era before.
func (l *Lease) enterEra(now time.Duration, era store.Era) {
	if era > l.era {
		l.era, l.eraSince = era, now
	}
}

// wroteObject reports whether this process, in its current incarnation, wrote
// the object in this era. A write of an earlier era may have taken effect late, in
// place of another holder's grant.
func (l *Lease) wroteObject(o store.Object) bool {
	var v leaseSpec
	if err := json.Unmarshal(o.Spec, &v); err != nil {
		return false
	}
	return v.Holder == l.config.Holder && v.Incarnation == l.config.Incarnation && v.Era == l.era
}

func (l *Lease) create(ctx context.Context) (Grant, error) {
	return l.write(ctx, func(v leaseSpec) (store.Object, error) {
		return l.store.Create(ctx, Kind, l.config.Name, v)
	})
}

func (l *Lease) update(ctx context.Context, revision int64) (Grant, error) {
	return l.write(ctx, func(v leaseSpec) (store.Object, error) {
		return l.store.Update(ctx, Kind, l.config.Name, revision, v)
	})
}

// write makes one conditional write. If its reply is lost, the object is read to
// find out whether the write took effect; the grant starts when the write was
// sent either way. A write that takes effect after that read leaves a lease that
// no process acts on.
func (l *Lease) write(ctx context.Context, do func(leaseSpec) (store.Object, error)) (Grant, error) {
	v := leaseSpec{Holder: l.config.Holder, Incarnation: l.config.Incarnation, WriteID: uuid.NewString(), Era: l.era}
	sent := l.config.Clock()
	o, err := do(v)
	switch {
	case err == nil && o.Era != l.era:
		// The decision to write was made on the state of an earlier era.
		l.enterEra(l.config.Clock(), o.Era)
		return Grant{}, ErrHeld
	case err == nil:
		return l.grant(o, sent), nil
	case errors.Is(err, store.ErrConflict):
		return Grant{}, ErrHeld
	case errors.Is(err, store.ErrRejected), errors.Is(err, store.ErrNotFound):
		return Grant{}, err
	}
	o, readErr := l.store.Get(ctx, Kind, l.config.Name)
	var stored leaseSpec
	if readErr != nil || json.Unmarshal(o.Spec, &stored) != nil || stored.WriteID != v.WriteID || o.Era != l.era {
		return Grant{}, err
	}
	return l.grant(o, sent), nil
}

func (l *Lease) grant(o store.Object, sent time.Duration) Grant {
	l.last, l.lastChange = o.Position(), sent
	l.heldUntil, l.grantEra = sent+l.config.Valid, o.Era
	return Grant{Fence: o.Position().Token(), expires: l.heldUntil, clock: l.config.Clock}
}
