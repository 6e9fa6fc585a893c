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
	"pistachioroad.dev/pistachioroad/internal/sidecar/requests"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	// maxSessions bounds the connections: each entry of the fleet has one, and
	// a second beside a silent one.
	maxSessions = 1024
	// maxStreams bounds the streams of all connections that wait for their last
	// frame.
	maxStreams = 4096
	// silentTicks is after how many ticks without a frame a connection is
	// closed. Ticks that a paused process missed do not count: its entries
	// were not silent.
	silentTicks  = 10
	sessionTick  = time.Second
	acceptPause  = 50 * time.Millisecond
	sentPollTime = 10 * time.Millisecond
)

var (
	silentSessions  = metrics.GetOrRegisterCounter("links.silent", nil)
	refusedSessions = metrics.GetOrRegisterCounter("links.refused", nil)
)

// linksDuty takes the connections of entries and their streams.
type linksDuty struct {
	listener net.Listener
	requests *requestsDuty
	control  *controlDuty

	sessions atomic.Int64
	streams  atomic.Int64
	// waiting counts the attempts and questions whose last frame is not sent.
	waiting atomic.Int64
	// numbers counts the attempts and questions that came.
	numbers atomic.Uint64
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

// Serve takes connections until ctx ends.
func (d *linksDuty) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = d.listener.Close() })
	defer stop()
	for {
		conn, err := d.listener.Accept()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, net.ErrClosed):
			return eris.Wrap(err, "accept")
		case err != nil:
			// Too many open files, for one; pass after pass would burn the
			// core that the backend server needs.
			log.WithError(err).Warn("accept link")
			time.Sleep(acceptPause)
		default:
			d.take(ctx, conn)
		}
	}
}

func (d *linksDuty) take(ctx context.Context, conn net.Conn) {
	if d.sessions.Load() >= maxSessions {
		refusedSessions.Inc(1)
		_ = conn.Close()
		return
	}
	session, err := link.Accept(conn)
	if err != nil {
		_ = conn.Close()
		return
	}
	d.sessions.Add(1)
	go func() {
		defer d.sessions.Add(-1)
		d.serveSession(ctx, session)
	}()
}

// session is one connection.
type session struct {
	*link.Session
	heard atomic.Bool
}

func (d *linksDuty) serveSession(ctx context.Context, l *link.Session) {
	s := &session{Session: l}
	defer s.Close()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	go s.watch()
	var streams sync.WaitGroup
	defer streams.Wait()
	for {
		conn, err := s.AcceptStream()
		if err != nil {
			return
		}
		if d.waiting.Load() >= maxStreams {
			_ = conn.Close()
			continue
		}
		d.streams.Add(1)
		streams.Go(func() {
			defer d.streams.Add(-1)
			d.serveStream(ctx, s, conn)
		})
	}
}

// watch closes the connection when its entry is silent for good.
//
// An entry that vanished without closing leaves a connection that neither
// fails nor ends, and requests on it that nobody waits for. One would notice a
// backend server that is busy for callers long gone.
func (s *session) watch() {
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
		if s.heard.Swap(false) {
			silent = 0
		}
		if silent >= silentTicks {
			silentSessions.Inc(1)
			_ = s.Close()
			return
		}
	}
}

// receive reads a frame and notes that the entry is there.
func (s *session) receive(conn *wire.Conn) (*wire.Frame, error) {
	frame, err := conn.Receive()
	if err == nil {
		s.heard.Store(true)
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
	number := requests.Stream(d.numbers.Add(1))
	event, ok := requests.FirstFrame(number, first, clock())
	if !ok {
		return
	}
	d.serveRequest(ctx, s, newStream(number, conn), event)
}

// serveRequest serves one attempt or Resolve until its stream has ended at both
// ends.
func (d *linksDuty) serveRequest(ctx context.Context, s *session, st *stream, event requests.Event) {
	if !d.requests.open(st, event) {
		// Nobody has seen the frame and nobody will: closing the stream lets
		// the entry ask for the outcome, which is recorded then.
		return
	}
	d.waiting.Add(1)
	go func() {
		defer d.waiting.Add(-1)
		st.write(s.Done())
	}()
	for {
		frame, err := s.receive(st.conn)
		if err != nil {
			break
		}
		if later, ok := requests.LaterFrame(st.number, frame); ok {
			d.requests.post(ctx, later)
		}
	}
	d.requests.post(ctx, requests.StreamClosed{Stream: st.number})
	<-st.done
}

// awaitQuiet waits until no attempt or question has come for the time given.
func (d *linksDuty) awaitQuiet(ctx context.Context, quiet time.Duration) {
	for {
		before := d.numbers.Load()
		if !pause.For(ctx, quiet) {
			return
		}
		if d.numbers.Load() == before {
			return
		}
	}
}

// awaitSent waits until the last frames of all streams are sent.
func (d *linksDuty) awaitSent(ctx context.Context) {
	ticker := time.NewTicker(sentPollTime)
	defer ticker.Stop()
	for d.waiting.Load() > 0 {
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
	return linksDump{Sessions: d.sessions.Load(), Streams: d.streams.Load(), Waiting: d.waiting.Load()}
}
