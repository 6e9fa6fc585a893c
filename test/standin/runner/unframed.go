package runner

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// StreamEnd is where a stream without length and chunks ends with its connection.
type StreamEnd uint8

// The ends.
const (
	// Framed streams have chunks.
	Framed StreamEnd = iota
	// AfterLastEvent is the end of a whole stream.
	AfterLastEvent
	// WithinEvent is in the middle of the second event.
	WithinEvent
	// BetweenEvents is between the first and the second event.
	BetweenEvents
	// BeforeFirstEvent is after the head.
	BeforeFirstEvent
	// ResetWithinEvent is like WithinEvent, with a reset of the connection.
	ResetWithinEvent
	// ResetAfterLastEvent is like AfterLastEvent, with a reset of the connection.
	ResetAfterLastEvent
)

// SetStreamEnd sets how the server's streams end.
func (s *BackendServer) SetStreamEnd(end StreamEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streamEnd = end
}

func (s *BackendServer) currentStreamEnd() StreamEnd {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streamEnd
}

// streamUnframed writes a stream that ends with its connection.
func (s *BackendServer) streamUnframed(w http.ResponseWriter, run Run, end StreamEnd) {
	c, out, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	if writeUnframed(out, w.Header(), s.unframedEvents(run, end)) != nil {
		return
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	if end == ResetWithinEvent || end == ResetAfterLastEvent {
		_ = tcp.SetLinger(0)
	}
}

// unframedEvents returns the part of a stream that precedes its end.
func (s *BackendServer) unframedEvents(run Run, end StreamEnd) string {
	text, first := "", firstEvent(run)
	for n := first; n <= s.Events; n++ {
		event := Event(run.ID, n)
		switch {
		case end == BeforeFirstEvent:
			return ""
		case end == BetweenEvents && n == first+1:
			return text
		case (end == WithinEvent || end == ResetWithinEvent) && n == first+1:
			return text + event[:len(event)-1]
		}
		text += event
	}
	return text
}

func writeUnframed(out *bufio.ReadWriter, header http.Header, body string) error {
	if _, err := fmt.Fprint(out, "HTTP/1.1 200 OK\r\n"); err != nil {
		return err
	}
	if err := header.Write(out); err != nil {
		return err
	}
	if _, err := io.WriteString(out, "\r\n"+body); err != nil {
		return err
	}
	return out.Flush()
}
