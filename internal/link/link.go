// Package link multiplexes streams between an entry and a sidecar, or between two
// entries, over one TCP connection.
//
// Liveness is checked by heartbeats on the control stream. They pass through the same
// queue as the requests, so that they stop when the requests would.
package link

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/wire"
)

// The timing of links.
const (
	// HeartbeatInterval is how often both ends of a link send a heartbeat.
	HeartbeatInterval = time.Second
	// SilenceTimeout is how long a link may carry no frame before the entry opens a second
	// connection in addition to it: two heartbeats missed.
	SilenceTimeout = 2*HeartbeatInterval + HeartbeatInterval/2

	dialTimeout       = time.Second
	streamOpenTimeout = 5 * time.Second
	writeTimeout      = 5 * time.Second
	// windowBytes bounds the unread bytes of one stream.
	windowBytes = 256 << 10
	// acceptBacklog bounds the streams that have not been accepted yet.
	acceptBacklog = 1024
)

// Session is one connection and its streams.
type Session struct {
	mux *yamux.Session
}

// Dial connects to address, an IP address and a port.
func Dial(ctx context.Context, address string) (*Session, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "dial link")
	}
	mux, err := yamux.Client(&coalescedConn{Conn: conn}, muxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, eris.Wrap(err, "open link")
	}
	return &Session{mux: mux}, nil
}

// Accept starts a session on a connection that the other end dialled.
func Accept(conn net.Conn) (*Session, error) {
	mux, err := yamux.Server(&coalescedConn{Conn: conn}, muxConfig())
	if err != nil {
		return nil, eris.Wrap(err, "accept link")
	}
	return &Session{mux: mux}, nil
}

// Open opens a stream. Its first frame must state its purpose to the other end.
func (s *Session) Open() (*wire.Conn, error) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, eris.Wrap(err, "open stream")
	}
	return wire.NewConn(stream), nil
}

// AcceptStream waits for the other end to open a stream.
func (s *Session) AcceptStream() (*wire.Conn, error) {
	stream, err := s.mux.AcceptStream()
	if err != nil {
		return nil, eris.Wrap(err, "accept stream")
	}
	return wire.NewConn(stream), nil
}

// Streams returns the number of open streams.
func (s *Session) Streams() int { return s.mux.NumStreams() }

// Done is closed when the connection has ended.
func (s *Session) Done() <-chan struct{} { return s.mux.CloseChan() }

// Close closes the connection and all of its streams.
func (s *Session) Close() error { return s.mux.Close() }

// muxConfig disables yamux's keep-alive: its replies come from yamux's own read loop and
// prove nothing about the rest of the process.
func muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.AcceptBacklog = acceptBacklog
	config.MaxStreamWindowSize = windowBytes
	config.StreamOpenTimeout = streamOpenTimeout
	config.ConnectionWriteTimeout = writeTimeout
	config.LogOutput = io.Discard
	return config
}
