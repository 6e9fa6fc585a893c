// Package serverconn provides connections to HTTP/1 servers for clients that parse responses
// with net/http. They fail where net/http would take for a sound response what is none.
package serverconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"pistachioroad.dev/pistachioroad/internal/membudget"
)

// Conn is a connection to a server on which responses are read.
type Conn struct {
	net.Conn

	mu   sync.Mutex
	head headChecker

	// writing is held during writes, and writeErr the error of the last one.
	writing  sync.Mutex
	writeErr error
}

// New returns a Conn that uses c. The memory of heads is limited by heads, unless that is nil.
func New(c net.Conn, heads *membudget.Budget) *Conn {
	return &Conn{Conn: c, head: headChecker{budget: heads}}
}

// ReleaseHead ends the reservation of the memory of the heads that have been received.
func (c *Conn) ReleaseHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.memory.Release(c.head.budget)
}

// ExpectResponse makes Read check the head of the response that is received next, and those of
// interim responses before it. received is what has been read of it already; the error is the one
// that Read returns for it.
func (c *Conn) ExpectResponse(received []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.expect()
	return c.head.check(received)
}

// Read implements io.Reader. It returns an ErrMalformed once the head of a response turns out to
// be malformed, an ErrNoMemory if there is no memory for it, and io.EOF only if the server has
// ended its side of the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if headErr := c.check(p[:n]); headErr != nil {
		return 0, headErr
	}
	if err == io.EOF {
		if failure := c.failure(); failure != nil {
			return n, failure
		}
	}
	return n, err
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (n int, err error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, c.writeErr = c.Conn.Write(p)
	return n, c.writeErr
}

// WriteBuffers writes b with as few system calls as Buffers.WriteTo needs.
func (c *Conn) WriteBuffers(b net.Buffers) (n int64, err error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, c.writeErr = b.WriteTo(c.Conn)
	return n, c.writeErr
}

// failure returns the error of the connection at the end of what has been received, nil if the
// server has ended its side. The kernel reports the error of a socket once. If a write was told
// of a reset, reads are told of the end of the stream.
func (c *Conn) failure() error {
	// A pending write returns the error if it was told, and otherwise that of the deadline. The
	// server sends nothing more, so that nothing depends on the rest of the request.
	if err := c.Conn.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	switch {
	case errors.Is(c.writeErr, os.ErrDeadlineExceeded):
		return nil
	case errors.Is(c.writeErr, syscall.EPIPE):
		// The server ended its side before it reset the connection.
		return nil
	default:
		return c.writeErr
	}
}

func (c *Conn) check(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.check(p)
}
