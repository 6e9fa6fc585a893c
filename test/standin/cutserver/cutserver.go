// Package cutserver is a stand-in for a server whose connection ends before its answer does.
package cutserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Framing is how the end of a body is marked.
type Framing string

// The framings. An Unframed body ends with its connection.
const (
	Length   Framing = "length"
	Chunks   Framing = "chunks"
	Unframed Framing = "unframed"
)

// Answer returns a whole answer and the length of its head.
func Answer(status int, f Framing, body string) (text string, head int) {
	text = fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n", status, http.StatusText(status))
	switch f {
	case Length:
		text += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	case Chunks:
		text += "Transfer-Encoding: chunked\r\n\r\n"
		head = len(text)
		return text + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body), head
	case Unframed:
		text += "\r\n"
	}
	return text + body, len(text)
}

// Server answers each request with the beginning of a text and ends the connection.
type Server struct {
	Address string
	// Requests counts the requests that have arrived.
	Requests atomic.Int64

	mu    sync.Mutex
	text  string
	reset bool
}

// Start starts a server that runs until the end of the test.
func Start(t testing.TB) *Server {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &Server{Address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

// Set sets what is sent in answer to a request, and whether a reset follows.
func (s *Server) Set(text string, reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text, s.reset = text, reset
}

func (s *Server) serve(c net.Conn) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	s.Requests.Add(1)
	s.mu.Lock()
	text, reset := s.text, s.reset
	s.mu.Unlock()
	_, _ = io.WriteString(c, text)
	if tcp, ok := c.(*net.TCPConn); ok && reset {
		// A reset drops what the client has not received.
		time.Sleep(time.Millisecond)
		_ = tcp.SetLinger(0)
	}
}

// Cut calls f for each position of the answer at which its connection may end, with FIN and with
// a reset, with what the server sends. bodyEnds is set if a client cannot tell the answer from a
// whole one: its body ends with its connection, and that ended with FIN after the head.
func (s *Server) Cut(status int, body string, f func(name, sent string, bodyEnds bool)) {
	for _, framing := range []Framing{Length, Chunks, Unframed} {
		text, head := Answer(status, framing, body)
		for n := range text {
			for _, reset := range []bool{false, true} {
				s.Set(text[:n], reset)
				f(fmt.Sprintf("%s, reset %v, %d of %d bytes", framing, reset, n, len(text)), text[:n], framing == Unframed && !reset && n >= head)
			}
		}
	}
}
