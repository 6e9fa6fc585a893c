package sharedstate

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/pause"
	"pistachioroad.dev/pistachioroad/internal/store"
)

const (
	// watchWait is how long the store keeps one watch call open without a change; its
	// limit is 30 s. Callers bound a watch by its context.
	watchWait = 25 * time.Second
	// minWatchInterval is the minimum time between two watch calls without a change.
	minWatchInterval = time.Second
)

// observation is the version of an object at a revision of the store.
type observation struct {
	version, revision uint64
}

// Watch implements Store. When the store ends a watch without a change, it starts
// another one. A watch that fails returns ErrUnavailable or ErrNotSent, and the caller
// must pause before the next.
func (c *Client) Watch(ctx context.Context, name string, after uint64) (Object, error) {
	for {
		began := c.now()
		o, err := c.watchOnce(ctx, name, after)
		if err != nil || o.Version > after {
			return o, err
		}
		// A store that returns immediately would be called in a busy loop.
		if !pause.Sleep(ctx, began.Add(minWatchInterval).Sub(c.now())) {
			return o, eris.Wrap(ErrUnavailable, ctx.Err().Error())
		}
	}
}

// watchOnce makes one watch call. Without a change, it returns an object that is not
// newer than after.
//
// The store compacts its history, and with it the revision of an object that rarely
// changes. A watch from that revision would fail permanently, so that watchOnce continues
// from the revision at which the object was last seen unchanged, or from a list.
func (c *Client) watchOnce(ctx context.Context, name string, after uint64) (Object, error) {
	c.metrics.watches.Inc(1)
	if err := c.admit(ctx, c.breaker.allowWatch); err != nil {
		return Object{Name: name}, err
	}
	batch, err := c.store.Watch(ctx, parseName(name).kind, int64(c.unchangedAt(name, after)), watchWait)
	c.record(ctx, err)
	if errors.Is(err, store.ErrCompacted) {
		return c.listOne(ctx, name)
	}
	if err != nil {
		return Object{Name: name}, readError(err)
	}
	changed := lo.FilterMap(batch.Events, func(e store.Event, _ int) (store.Object, bool) {
		return e.Object, !e.Removed
	})
	o, ok := find(changed, name)
	if !ok {
		o.Version = after
	}
	return c.observe(o, batch.Revision), nil
}

// listOne reads an object, with the store's revision, by a list of its kind.
func (c *Client) listOne(ctx context.Context, name string) (Object, error) {
	c.metrics.gets.Inc(1)
	if err := c.admit(ctx, c.breaker.allow); err != nil {
		return Object{Name: name}, err
	}
	listing, err := c.store.List(ctx, parseName(name).kind, store.Linearizable)
	c.record(ctx, err)
	if err != nil {
		return Object{Name: name}, readError(err)
	}
	o, _ := find(listing.Objects, name)
	return c.observe(o, listing.Revision), nil
}

// find returns the last of the objects with the given name.
func find(objects []store.Object, name string) (Object, bool) {
	own := parseName(name).name
	for _, o := range slices.Backward(objects) {
		if o.Name == own {
			return decode(name, o), true
		}
	}
	return Object{Name: name}, false
}

// observe records the version of an object at a revision of the store.
func (c *Client) observe(o Object, at int64) Object {
	c.metrics.bytesIn.Inc(int64(len(o.Value)))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastSeen[o.Name] = observation{version: o.Version, revision: uint64(at)}
	return o
}

// unchangedAt returns the newest known revision of the store at which the object was not
// newer than version.
func (c *Client) unchangedAt(name string, version uint64) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.lastSeen[name]; ok && s.version <= version {
		return max(version, s.revision)
	}
	return version
}
