package runner

import (
	"context"
	"sync"
)

// silence holds the requests of a server that is silent: its connections stay open, and
// nothing is answered until the silence ends. The zero value is no silence.
type silence struct {
	mu sync.Mutex
	// ended is closed at the end of the silence; it is nil while there is none.
	ended chan struct{}
	held  int
}

// Silence makes the server silent until Resume: it starts no request, and running answers
// stop before their next byte.
func (s *BackendServer) Silence() {
	s.silence.mu.Lock()
	defer s.silence.mu.Unlock()
	if s.silence.ended == nil {
		s.silence.ended = make(chan struct{})
	}
}

// Resume ends the silence. Every request whose connection is still open goes on where it was.
func (s *BackendServer) Resume() {
	s.silence.mu.Lock()
	defer s.silence.mu.Unlock()
	if s.silence.ended != nil {
		close(s.silence.ended)
		s.silence.ended = nil
	}
}

// Held returns the number of open requests that wait for the end of the silence.
func (s *BackendServer) Held() int {
	s.silence.mu.Lock()
	defer s.silence.mu.Unlock()
	return s.silence.held
}

// await waits until the server is not silent. It returns false if the request's
// connection was closed meanwhile.
func (s *silence) await(ctx context.Context) bool {
	for {
		ended := s.hold()
		if ended == nil {
			return true
		}
		select {
		case <-ended:
		case <-ctx.Done():
		}
		s.release()
		if ctx.Err() != nil {
			return false
		}
	}
}

// hold counts a request as held and returns the channel that is closed at the end of the
// silence, or returns nil if there is none.
func (s *silence) hold() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended == nil {
		return nil
	}
	s.held++
	return s.ended
}

func (s *silence) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held--
}
