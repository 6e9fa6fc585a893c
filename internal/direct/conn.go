package direct

import (
	"bufio"
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/apex/log"
	"golang.org/x/sys/unix"

	"pistachioroad.dev/pistachioroad/internal/membudget"
	"pistachioroad.dev/pistachioroad/internal/serverconn"
)

const (
	// dialTimeout limits the time to set up a connection. Between data centres it
	// takes milliseconds; a VM without power does not respond at all.
	dialTimeout = 400 * time.Millisecond
	// ackTimeout closes a connection whose peer does not acknowledge data, because
	// it lost power or a device in between dropped the connection's state. Without
	// it, a request on such a connection waits until its deadline. It exceeds the
	// pauses of a sound server, which must not end the requests that it runs: TCP
	// sends again after 0.2, 0.6, 1.4 and 3.0 s, and the last needs time for its answer.
	ackTimeout = 4 * time.Second
	// prefillAckTimeout is the ackTimeout of PrefillOnly attempts. They may be given up
	// early, because the request itself has not run.
	prefillAckTimeout = time.Second
	// Keep-alive probes detect idle connections with an unresponsive peer, so that
	// no request is sent on them.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// readBuffer is large enough for a response's head and for small responses.
	readBuffer = 4 << 10
)

// conn is one connection to a backend server.
type conn struct {
	*serverconn.Conn
	tcp *net.TCPConn
	// source reads from the connection, and reader from source.
	source *boundedReader
	reader *bufio.Reader
	// idleSince is when the last response ended, and idleTimeout how long after that
	// the server keeps the connection open, 0 if it did not state that.
	idleSince   time.Time
	idleTimeout time.Duration
	// reused is set once the connection has been returned to the pool.
	reused bool
	// ackTimeout is the TCP_USER_TIMEOUT of the connection.
	ackTimeout time.Duration
	// largeBuffer is set while the connection has a receive buffer of largeReceiveBuffer.
	largeBuffer bool
}

// newDialer returns a dialer of connections with a receive buffer of the given size, 0 for the
// kernel's default.
func newDialer(receiveBuffer int) *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return errors.Join(setUserTimeout(raw, ackTimeout), setReceiveBuffer(raw, receiveBuffer))
		},
	}
}

func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	return setOption(raw, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
}

func setReceiveBuffer(raw syscall.RawConn, size int) error {
	if size == 0 {
		return nil
	}
	return setOption(raw, unix.SOL_SOCKET, unix.SO_RCVBUF, size)
}

func setOption(raw syscall.RawConn, level, option, value int) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), level, option, value) })
	return errors.Join(controlErr, err)
}

func dial(ctx context.Context, dialer *net.Dialer, address string, heads *membudget.Budget) (*conn, error) {
	c, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	checked := serverconn.New(c, heads)
	source := &boundedReader{Reader: checked}
	return &conn{Conn: checked, tcp: c.(*net.TCPConn), source: source, reader: bufio.NewReaderSize(source, readBuffer), ackTimeout: ackTimeout}, nil
}

// expectResponse checks the head of the response that is read next.
func (c *conn) expectResponse() error {
	received, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.ExpectResponse(received)
}

// abort closes the connection with a reset, which drops what has not been delivered. After
// a close without one, a request that a silent link holds up would reach the server once the
// link recovers, long after it was given up.
func (c *conn) abort() {
	if err := c.tcp.SetLinger(0); err != nil {
		log.WithField("error", err.Error()).Debug("reset of a connection failed, closing it")
	}
	c.Close()
}

// setAckTimeout sets how long sent data may remain unacknowledged.
func (c *conn) setAckTimeout(d time.Duration) error {
	if c.ackTimeout == d {
		return nil
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return err
	}
	c.ackTimeout = d
	return setUserTimeout(raw, d)
}

// healthy reports whether an idle connection is open and has no data to read. Data
// received while no request was outstanding belongs to no request, and at the end of
// the stream the next request would be lost.
func (c *conn) healthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errno == unix.EAGAIN
		return true
	})
	return err == nil && empty
}
