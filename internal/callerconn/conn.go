package callerconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"pistachioroad.dev/pistachioroad/internal/membudget"
)

const (
	// deliveryTimeout limits how long a connection stays open for an answer that its caller has
	// not received, and deliveryPoll is the interval between checks.
	deliveryTimeout = time.Second
	deliveryPoll    = 2 * time.Millisecond
	// maxDiscarded limits what is read of a rejected body after the answer.
	maxDiscarded = 8 << 20
	// rejectionTime is the least time in which the answer to a rejected body is delivered.
	rejectionTime = 100 * time.Millisecond
)

// Conn is a caller's connection. Between requests it can be closed without
// cutting a request: closing it only interrupts the read that waits for the next
// request, and that read returns either bytes or an error, never both.
type Conn struct {
	net.Conn
	conns *Conns

	mu    sync.Mutex
	phase connPhase
	// idleSince is when the connection was accepted or last became idle.
	idleSince time.Time
	// used is set once a request has been answered.
	used bool
	// idleTimeout is the one that was in force when the connection became idle.
	idleTimeout time.Duration
	// headSince is when the first bytes of the head that is being read arrived.
	headSince time.Time
	// headBlocked is set while a read waits for the rest of a head, and evicted once it has been
	// interrupted in favour of another connection.
	headBlocked, evicted bool
	// rejectedAt is when a request was rejected whose body had not been read, zero without one.
	rejectedAt time.Time
	head       membudget.Head
	// reset is set if what is unsent is to be dropped when the connection is closed.
	reset atomic.Bool
}

// connPhase is what a caller's connection is used for.
type connPhase int

const (
	// phaseIdle: the connection is new, or the last request has been answered, and
	// net/http does not yet wait for more bytes. It may already have those of a
	// pipelined request.
	phaseIdle connPhase = iota
	// phaseWaiting: net/http waits for bytes, since it has no complete request.
	phaseWaiting
	// phaseInterrupted: the waiting read has been interrupted.
	phaseInterrupted
	// phaseHead: the head of a request is being read.
	phaseHead
	// phaseServing: a request is being answered, or its body is being read.
	phaseServing
)

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	switch c.startRead() {
	case phaseWaiting:
		n, err := c.Conn.Read(p)
		if n, err = c.endWaiting(n, err); n == 0 {
			return n, err
		}
		return c.addHead(p[:n], err)
	case phaseHead:
		n, err := c.Conn.Read(p)
		if n, err = c.endHeadRead(n, err); n == 0 {
			return n, err
		}
		return c.addHead(p[:n], err)
	default:
		return c.Conn.Read(p)
	}
}

// startRead returns the phase of the connection in the read that begins.
func (c *Conn) startRead() connPhase {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case phaseIdle:
		c.phase = phaseWaiting
	case phaseHead:
		c.headBlocked = true
	default:
	}
	return c.phase
}

// endWaiting handles the result of a read that waited for the next request. If the
// read was interrupted before any bytes arrived, it closes the connection.
func (c *Conn) endWaiting(n int, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	interrupted := c.phase == phaseInterrupted
	if interrupted && errors.Is(err, os.ErrDeadlineExceeded) {
		c.conns.config.Closed.Inc(1)
		return 0, c.closeUnread()
	}
	c.phase = phaseServing
	if n > 0 {
		c.phase, c.headSince = phaseHead, time.Now()
	}
	if n > 0 && err == nil && (c.used || interrupted) {
		// net/http limits the time for the head of a second request only after four
		// bytes. This limit also replaces the deadline of an interruption that came
		// too late.
		err = c.SetReadDeadline(time.Now().Add(c.conns.config.HeaderTimeout))
	}
	return n, err
}

// endHeadRead handles the result of a read that waited for the rest of a head. If the read was
// interrupted before any bytes arrived, it closes the connection.
func (c *Conn) endHeadRead(n int, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headBlocked = false
	if !c.evicted {
		return n, err
	}
	c.evicted = false
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, c.closeUnread()
	}
	if err == nil {
		// The interruption came too late.
		err = c.SetReadDeadline(time.Now().Add(c.conns.config.HeaderTimeout))
	}
	return n, err
}

// closeUnread closes the connection of which no request has been read, and returns the error of
// the read that waited for one.
func (c *Conn) closeUnread() error {
	c.Conn.Close()
	return &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Err: net.ErrClosed}
}

// becomeIdle records that the last request has been answered while the given idle
// timeout was in force.
func (c *Conn) becomeIdle(now time.Time, timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.used = phaseIdle, true
	c.idleSince, c.idleTimeout = now, timeout
	c.rejectedAt = time.Time{}
	c.head.Release(c.conns.config.Heads)
}

// becomeActive records that the head of a request has been read.
func (c *Conn) becomeActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseServing
}

// evictionRank returns whether the connection can be closed in favour of another one, and when.
func (c *Conn) evictionRank(now time.Time) (evictionRank, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rank := evictionRank{class: evictWithoutRequest}
	switch {
	case !c.rejectedAt.IsZero():
		rank.class, rank.since = evictRejected, c.rejectedAt
		return rank, now.Sub(c.rejectedAt) > rejectionTime
	case c.phase == phaseHead && c.headBlocked && !c.evicted:
		rank.since = c.headSince
	case c.phase == phaseWaiting && !c.used:
		rank.since = c.idleSince
	case c.phase == phaseWaiting:
		rank.class, rank.since = evictIdle, c.idleSince
	default:
		return rank, false
	}
	if rank.class == evictWithoutRequest && now.Sub(rank.since) < minIdle {
		rank.class = evictNew
	}
	return rank, true
}

// evict closes the connection in favour of another one. It returns false if a request has come in
// the meantime.
func (c *Conn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.rejectedAt.IsZero():
		c.rejectedAt = time.Time{}
		c.Conn.Close()
	case c.phase == phaseHead && c.headBlocked:
		if c.SetReadDeadline(interruptDeadline) != nil {
			return false
		}
		c.evicted = true
	case c.phase == phaseWaiting:
		c.interrupt()
	default:
		return false
	}
	c.conns.config.Evicted.Inc(1)
	return true
}

// rejectBody records that the request is rejected though its body has not been read.
func (c *Conn) rejectBody(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejectedAt = now
}

func (c *Conn) bodyRejected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.rejectedAt.IsZero()
}

// closeExpired closes the connection if it still waits for the next request and has
// been idle for longer than its idle timeout. A longer configured timeout extends it; a
// shorter one does not apply, because the caller may not know of it yet.
func (c *Conn) closeExpired(now time.Time, configured time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	timeout := max(configured, c.idleTimeout)
	if c.used && c.phase == phaseWaiting && now.Sub(c.idleSince) > time.Duration(idleTimeoutFactor*float64(timeout)) {
		c.interrupt()
	}
}

// closeIdle closes the connection if it waits for a request, unless it is new and its
// first request may be on its way.
func (c *Conn) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseWaiting && (c.used || now.Sub(c.idleSince) > newConnTimeout) {
		c.interrupt()
	}
}

// interrupt makes the waiting read return. c.mu must be held.
func (c *Conn) interrupt() {
	if c.SetReadDeadline(interruptDeadline) == nil {
		c.phase = phaseInterrupted
	}
}

// interruptDeadline is a read deadline in the past.
var interruptDeadline = time.Unix(1, 0)

// InterruptRead makes a read of a request's body fail.
func InterruptRead(w http.ResponseWriter) {
	if err := http.NewResponseController(w).SetReadDeadline(interruptDeadline); err != nil {
		log.WithField("error", err.Error()).Debug("interrupt of a read from a caller failed")
	}
}

// SetLinger sets what happens to unsent data when the connection is closed, as for a
// net.TCPConn. It returns an error if the connection is of another type.
func (c *Conn) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return eris.Errorf("a connection of type %T has no linger time", c.Conn)
	}
	c.reset.Store(seconds == 0)
	return tcp.SetLinger(seconds)
}

// Close implements net.Conn. The kernel resets a connection that is closed with unread bytes, such
// as a pipelined request, and then drops what it has not delivered of the answer. Close therefore
// waits until the caller has received it, up to deliveryTimeout and the end of a drain.
func (c *Conn) Close() error {
	defer c.conns.remove(c)
	if !c.reset.Load() {
		for until := c.conns.deliverUntil(time.Now()); c.hasUndelivered() && time.Now().Before(until); {
			time.Sleep(deliveryPoll)
		}
		if c.bodyRejected() {
			c.discardRest(c.conns.deliverUntil(time.Now()))
		}
	}
	return c.Conn.Close()
}

// CloseWrite ends the answers, so that the caller knows that none follows.
func (c *Conn) CloseWrite() error {
	tcp, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return eris.Errorf("a connection of type %T cannot be closed in one direction", c.Conn)
	}
	return tcp.CloseWrite()
}

// discardRest reads what the caller still sends of a rejected body, up to maxDiscarded bytes and
// the given time. Else the close resets the connection, and the caller may lose the answer.
func (c *Conn) discardRest(until time.Time) {
	if c.CloseWrite() != nil || c.SetReadDeadline(until) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, maxDiscarded)
}

// hasUndelivered reports whether the caller is still to receive some of what was written.
func (c *Conn) hasUndelivered() bool {
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if errors.Join(controlErr, err) != nil || info.State == unix.BPF_TCP_CLOSE {
		return false
	}
	return info.Unacked > 0 || info.Notsent_bytes > 0
}
