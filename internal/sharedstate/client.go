package sharedstate

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"pistachioroad.dev/pistachioroad/internal/store"
)

// The timing of calls.
const (
	// rateWaitTimeout is how long a call waits for the rate limiter. Claims that wait
	// are combined into the next update, so that waiting costs less than rejecting.
	rateWaitTimeout = time.Second
	// defaultCallsPerSecond is the call rate of a process that does not set one.
	defaultCallsPerSecond = 20
)

// VMsKind is the kind of the objects that make up the VM list, one for each VM.
const VMsKind = "vms"

// ClientConfig is the configuration of a Client.
type ClientConfig struct {
	// Store is the metadata store.
	Store store.Store
	// CallsPerSecond is this process's share of the store's call rate.
	CallsPerSecond float64
	// Random adds jitter to retries; nil means a random seed.
	Random *rand.Rand
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// Health is the state of the platform as seen by a Client.
type Health struct {
	// Up is false from the failure that opens the circuit until the platform responds.
	Up bool `json:"up"`
	// Since is when Up last changed.
	Since time.Time `json:"since"`
	// LastAnswer is when the platform last responded.
	LastAnswer time.Time `json:"last_answer"`
	// RetryAt is the earliest time of the next probe while the platform is down.
	RetryAt time.Time `json:"retry_at"`
}

// Client calls the metadata store within this process's share of the call rate. While
// the store is down, it only probes it. It implements Store and VMList and is safe for
// concurrent use.
type Client struct {
	store store.Store
	rate  *rate.Limiter
	reads singleflight.Group
	now   func() time.Time

	mu       sync.Mutex
	breaker  *circuitBreaker
	lastSeen map[string]observation

	metrics clientMetrics
}

type clientMetrics struct {
	gets, puts, watches, lists                    metrics.Counter
	answered, failed, refused, conflicts, unknown metrics.Counter
	merged                                        metrics.Counter
	bytesOut, bytesIn                             metrics.Counter
}

func newClientMetrics() clientMetrics {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("platform."+name, nil)
	}
	return clientMetrics{
		gets:      counter("calls.get"),
		puts:      counter("calls.put"),
		watches:   counter("calls.watch"),
		lists:     counter("calls.vms"),
		answered:  counter("answered"),
		failed:    counter("failed"),
		refused:   counter("refused"),
		conflicts: counter("put.conflict"),
		unknown:   counter("put.unknown"),
		merged:    counter("get.merged"),
		bytesOut:  counter("bytes.out"),
		bytesIn:   counter("bytes.in"),
	}
}

// NewClient returns a Client whose circuit is closed.
func NewClient(config ClientConfig) *Client {
	if config.CallsPerSecond <= 0 {
		config.CallsPerSecond = defaultCallsPerSecond
	}
	if config.Random == nil {
		config.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	burst := max(1, int(config.CallsPerSecond))
	return &Client{
		store:    config.Store,
		rate:     rate.NewLimiter(rate.Limit(config.CallsPerSecond), burst),
		now:      config.Now,
		breaker:  newCircuitBreaker(config.Now(), config.Random),
		lastSeen: make(map[string]observation),
		metrics:  newClientMetrics(),
	}
}

// Health returns the current state of the platform as seen by c.
func (c *Client) Health() Health {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.breaker.health()
}

// Get implements Store. Concurrent reads of the same object share one call.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	shared := c.reads.DoChan(name, func() (any, error) {
		c.metrics.gets.Inc(1)
		return c.read(context.WithoutCancel(ctx), name)
	})
	select {
	case r := <-shared:
		if r.Shared {
			c.metrics.merged.Inc(1)
		}
		if r.Err != nil {
			return Object{Name: name}, r.Err
		}
		return r.Val.(Object), nil
	case <-ctx.Done():
		return Object{Name: name}, eris.Wrap(ErrUnavailable, ctx.Err().Error())
	}
}

// location is the kind and name of an object in the store.
type location struct{ kind, name string }

// parseName returns the location of an object. Its kind is the part before the first
// slash, so that a watch of one kind does not return the changes of others.
func parseName(name string) location {
	kind, rest, ok := strings.Cut(name, "/")
	if !ok {
		return location{kind: name, name: name}
	}
	return location{kind: kind, name: rest}
}

func decode(name string, o store.Object) Object {
	return Object{Name: name, Version: uint64(o.Revision), Value: o.Spec}
}

// readError returns the error to report for a failed read.
func readError(err error) error {
	if errors.Is(err, ErrNotSent) {
		return err
	}
	return eris.Wrap(ErrUnavailable, err.Error())
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error) {
	if len(value) > MaxValue {
		return 0, eris.Wrapf(ErrNotSent, "value of %d bytes", len(value))
	}
	c.metrics.puts.Inc(1)
	if err := c.admit(ctx, c.breaker.allow); err != nil {
		return 0, err
	}
	// A read that started before this write must not be shared with one that starts
	// after it: the writer would look for its own write in an older value.
	defer c.reads.Forget(name)
	c.metrics.bytesOut.Inc(int64(len(value)))
	o, err := c.write(ctx, parseName(name), version, value)
	c.record(ctx, err)
	switch {
	case err == nil:
		return uint64(o.Revision), nil
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound):
		c.metrics.conflicts.Inc(1)
		return 0, eris.Wrap(ErrConflict, name)
	case errors.Is(err, store.ErrRejected):
		return 0, eris.Wrap(ErrNotSent, err.Error())
	default:
		c.metrics.unknown.Inc(1)
		return 0, eris.Wrap(ErrUnknown, err.Error())
	}
}

func (c *Client) write(ctx context.Context, at location, version uint64, value []byte) (store.Object, error) {
	if version == 0 {
		return c.store.Create(ctx, at.kind, at.name, json.RawMessage(value))
	}
	return c.store.Update(ctx, at.kind, at.name, int64(version), json.RawMessage(value))
}

// VMs implements VMList. An item that cannot be decoded is skipped.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	c.metrics.lists.Inc(1)
	if err := c.admit(ctx, c.breaker.allow); err != nil {
		return nil, err
	}
	listing, err := c.store.List(ctx, VMsKind, store.Stale)
	c.record(ctx, err)
	if err != nil {
		return nil, readError(err)
	}
	vms := []VM{}
	for _, o := range listing.Objects {
		c.metrics.bytesIn.Inc(int64(len(o.Spec)))
		var vm VM
		if err := json.Unmarshal(o.Spec, &vm); err != nil {
			log.WithField("vm", o.Name).WithField("error", err.Error()).Warn("VM cannot be decoded, leaving it out of the VM list")
			continue
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

// admit waits for the rate limiter, and rejects the call immediately while the platform
// is down. Otherwise calls would pile up during an outage, each until its timeout, and
// all be retried together at its end. Allow is the circuit breaker's rule for this kind
// of call.
func (c *Client) admit(ctx context.Context, allow func(time.Time) bool) error {
	c.mu.Lock()
	allowed := allow(c.now())
	c.mu.Unlock()
	if !allowed {
		c.metrics.refused.Inc(1)
		return eris.Wrap(ErrNotSent, "the platform is down")
	}
	waiting, cancel := context.WithTimeout(ctx, rateWaitTimeout)
	defer cancel()
	if err := c.rate.Wait(waiting); err != nil {
		c.metrics.refused.Inc(1)
		c.abandonProbe()
		return eris.Wrap(ErrNotSent, "over this process's call rate")
	}
	return nil
}

func (c *Client) abandonProbe() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaker.abandonProbe()
}

// record reports the result of a call to the circuit breaker. A call that ended because
// its ctx did shows nothing about the store.
func (c *Client) record(ctx context.Context, err error) {
	if !storeResponded(err) && ctx.Err() != nil {
		c.abandonProbe()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if storeResponded(err) {
		c.metrics.answered.Inc(1)
		c.breaker.succeeded(c.now())
		return
	}
	c.metrics.failed.Inc(1)
	c.breaker.failed(c.now())
}

// storeResponded reports whether the store is healthy: it executed the call, or replied
// why it cannot, which is a conflict, a missing object or a compacted history.
func storeResponded(err error) bool {
	return err == nil || errors.Is(err, store.ErrConflict) ||
		errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrCompacted)
}

func (c *Client) read(ctx context.Context, name string) (Object, error) {
	o := Object{Name: name}
	if err := c.admit(ctx, c.breaker.allow); err != nil {
		return o, err
	}
	at := parseName(name)
	found, err := c.store.Get(ctx, at.kind, at.name)
	c.record(ctx, err)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return o, nil
	case err != nil:
		return o, readError(err)
	}
	c.metrics.bytesIn.Inc(int64(len(found.Spec)))
	return decode(name, found), nil
}
