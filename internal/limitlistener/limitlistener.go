// Package limitlistener limits the number of open connections of a TCP listener, and what the
// kernel holds for each of them. At the limit, its owner may close one for a new one. Unlike
// those of golang.org/x/net/netutil, its connections keep the methods of TCP connections.
package limitlistener

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"

	"pistachioroad.dev/pistachioroad/internal/pause"
)

// maxUnsentBytes limits what the kernel holds for a peer that does not read, per connection.
// Without a limit that is up to 4 MB, the default of net.ipv4.tcp_wmem. Data in transit does
// not count, so the throughput is the same.
const maxUnsentBytes = 256 << 10

// minRetryWait is the pause after a failed accept, which doubles up to maxRetryWait with each
// further one.
const (
	minRetryWait = time.Millisecond
	maxRetryWait = 100 * time.Millisecond
)

// minFullWait is the pause after a call of Listener.Full, in which the connection that it closes
// becomes free. It doubles up to maxFullWait while a connection waits.
const (
	minFullWait = 5 * time.Millisecond
	maxFullWait = 100 * time.Millisecond
)

// Listener accepts connections while fewer than its limit are open. One more waits until another
// one is closed.
type Listener struct {
	*net.TCPListener
	// Full, if set, is called while the limit is reached and a connection waits. It may close
	// others.
	Full  func()
	slots *semaphore.Weighted
	// closed is done once the listener is closed.
	closed context.Context
	close  context.CancelFunc
	// accept is that of the TCPListener.
	accept func() (*net.TCPConn, error)
	// failures limits the lines about failed accepts, fulls those about the limit.
	failures, fulls rate.Sometimes
}

// Listen listens on a TCP address, an IP and a port, and accepts at most limit connections
// at a time. The kernel holds about receiveBuffer bytes that each of them has received and that
// have not been read; 0 means its default.
func Listen(address string, limit, receiveBuffer int) (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return setReceiveBuffer(raw, receiveBuffer)
	}}
	l, err := config.Listen(context.Background(), networkOf(address), address)
	if err != nil {
		return nil, err
	}
	tcp := l.(*net.TCPListener)
	limited := &Listener{
		TCPListener: tcp, slots: semaphore.NewWeighted(int64(limit)), accept: tcp.AcceptTCP,
		failures: rate.Sometimes{First: 1, Interval: time.Second}, fulls: rate.Sometimes{First: 1, Interval: time.Second},
	}
	limited.closed, limited.close = context.WithCancel(context.Background())
	return limited, nil
}

// networkOf returns the network of an address. IPv4 addresses must not accept IPv6.
func networkOf(address string) string {
	if parsed, err := netip.ParseAddrPort(address); err == nil && !parsed.Addr().Is4() {
		return "tcp"
	}
	return "tcp4"
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.acceptNext()
	if err != nil {
		return nil, err
	}
	if !l.slots.TryAcquire(1) && !l.awaitSlot() {
		c.Close()
		return nil, &net.OpError{Op: "accept", Net: l.Addr().Network(), Addr: l.Addr(), Err: net.ErrClosed}
	}
	if err := limitUnsent(c); err != nil {
		log.WithField("error", err.Error()).Debug("limit of unsent data not set")
	}
	return &conn{TCPConn: c, release: sync.OnceFunc(func() { l.slots.Release(1) })}, nil
}

// awaitSlot waits until fewer connections than the limit are open. It returns false if the listener
// is closed before.
func (l *Listener) awaitSlot() bool {
	metrics.GetOrRegisterCounter("listener.connections_waited", nil).Inc(1)
	l.fulls.Do(func() {
		log.WithField("address", l.Addr().String()).Warn("the limit of connections is reached")
	})
	for wait := minFullWait; l.closed.Err() == nil; wait = min(2*wait, maxFullWait) {
		if l.Full != nil {
			l.Full()
		}
		if l.acquireWithin(wait) {
			return true
		}
	}
	return false
}

func (l *Listener) acquireWithin(d time.Duration) bool {
	ctx, cancel := context.WithTimeout(l.closed, d)
	defer cancel()
	return l.slots.Acquire(ctx, 1) == nil
}

// acceptNext accepts a connection. After an error that the next one need not have, it tries
// again, since an http.Server ends with most errors of its listener.
func (l *Listener) acceptNext() (*net.TCPConn, error) {
	for wait := minRetryWait; ; wait = min(2*wait, maxRetryWait) {
		c, err := l.accept()
		if err == nil || !isTransient(err) {
			return c, err
		}
		metrics.GetOrRegisterCounter("listener.accepts_failed", nil).Inc(1)
		l.failures.Do(func() {
			log.WithFields(log.Fields{"address": l.Addr().String(), "error": err.Error()}).Warn("accept failed, trying again")
		})
		pause.Sleep(l.closed, wait)
	}
}

// isTransient reports whether an error of accept(2) is that of one new connection, or of
// resources that may become available.
func isTransient(err error) bool {
	var errno unix.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case unix.ENETDOWN, unix.EPROTO, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH,
		unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ECONNABORTED, unix.ECONNRESET, unix.ETIMEDOUT, unix.EPERM,
		unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC:
		return true
	default:
		return false
	}
}

// setReceiveBuffer sets the receive buffer of the connections that a listening socket accepts.
func setReceiveBuffer(raw syscall.RawConn, size int) error {
	if size == 0 {
		return nil
	}
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
	})
	return errors.Join(controlErr, err)
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
