package serve

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/entry/links"
	"pistachioroad.dev/pistachioroad/internal/safego"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// cancelTimeout limits how long close waits for the Cancel frame to be written.
const cancelTimeout = time.Second

// stream is the stream of one attempt or of one Resolve.
type stream struct {
	link   *links.Conn
	frames *wire.Conn
	// startClock is the ClockUs of the Start frame.
	startClock int64
	// cancelled is closed once the Cancel frame was written; nil if there is none.
	cancelled chan struct{}
}

// cancel sends a Cancel frame without waiting for the write, which blocks on a
// silent connection. It sends at most one.
func (s *stream) cancel(id []byte) {
	if s.cancelled != nil {
		return
	}
	s.cancelled = make(chan struct{})
	safego.Go("cancel", func() {
		defer close(s.cancelled)
		_ = s.frames.Send(&wire.Frame{Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{RequestId: id}}})
	})
}

// close closes the stream once its Cancel frame, if any, was written or
// cancelTimeout has elapsed.
func (s *stream) close() {
	if s.cancelled == nil {
		_ = s.frames.Close()
		return
	}
	go func() {
		timer := time.NewTimer(cancelTimeout)
		defer timer.Stop()
		select {
		case <-s.cancelled:
		case <-timer.C:
		}
		_ = s.frames.Close()
	}()
}

// resolve sends a Resolve and waits for the Resolution.
func (s *stream) resolve(ctx context.Context, r *wire.Resolve) (*wire.Resolution, error) {
	answers := make(chan *wire.Resolution, 1)
	safego.Go("resolve", func() {
		defer close(answers)
		if s.frames.Send(&wire.Frame{Body: &wire.Frame_Resolve{Resolve: r}}) != nil {
			return
		}
		frame, err := s.frames.Receive()
		if err == nil && frame.GetResolution() != nil {
			answers <- frame.GetResolution()
		}
	})
	select {
	case answer, ok := <-answers:
		if !ok {
			return nil, eris.New("stream ended without a resolution")
		}
		return answer, nil
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "wait for resolution")
	}
}
