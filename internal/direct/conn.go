package direct

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the set-up of a connection. Between data centres it
	// takes milliseconds; a VM without power does not answer at all.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout ends a connection whose peer acknowledges nothing: it lost
	// power, or something between the ends forgot the connection. Without it a
	// request on such a connection waits until its deadline.
	unackedTimeout = time.Second
	// The keep-alive probes find an idle connection that went silent, so that
	// no request is sent on it.
	probeAfter    = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// readBuffer holds an answer's head and small answers.
	readBuffer = 4 << 10
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince and keepFor say how long the server keeps it open.
	idleSince time.Time
	keepFor   time.Duration
	used      bool
}

var dialer = net.Dialer{
	Timeout: dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     probeAfter,
		Interval: probeInterval,
		Count:    probeCount,
	},
	Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	},
}

func dial(ctx context.Context, address string) (*conn, error) {
	c, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer)}, nil
}

// quiet reports whether an idle connection is open and has nothing to read.
// Bytes that came while no request was out belong to no request, and an end of
// the stream means that the next request would be lost.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errno == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
