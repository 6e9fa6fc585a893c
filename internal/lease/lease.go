// Package lease gives one process at a time the right to act, by an object of
// the store that is changed by conditional update.
//
// A grant is valid from the moment the winning write was sent, by a clock that
// does not stop, for Valid. Another process takes the lease only after it has
// seen the object unchanged for Wait, which is longer by Gap: whatever the
// holder sent at the end of its grant has arrived long before the next holder
// begins. Neither side compares clocks with the other.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"

	"pistachioroad.dev/pistachioroad/internal/store"
)

// Kind is the kind of the objects of leases.
const Kind = "pistachioroad-leases"

// ErrHeld says that another process holds the lease, or may hold it.
var ErrHeld = errors.New("lease: held by another process")

// Config sets a Lease.
type Config struct {
	Name string
	// Holder is this VM, Incarnation random per start: a process that was
	// restarted does not know what the one before it sent.
	Holder      string
	Incarnation string
	// Valid is how long a grant lasts, Gap the time between the last act of one
	// holder and the first of the next.
	Valid, Gap time.Duration
	// Clock must go on while the VM is suspended.
	Clock func() time.Duration
}

// Grant is the right to act until it ends.
type Grant struct {
	// Fence grows with each grant of the lease, whoever gets it.
	Fence int64
	// until is by the lease's clock.
	until time.Duration
	clock func() time.Duration
}

// Left returns how long the grant is still valid.
func (g Grant) Remaining() time.Duration { return g.until - g.clock() }

// Lease is one process's view of a lease. Its methods are for one goroutine.
type Lease struct {
	config Config
	store  store.Store

	// seen is the revision last seen, since when it was first seen.
	seen  int64
	since time.Duration
}

// New returns a Lease that holds nothing.
func New(s store.Store, c Config) *Lease { return &Lease{config: c, store: s} }

// value is the lease's object.
type value struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	// Write tells the writes of one holder apart: it finds its own after the
	// answer was lost.
	Write string `json:"write"`
}

// Acquire takes or renews the lease. ErrHeld asks to try again later; the
// lease must be asked for repeatedly for its age to be known.
func (l *Lease) Acquire(ctx context.Context) (Grant, error) {
	o, err := l.store.Get(ctx, Kind, l.config.Name)
	if errors.Is(err, store.ErrNotFound) {
		return l.create(ctx)
	}
	if err != nil {
		return Grant{}, err
	}
	now := l.config.Clock()
	if o.Revision != l.seen {
		l.seen, l.since = o.Revision, now
	}
	if !l.mine(o) && now-l.since < l.config.Valid+l.config.Gap {
		return Grant{}, ErrHeld
	}
	return l.update(ctx, o.Revision)
}

// mine reports whether this start of this process wrote the object.
func (l *Lease) mine(o store.Object) bool {
	var v value
	if err := json.Unmarshal(o.Spec, &v); err != nil {
		return false
	}
	return v.Holder == l.config.Holder && v.Incarnation == l.config.Incarnation
}

func (l *Lease) create(ctx context.Context) (Grant, error) {
	return l.write(ctx, func(v value) (store.Object, error) {
		return l.store.Create(ctx, Kind, l.config.Name, v)
	})
}

func (l *Lease) update(ctx context.Context, revision int64) (Grant, error) {
	return l.write(ctx, func(v value) (store.Object, error) {
		return l.store.Update(ctx, Kind, l.config.Name, revision, v)
	})
}

// write does one conditional write. If its answer is lost, the object tells
// whether it was done; the grant counts from before the write either way. A
// write that lands later still leaves an object that nobody acts on.
func (l *Lease) write(ctx context.Context, do func(value) (store.Object, error)) (Grant, error) {
	v := value{Holder: l.config.Holder, Incarnation: l.config.Incarnation, Write: uuid.NewString()}
	sent := l.config.Clock()
	o, err := do(v)
	switch {
	case err == nil:
		return l.grant(o, sent), nil
	case errors.Is(err, store.ErrConflict):
		return Grant{}, ErrHeld
	case errors.Is(err, store.ErrRefused), errors.Is(err, store.ErrNotFound):
		return Grant{}, err
	}
	o, readErr := l.store.Get(ctx, Kind, l.config.Name)
	var there value
	if readErr != nil || json.Unmarshal(o.Spec, &there) != nil || there.Write != v.Write {
		return Grant{}, err
	}
	return l.grant(o, sent), nil
}

func (l *Lease) grant(o store.Object, sent time.Duration) Grant {
	l.seen, l.since = o.Revision, sent
	return Grant{Fence: o.Revision, until: sent + l.config.Valid, clock: l.config.Clock}
}
