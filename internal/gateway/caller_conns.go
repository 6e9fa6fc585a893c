package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// callerConns are the open connections from callers.
type callerConns struct {
	// idleTimeout is the idle timeout of connections that become idle now, a
	// time.Duration. 0 if none is known.
	idleTimeout atomic.Int64

	mu   sync.Mutex
	open map[*callerConn]struct{}
	// inForceAt is when idleTimeout was last the configured one.
	inForceAt time.Time
}

func newCallerConns() *callerConns {
	return &callerConns{open: make(map[*callerConn]struct{})}
}

// listen returns a listener that adds the connections that l accepts.
func (c *callerConns) listen(l net.Listener) net.Listener {
	return &callerListener{Listener: l, conns: c}
}

type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.conns.add(c), nil
}

func (c *callerConns) add(conn net.Conn) *callerConn {
	added := &callerConn{Conn: conn, conns: c, idleSince: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[added] = struct{}{}
	return added
}

func (c *callerConns) remove(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

func (c *callerConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// closeExpired closes the connections that have been idle for longer than their idle
// timeout. configured is the configured timeout. Callers may rely on the previous one
// until it has been out of force for noticeTime.
func (c *callerConns) closeExpired(now time.Time, configured, noticeTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateIdleTimeout(now, configured, noticeTime)
	for conn := range c.open {
		conn.closeExpired(now, configured)
	}
}

// updateIdleTimeout adopts a longer timeout at once, a shorter one after noticeTime.
// c.mu must be held.
func (c *callerConns) updateIdleTimeout(now time.Time, configured, noticeTime time.Duration) {
	if configured >= time.Duration(c.idleTimeout.Load()) || now.Sub(c.inForceAt) > noticeTime {
		c.idleTimeout.Store(int64(configured))
		c.inForceAt = now
	}
}

// closeIdle closes the connections that are not in use and returns how many are open.
func (c *callerConns) closeIdle(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		conn.closeIdle(now)
	}
	return len(c.open)
}

// stopListening closes the listener, whose server reports its end to served.
func (c *callerConns) stopListening(l net.Listener, served <-chan error) error {
	err := l.Close()
	// The server has accepted its last connection once it returns.
	<-served
	return err
}

// drain closes each connection as soon as it is not in use. It reports whether all were
// closed before ctx was done.
func (c *callerConns) drain(ctx context.Context) bool {
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

// connStateChanged is the ConnState hook of a server for caller connections.
func connStateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
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
