// Package serverconn provides connections to HTTP/1 servers for clients that parse responses
// with net/http. They fail where net/http would take for a sound response what is none.
package serverconn

import (
	"net"
	"sync"
)

// Conn is a connection to a server on which responses are read.
type Conn struct {
	net.Conn

	mu   sync.Mutex
	head headChecker
}

// New returns a Conn that uses c.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// ExpectResponse makes Read check the head of the response that is received next, and those of
// interim responses before it. received is what has been read of it already. It returns an
// ErrMalformed if that is malformed.
func (c *Conn) ExpectResponse(received []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.expect()
	return c.head.check(received)
}

// Read implements io.Reader. It returns an ErrMalformed once the head of a response turns out
// to be malformed.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if headErr := c.check(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

func (c *Conn) check(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.check(p)
}
