package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns are the open connections from callers.
type callerConns struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
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
	added := &callerConn{Conn: conn, conns: c}
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

// closeIdleBefore closes the connections that became idle before the given time.
func (c *callerConns) closeIdleBefore(cutoff time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		conn.closeIdleBefore(cutoff)
	}
}

// connStateChanged is the ConnState hook of a server for caller connections.
func connStateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.becomeIdle(time.Now())
	case http.StateActive:
		c.becomeActive()
	default:
	}
}
