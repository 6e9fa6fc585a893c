// Package callerbody reads the bodies of callers' requests within a limit of the memory of all of
// them. Memory is reserved before it is allocated, and for what has been received, not for what
// has been announced: a body proceeds to the next size only when it has filled the one before.
package callerbody

import (
	"cmp"
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"pistachioroad.dev/pistachioroad/internal/membudget"
	"pistachioroad.dev/pistachioroad/internal/pause"
	"pistachioroad.dev/pistachioroad/internal/safego"
)

const (
	// maxWait limits how long a body waits for memory.
	maxWait = 2 * time.Second
	// evictInterval is how often one of the bodies that come slowly is given up while others wait.
	evictInterval = 100 * time.Millisecond
	// maxLargeWaiting limits the bodies that wait for memory beyond membudget.SmallBody: they hold
	// that much while they wait.
	maxLargeWaiting = 16
	// minAge is how long a body may come before it can be given up.
	minAge = time.Second
)

// The errors of Read that are not those of the reader.
var (
	// ErrTooLarge means that the body exceeds its limit.
	ErrTooLarge = errors.New("body over the limit")
	// ErrNoMemory means that other bodies hold the memory.
	ErrNoMemory = errors.New("out of memory for bodies")
	// ErrEvicted means that the body came more slowly than others that waited for its memory.
	ErrEvicted = errors.New("the body came too slowly while others waited for memory")
	// ErrAborted means that the body came more slowly than others while new connections waited.
	// The connection is to be closed.
	ErrAborted = errors.New("the body came too slowly while connections waited")
)

// Memory is what the bodies of a process may hold together.
type Memory struct {
	small, large           *semaphore.Weighted
	smallLimit, largeLimit int64
	// copies is by how many times its size a body takes memory.
	copies int64
	// largeWaiting counts the bodies that wait for memory of large.
	largeWaiting          atomic.Int64
	waited, evicted, full metrics.Counter
	gauge                 metrics.Gauge
	lines                 rate.Sometimes

	mu      sync.Mutex
	reading map[*Body]struct{}
	held    int64
}

// New returns the Memory of a plan. prefix begins the names of its metrics. Each body takes memory
// for the given number of copies.
func New(prefix string, p membudget.Plan, copies int64) *Memory {
	return &Memory{
		copies: copies,
		small:  semaphore.NewWeighted(p.SmallBodies), smallLimit: p.SmallBodies,
		large: semaphore.NewWeighted(p.LargeBodies), largeLimit: p.LargeBodies,
		waited:  metrics.GetOrRegisterCounter(prefix+".bodies.waited", nil),
		evicted: metrics.GetOrRegisterCounter(prefix+".bodies.evicted", nil),
		full:    metrics.GetOrRegisterCounter(prefix+".bodies.out_of_memory", nil),
		gauge:   metrics.GetOrRegisterGauge(prefix+".bodies.bytes", nil),
		lines:   rate.Sometimes{First: 1, Interval: time.Second},
		reading: make(map[*Body]struct{}),
	}
}

// Held returns how many bytes are reserved.
func (m *Memory) Held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}

// Body is a body that is read, and then its bytes. Its memory is reserved until Release.
type Body struct {
	// Bytes is the body once Read has returned.
	Bytes []byte

	memory *Memory
	// interrupt makes a read of the body fail.
	interrupt func()
	started   time.Time
	// reservations are released in Release.
	reservations []reservation

	// The fields below are protected by memory.mu.

	received int64
	// waiting is set while the body waits for memory itself.
	waiting bool
	// evicted is why the body was given up, nil if it was not.
	evicted error
}

// reservation is a part of a semaphore.
type reservation struct {
	of *semaphore.Weighted
	n  int64
}

// Read reads a body of length bytes, -1 if unknown, from r. It returns an error if there are more
// than limit. interrupt has to make a blocked read of r fail; it is called if the body comes
// slowly while others wait for memory. Read waits for memory up to maxWait, and no longer than
// ctx. The Body has to be released, also after an error.
func (m *Memory) Read(ctx context.Context, r io.Reader, length, limit int64, interrupt func()) (*Body, error) {
	b := &Body{memory: m, interrupt: interrupt, started: time.Now()}
	if length > limit {
		return b, ErrTooLarge
	}
	m.add(b)
	defer m.remove(b)
	if length < 0 {
		// One byte more tells a body over the limit.
		length = limit + 1
	}
	for _, size := range []int64{membudget.FreeBody, membudget.SmallBody, length} {
		size = min(size, length)
		if err := b.grow(ctx, size); err != nil {
			return b, err
		}
		whole, err := b.fill(r)
		if err != nil {
			return b, err
		}
		if whole || size == length {
			break
		}
	}
	if int64(len(b.Bytes)) > limit {
		return b, ErrTooLarge
	}
	b.shrink()
	return b, nil
}

// grow gives the body a buffer of size bytes.
func (b *Body) grow(ctx context.Context, size int64) error {
	if size <= int64(cap(b.Bytes)) {
		return nil
	}
	if size > membudget.FreeBody {
		if err := b.reserve(ctx, size); err != nil {
			return err
		}
	}
	larger := make([]byte, len(b.Bytes), size)
	copy(larger, b.Bytes)
	b.Bytes = larger
	b.releaseBut(1)
	return nil
}

// reserve reserves memory for a buffer of size bytes beside the present one.
func (b *Body) reserve(ctx context.Context, size int64) error {
	m := b.memory
	if size <= membudget.SmallBody {
		size = min(m.copies*size, m.smallLimit)
		if m.small.TryAcquire(size) {
			b.reserved(m.small, size)
			return nil
		}
		if m.large.TryAcquire(size) {
			b.reserved(m.large, size)
			return nil
		}
		return b.await(ctx, m.small, size)
	}
	size = min(m.copies*size, m.largeLimit)
	if m.large.TryAcquire(size) {
		b.reserved(m.large, size)
		return nil
	}
	if m.largeWaiting.Add(1) > maxLargeWaiting {
		m.largeWaiting.Add(-1)
		return m.reject()
	}
	defer m.largeWaiting.Add(-1)
	return b.await(ctx, m.large, size)
}

// await waits for memory. Meanwhile it gives up bodies that come slowly.
func (b *Body) await(ctx context.Context, s *semaphore.Weighted, size int64) error {
	m := b.memory
	m.waited.Inc(1)
	m.setWaiting(b, true)
	defer m.setWaiting(b, false)
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	safego.Go("evict bodies", func() { m.evictWhileWaiting(ctx) })
	if s.Acquire(ctx, size) != nil {
		return m.reject()
	}
	b.reserved(s, size)
	return nil
}

// reject counts and logs a body for which there is no memory.
func (m *Memory) reject() error {
	m.full.Inc(1)
	m.lines.Do(func() {
		log.WithField("held_bytes", m.Held()).Warn("bodies are rejected for want of memory")
	})
	return ErrNoMemory
}

func (b *Body) reserved(s *semaphore.Weighted, n int64) {
	b.reservations = append(b.reservations, reservation{of: s, n: n})
	b.memory.changeHeld(n)
}

// fill reads until the buffer is full or the body ends, which whole tells.
func (b *Body) fill(r io.Reader) (whole bool, err error) {
	for len(b.Bytes) < cap(b.Bytes) {
		n, err := r.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		b.memory.progress(b, int64(n))
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, cmp.Or(b.memory.evictedFor(b), err)
		}
	}
	return false, nil
}

// shrink releases what the body turned out not to need.
func (b *Body) shrink() {
	n := int64(len(b.Bytes))
	if len(b.reservations) == 0 || n > int64(cap(b.Bytes))/2 {
		return
	}
	b.Bytes = append(make([]byte, 0, n), b.Bytes...)
	n *= b.memory.copies
	if r := &b.reservations[0]; n < r.n {
		r.of.Release(r.n - n)
		b.memory.changeHeld(n - r.n)
		r.n = n
	}
}

// releaseBut releases all reservations but the last ones, of which the newest is for the present
// buffer.
func (b *Body) releaseBut(last int) {
	for len(b.reservations) > last {
		r := b.reservations[0]
		b.reservations = b.reservations[1:]
		r.of.Release(r.n)
		b.memory.changeHeld(-r.n)
	}
}

// Release ends the reservation of the body's memory. Bytes must not be used any more.
func (b *Body) Release() {
	b.Bytes = nil
	b.releaseBut(0)
}

func (m *Memory) add(b *Body) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reading[b] = struct{}{}
}

func (m *Memory) remove(b *Body) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.reading, b)
}

func (m *Memory) changeHeld(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held += n
	m.gauge.Update(m.held)
}

func (m *Memory) progress(b *Body, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b.received += n
}

func (m *Memory) setWaiting(b *Body, waiting bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b.waiting = waiting
}

// evictedFor returns why the body was given up, nil if it was not.
func (m *Memory) evictedFor(b *Body) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return b.evicted
}

// evictWhileWaiting gives up bodies until ctx is done.
func (m *Memory) evictWhileWaiting(ctx context.Context) {
	for pause.Sleep(ctx, evictInterval) {
		if m.isAwaited() {
			m.evict(time.Now(), ErrEvicted, func(b *Body) bool { return b.received > membudget.FreeBody })
		}
	}
}

// EvictSlowest gives up the body that has come most slowly, so that its connection becomes free.
// Its Read returns ErrAborted. EvictSlowest returns false if no body has come for long enough.
func (m *Memory) EvictSlowest(now time.Time) bool {
	return m.evict(now, ErrAborted, func(*Body) bool { return true })
}

// isAwaited reports whether a body waits for memory.
func (m *Memory) isAwaited() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for b := range m.reading {
		if b.waiting {
			return true
		}
	}
	return false
}

// evict gives up the body that has come most slowly of those that match, for the given reason.
func (m *Memory) evict(now time.Time, reason error, match func(*Body) bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	var slowest *Body
	lowest := 0.0
	for b := range m.reading {
		age := now.Sub(b.started)
		if b.waiting || b.evicted != nil || age < minAge || !match(b) {
			continue
		}
		if bytesPerSecond := float64(b.received) / age.Seconds(); slowest == nil || bytesPerSecond < lowest {
			slowest, lowest = b, bytesPerSecond
		}
	}
	if slowest == nil {
		return false
	}
	slowest.evicted = reason
	m.evicted.Inc(1)
	slowest.interrupt()
	return true
}
