package serve

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/entry/links"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// cancelTimeout bounds the wait for a Cancel frame to be written before its
// stream is closed.
const cancelTimeout = time.Second

// stream is the stream of one attempt or Resolve.
type stream struct {
	conn *links.Conn
	wire *wire.Conn
	// clock is the ClockUs of the Start.
	clock int64
	// cancelled is closed once the Cancel frame was written; nil without one.
	cancelled chan struct{}
}

// cancel sends a Cancel frame without waiting for it: the connection may be
// silent.
func (s *stream) cancel(id []byte) {
	if s.cancelled != nil {
		return
	}
	s.cancelled = make(chan struct{})
	go func() {
		defer close(s.cancelled)
		_ = s.wire.Send(&wire.Frame{Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{RequestId: id}}})
	}()
}

// close closes the stream, after its Cancel frame.
func (s *stream) close() {
	if s.cancelled == nil {
		_ = s.wire.Close()
		return
	}
	go func() {
		timer := time.NewTimer(cancelTimeout)
		defer timer.Stop()
		select {
		case <-s.cancelled:
		case <-timer.C:
		}
		_ = s.wire.Close()
	}()
}

// resolve sends a Resolve and waits for its answer.
func (s *stream) resolve(ctx context.Context, r *wire.Resolve) (*wire.Resolution, error) {
	answers := make(chan *wire.Resolution, 1)
	go func() {
		defer close(answers)
		if s.wire.Send(&wire.Frame{Body: &wire.Frame_Resolve{Resolve: r}}) != nil {
			return
		}
		frame, err := s.wire.Receive()
		if err == nil && frame.GetResolution() != nil {
			answers <- frame.GetResolution()
		}
	}()
	select {
	case answer, ok := <-answers:
		if !ok {
			return nil, eris.New("no resolution")
		}
		return answer, nil
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "resolve")
	}
}
