package sidecar

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"

	"pistachioroad.dev/pistachioroad/internal/link"
	"pistachioroad.dev/pistachioroad/internal/pause"
	"pistachioroad.dev/pistachioroad/internal/safego"
	"pistachioroad.dev/pistachioroad/internal/sidecar/requests"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	// maxSessions limits the connections. Each entry of the fleet has one, and
	// opens a second one when the first is unresponsive.
	maxSessions = 1024
	// maxStreams limits the streams of all connections whose last frame is not
	// sent yet.
	maxStreams = 4096
	// maxSilentTicks is the number of ticks without a frame after which a
	// connection is closed. Counting ticks leaves out the time that this process
	// was paused and could not receive frames.
	maxSilentTicks   = 10
	sessionTick      = time.Second
	acceptBackoff    = 50 * time.Millisecond
	sentPollInterval = 10 * time.Millisecond
)

var (
	silentSessions   = metrics.GetOrRegisterCounter("links.silent", nil)
	rejectedSessions = metrics.GetOrRegisterCounter("links.refused", nil)
)

// linksDuty accepts the connections of entries and serves their streams.
type linksDuty struct {
	listener net.Listener
	requests *requestsDuty
	control  *controlDuty

	sessions atomic.Int64
	streams  atomic.Int64
	// unfinished counts the attempts and Resolves whose last frame is not sent.
	unfinished atomic.Int64
	// received counts the attempts and Resolves, and numbers their streams.
	received atomic.Uint64
}

func newLinks(i do.Injector) (*linksDuty, error) {
	return &linksDuty{
		listener: do.MustInvoke[net.Listener](i),
		requests: do.MustInvoke[*requestsDuty](i),
		control:  do.MustInvoke[*controlDuty](i),
	}, nil
}

// String names the duty.
func (d *linksDuty) String() string { return "links" }

// Serve accepts connections until ctx is done.
func (d *linksDuty) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = d.listener.Close() })
	defer stop()
	for {
		conn, err := d.listener.Accept()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, net.ErrClosed):
			return eris.Wrap(err, "accept link connections")
		case err != nil:
			// For example, too many open files. Without a backoff the loop
			// would use a core that the backend server needs.
			log.WithError(err).Warn("cannot accept link connection")
			time.Sleep(acceptBackoff)
		default:
			d.accept(ctx, conn)
		}
	}
}

func (d *linksDuty) accept(ctx context.Context, conn net.Conn) {
	if d.sessions.Load() >= maxSessions {
		rejectedSessions.Inc(1)
		_ = conn.Close()
		return
	}
	session, err := link.Accept(conn)
	if err != nil {
		_ = conn.Close()
		return
	}
	d.sessions.Add(1)
	safego.Go("link", func() {
		defer d.sessions.Add(-1)
		d.serveSession(ctx, session)
	})
}

// session is one connection.
type session struct {
	*link.Session
	receivedFrame atomic.Bool
}

func (d *linksDuty) serveSession(ctx context.Context, l *link.Session) {
	s := &session{Session: l}
	defer s.Close()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	go s.closeWhenSilent()
	var streams sync.WaitGroup
	defer streams.Wait()
	for {
		conn, err := s.AcceptStream()
		if err != nil {
			return
		}
		if d.unfinished.Load() >= maxStreams {
			_ = conn.Close()
			continue
		}
		d.streams.Add(1)
		streams.Go(func() {
			defer d.streams.Add(-1)
			safego.Run("stream", func() { d.serveStream(ctx, s, conn) })
		})
	}
}

// closeWhenSilent closes the connection after maxSilentTicks without a frame.
//
// An entry that vanishes without closing leaves a connection that never fails,
// with requests that nobody waits for. Without this check the backend server
// would stay busy with them.
func (s *session) closeWhenSilent() {
	ticker := time.NewTicker(sessionTick)
	defer ticker.Stop()
	silent := 0
	for {
		select {
		case <-s.Done():
			return
		case <-ticker.C:
		}
		silent++
		if s.receivedFrame.Swap(false) {
			silent = 0
		}
		if silent >= maxSilentTicks {
			silentSessions.Inc(1)
			_ = s.Close()
			return
		}
	}
}

// receive reads a frame and records that the entry is responsive.
func (s *session) receive(conn *wire.Conn) (*wire.Frame, error) {
	frame, err := conn.Receive()
	if err == nil {
		s.receivedFrame.Store(true)
	}
	return frame, err
}

func (d *linksDuty) serveStream(ctx context.Context, s *session, conn *wire.Conn) {
	defer conn.Close()
	first, err := s.receive(conn)
	if err != nil {
		return
	}
	if hello := first.GetHello(); hello != nil {
		d.control.serve(ctx, s, conn, hello)
		return
	}
	number := requests.Stream(d.received.Add(1))
	event, ok := requests.FirstFrameEvent(number, first, clock())
	if !ok {
		return
	}
	d.serveRequest(ctx, s, newStream(number, conn), event)
}

// serveRequest serves one attempt or Resolve until both directions of its stream
// are closed.
func (d *linksDuty) serveRequest(ctx context.Context, s *session, st *stream, event requests.Event) {
	if !d.requests.open(st, event) {
		// The inbox is full and the frame is dropped unprocessed. Closing the
		// stream makes the entry send a Resolve, which records "not run".
		return
	}
	d.unfinished.Add(1)
	safego.Go("stream", func() {
		defer d.unfinished.Add(-1)
		st.write(s.Done())
	})
	for {
		frame, err := s.receive(st.conn)
		if err != nil {
			break
		}
		if later, ok := requests.LaterFrameEvent(st.number, frame); ok {
			d.requests.post(ctx, later)
		}
	}
	d.requests.post(ctx, requests.StreamClosed{Stream: st.number})
	<-st.done
}

// awaitNoArrivals waits until no attempt or Resolve has arrived for the given
// time.
func (d *linksDuty) awaitNoArrivals(ctx context.Context, quiet time.Duration) {
	for {
		previous := d.received.Load()
		if !pause.Sleep(ctx, quiet) {
			return
		}
		if d.received.Load() == previous {
			return
		}
	}
}

// awaitSent waits until the last frames of all streams are sent.
func (d *linksDuty) awaitSent(ctx context.Context) {
	ticker := time.NewTicker(sentPollInterval)
	defer ticker.Stop()
	for d.unfinished.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// linksDump is the state of the duty for operators.
type linksDump struct {
	Sessions int64 `json:"sessions"`
	Streams  int64 `json:"streams"`
	Waiting  int64 `json:"waiting"`
}

// Dump returns the state of the duty.
func (d *linksDuty) Dump(context.Context) any {
	return linksDump{Sessions: d.sessions.Load(), Streams: d.streams.Load(), Waiting: d.unfinished.Load()}
}
