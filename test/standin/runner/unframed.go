package runner

import (
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
	reset := end == ResetWithinEvent || end == ResetAfterLastEvent
	writeUnframed(w, s.unframedEvents(run, end), reset)
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

// writeUnframed writes a response with neither length nor chunks and ends its connection.
func writeUnframed(w http.ResponseWriter, body string, reset bool) {
	c, out, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	_, _ = io.WriteString(out, "HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(out)
	_, _ = io.WriteString(out, "\r\n"+body)
	_ = out.Flush()
	if tcp, ok := c.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
}
