// Package callerconntest helps to test how servers of callers' connections stop.
package callerconntest

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// stopTime is how long the stop may take to close what it takes for idle.
const stopTime = 100 * time.Millisecond

// Listener calls Stop in a goroutine when the second request of a connection has been read from
// the network, and hands its bytes up a little later.
type Listener struct {
	net.Listener
	Stop func()
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, stop: l.Stop}, nil
}

type conn struct {
	net.Conn
	stop  func()
	reads int
}

// Read implements net.Conn. It is called by one goroutine at a time.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if c.reads++; c.reads == 2 {
		go c.stop()
		time.Sleep(stopTime)
	}
	return n, err
}

// SendTwo sends two requests one after the other on one connection. It returns an error if one
// is not answered.
func SendTwo(address, target string) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for range 2 {
		if _, err := io.WriteString(c, "GET "+target+" HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
			return err
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		if err := errors.Join(err, resp.Body.Close()); err != nil {
			return err
		}
	}
	return nil
}
