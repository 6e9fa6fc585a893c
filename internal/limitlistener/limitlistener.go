// Package limitlistener limits the number of open connections of a TCP listener. Unlike
// those of golang.org/x/net/netutil, its connections keep the methods of TCP connections.
package limitlistener

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/apex/log"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sys/unix"
)

// maxUnsentBytes limits what the kernel holds for a peer that does not read, per connection.
// Without a limit that is up to 4 MB, the default of net.ipv4.tcp_wmem. Data in transit does
// not count, so the throughput is the same.
const maxUnsentBytes = 256 << 10

// Listener accepts connections while fewer than its limit are open.
type Listener struct {
	*net.TCPListener
	slots *semaphore.Weighted
	// closed is done once the listener is closed.
	closed context.Context
	close  context.CancelFunc
}

// Listen listens on a TCP address, an IP and a port, and accepts at most limit connections
// at a time.
func Listen(address string, limit int) (*Listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	limited := &Listener{TCPListener: l.(*net.TCPListener), slots: semaphore.NewWeighted(int64(limit))}
	limited.closed, limited.close = context.WithCancel(context.Background())
	return limited, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	if l.slots.Acquire(l.closed, 1) != nil {
		return nil, &net.OpError{Op: "accept", Net: l.Addr().Network(), Addr: l.Addr(), Err: net.ErrClosed}
	}
	c, err := l.AcceptTCP()
	if err != nil {
		l.slots.Release(1)
		return nil, err
	}
	if err := limitUnsent(c); err != nil {
		log.WithField("error", err.Error()).Debug("limit of unsent data not set")
	}
	return &conn{TCPConn: c, release: sync.OnceFunc(func() { l.slots.Release(1) })}, nil
}

// limitUnsent limits what may be written beyond what has been sent.
func limitUnsent(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
	return errors.Join(controlErr, err)
}

// Close implements net.Listener. It does not close accepted connections.
func (l *Listener) Close() error {
	l.close()
	return l.TCPListener.Close()
}

// conn is a connection that occupies a slot until it is closed.
type conn struct {
	*net.TCPConn
	release func()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	defer c.release()
	return c.TCPConn.Close()
}
