// Package callerconn keeps the connections of an HTTP server's callers, so that they can be
// closed without cutting a request. http.Server.Shutdown drops requests that it has just read.
package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"pistachioroad.dev/pistachioroad/internal/membudget"
)

const (
	// idleTimeoutFactor extends the configured idle timeout of callers'
	// connections, because a caller may use a connection until the timeout ends.
	idleTimeoutFactor = 1.5
	// newConnTimeout is how long a new connection stays open for its first request
	// during shutdown.
	newConnTimeout = 5 * time.Second
	// drainInterval is the interval between checks for idle connections during shutdown.
	drainInterval = 10 * time.Millisecond
)

// Config configures a Conns.
type Config struct {
	// HeaderTimeout limits how long reading a request's head may take.
	HeaderTimeout time.Duration
	// Closed counts the idle connections that are closed.
	Closed metrics.Counter
	// Evicted counts the connections that are closed in favour of new ones.
	Evicted metrics.Counter
	// Heads is the memory for heads beyond membudget.FreeHead each, and HeadsRejected counts the
	// connections for whose heads it did not suffice. Without Heads there is no limit.
	Heads         *membudget.Budget
	HeadsRejected metrics.Counter
}

// logInterval is the least interval between lines about heads without memory.
const logInterval = time.Second

// Conns are the open connections from callers.
type Conns struct {
	config Config
	// headLines limits the lines about heads without memory.
	headLines rate.Sometimes
	// idleTimeout is the idle timeout of connections that become idle now, a
	// time.Duration. 0 if none is known.
	idleTimeout atomic.Int64

	mu   sync.Mutex
	open map[*Conn]struct{}
	// inForceAt is when idleTimeout was last the configured one.
	inForceAt time.Time
	// drainEnd is when the drain ends that has begun, zero before it.
	drainEnd time.Time
}

// New returns an empty Conns.
func New(config Config) *Conns {
	return &Conns{config: config, open: make(map[*Conn]struct{}), headLines: rate.Sometimes{First: 1, Interval: logInterval}}
}

// Listen returns a listener that adds the connections that l accepts.
func (c *Conns) Listen(l net.Listener) net.Listener {
	return &listener{Listener: l, conns: c}
}

type listener struct {
	net.Listener
	conns *Conns
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.conns.add(c), nil
}

func (c *Conns) add(conn net.Conn) *Conn {
	added := &Conn{Conn: conn, conns: c, idleSince: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[added] = struct{}{}
	return added
}

func (c *Conns) remove(conn *Conn) {
	conn.releaseHead()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

// Count returns how many connections are open.
func (c *Conns) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// CloseExpired closes the connections that have been idle for longer than their idle
// timeout. configured is the configured timeout. Callers may rely on the previous one
// until it has been out of force for noticeTime.
func (c *Conns) CloseExpired(now time.Time, configured, noticeTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateIdleTimeout(now, configured, noticeTime)
	for conn := range c.open {
		conn.closeExpired(now, configured)
	}
}

// updateIdleTimeout adopts a longer timeout at once, a shorter one after noticeTime.
// c.mu must be held.
func (c *Conns) updateIdleTimeout(now time.Time, configured, noticeTime time.Duration) {
	if configured >= time.Duration(c.idleTimeout.Load()) || now.Sub(c.inForceAt) > noticeTime {
		c.idleTimeout.Store(int64(configured))
		c.inForceAt = now
	}
}

// closeIdle closes the connections that are not in use and returns how many are open.
func (c *Conns) closeIdle(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		conn.closeIdle(now)
	}
	return len(c.open)
}

// minIdle is how long a connection that has not sent its first request, or not all of the head of
// one, is spared while there are idle ones to close.
const minIdle = time.Second

// Evict closes a connection in favour of a new one: one that is only kept open for a caller that
// still sends a rejected body; else the one that has been without a request for longest, those
// that have never sent one, or only a part, before those that are idle. It returns false if there
// is none.
func (c *Conns) Evict(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var victim *Conn
	var best evictionRank
	for conn := range c.open {
		if rank, ok := conn.evictionRank(now); ok && (victim == nil || rank.before(best)) {
			victim, best = conn, rank
		}
	}
	return victim != nil && victim.evict()
}

// evictionRank orders the connections that can be closed. Those of the lowest class go first, and
// of each class the oldest.
type evictionRank struct {
	class evictionClass
	since time.Time
}

type evictionClass int

const (
	evictRejected evictionClass = iota
	evictWithoutRequest
	evictIdle
	evictNew
)

func (r evictionRank) before(o evictionRank) bool {
	if r.class != o.class {
		return r.class < o.class
	}
	return r.since.Before(o.since)
}

// CloseWaiting closes the connections that are not in use, also those that wait for their first
// request.
func (c *Conns) CloseWaiting() { c.closeIdle(time.Now().Add(2 * newConnTimeout)) }

// StopListening closes the listener, whose server reports its end to served.
func (c *Conns) StopListening(l net.Listener, served <-chan error) error {
	err := l.Close()
	// The server has accepted its last connection once it returns.
	<-served
	return err
}

// drain closes each connection as soon as it is not in use. It reports whether all were
// closed before ctx was done.
func (c *Conns) drain(ctx context.Context) bool {
	poll := time.NewTicker(drainInterval)
	defer poll.Stop()
	for c.closeIdle(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-poll.C:
		}
	}
	return true
}

// DrainUntil closes each connection as soon as it is not in use. It reports whether all were
// closed before the given time.
func (c *Conns) DrainUntil(t time.Time) bool {
	c.setDrainEnd(t)
	if c.Count() == 0 {
		return true
	}
	ctx, cancel := context.WithDeadline(context.Background(), t)
	defer cancel()
	// Connections whose answers have not been received are closed at t.
	return c.drain(ctx) && time.Now().Before(t)
}

func (c *Conns) setDrainEnd(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainEnd = t
}

// deliverUntil returns until when a connection that is closed now may stay open for its answer.
func (c *Conns) deliverUntil(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := now.Add(deliveryTimeout)
	if !c.drainEnd.IsZero() && c.drainEnd.Before(until) {
		return c.drainEnd
	}
	return until
}

// ConnStateChanged is the ConnState hook of a server for caller connections.
func ConnStateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.becomeIdle(time.Now(), time.Duration(c.conns.idleTimeout.Load()))
	case http.StateActive:
		c.becomeActive()
	default:
	}
}
