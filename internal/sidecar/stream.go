package sidecar

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/link"
	"pistachioroad.dev/pistachioroad/internal/settings"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

type process struct {
	settings    settings.Settings
	incarnation string
	backend     backend
	draining    atomic.Bool
	running     atomic.Int64
	slots       chan struct{}
	waiting     chan struct{}
}

func (p *process) awaitIdle(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for p.running.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
}

func (p *process) serveSession(session *link.Session) {
	defer session.Close()
	for {
		conn, err := session.AcceptStream()
		if err != nil {
			return
		}
		go p.serveStream(conn)
	}
}

func (p *process) serveStream(conn *wire.Conn) {
	defer conn.Close()
	first, err := conn.Receive()
	if err != nil {
		return
	}
	switch body := first.GetBody().(type) {
	case *wire.Frame_Hello:
		p.serveControl(conn)
	case *wire.Frame_Start:
		p.serveRequest(conn, body.Start)
	case *wire.Frame_Resolve:
		_ = conn.Send(&wire.Frame{Body: &wire.Frame_Resolution{Resolution: &wire.Resolution{
			RequestId:   body.Resolve.GetRequestId(),
			Outcome:     wire.Outcome_OUTCOME_MAY_HAVE_RUN,
			Incarnation: p.incarnation,
		}}})
	}
}

func (p *process) serveControl(conn *wire.Conn) {
	_ = conn.Send(&wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{
		Process:       p.settings.Process.Name,
		Incarnation:   p.incarnation,
		BackendServer: p.settings.Process.Name,
		DataCentre:    p.settings.Process.DataCentre,
	}}})
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		for {
			if _, err := conn.Receive(); err != nil {
				return
			}
		}
	}()
	ticker := time.NewTicker(link.HeartbeatInterval)
	defer ticker.Stop()
	for sequence := uint64(1); ; sequence++ {
		heartbeat := &wire.Heartbeat{Sequence: sequence, Draining: p.draining.Load()}
		if conn.Send(&wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: heartbeat}}) != nil {
			return
		}
		if conn.Send(&wire.Frame{Body: &wire.Frame_Load{Load: p.load(sequence)}}) != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-gone:
			return
		}
	}
}

func (p *process) load(sequence uint64) *wire.Load {
	return &wire.Load{
		Sequence:  sequence,
		Running:   uint32(len(p.slots)),
		Queued:    uint32(len(p.waiting)),
		Slots:     uint32(cap(p.slots)),
		Admitting: !p.draining.Load(),
	}
}

func (p *process) serveRequest(conn *wire.Conn, start *wire.Start) {
	p.running.Add(1)
	defer p.running.Add(-1)
	budget := time.Duration(start.GetBudgetUs()) * time.Microsecond
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	go func() {
		defer cancel()
		_, _ = conn.Receive()
	}()
	answer := newAnswer(conn, start)
	final, err := p.admitted(ctx, start, answer)
	if err != nil {
		_ = conn.Send(refusal(start, verdict.Of(err), p.load(0)))
		return
	}
	_ = answer.finish(final)
}

func (p *process) admitted(ctx context.Context, start *wire.Start, answer *answer) (*wire.Final, error) {
	if p.draining.Load() {
		return nil, verdict.Refused(verdict.CodeDraining, "backend server is draining", time.Second)
	}
	select {
	case p.waiting <- struct{}{}:
	default:
		return nil, verdict.Refused(verdict.CodeOverloaded, "queue is full", time.Second)
	}
	select {
	case p.slots <- struct{}{}:
		<-p.waiting
	case <-ctx.Done():
		<-p.waiting
		return nil, verdict.New(verdict.NotRun, verdict.CodeDeadline, "deadline passed in the queue")
	}
	defer func() { <-p.slots }()
	return p.backend.run(ctx, start, answer.chunk)
}

func refusal(start *wire.Start, e *verdict.Error, load *wire.Load) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Refusal{Refusal: &wire.Refusal{
		RequestId:    start.GetRequestId(),
		Attempt:      start.GetAttempt(),
		Verdict:      wire.Verdict(e.Verdict),
		Code:         string(e.Code),
		Message:      e.Message,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
		Load:         load,
	}}}
}

type answer struct {
	conn   *wire.Conn
	start  *wire.Start
	digest *wire.Digest
}

func newAnswer(conn *wire.Conn, start *wire.Start) *answer {
	return &answer{conn: conn, start: start, digest: wire.NewDigest()}
}

func (a *answer) chunk(data []byte, tokens int) error {
	chunk := &wire.Chunk{
		RequestId: a.start.GetRequestId(),
		Attempt:   a.start.GetAttempt(),
		Sequence:  a.digest.Chunks(),
		Data:      data,
		Tokens:    uint32(tokens),
	}
	a.digest.Add(chunk)
	return eris.Wrap(a.conn.Send(&wire.Frame{Body: &wire.Frame_Chunk{Chunk: chunk}}), "chunk")
}

func (a *answer) finish(final *wire.Final) error {
	final.RequestId = a.start.GetRequestId()
	final.Attempt = a.start.GetAttempt()
	final.Chunks = a.digest.Chunks()
	final.Digest = a.digest.Sum()
	return eris.Wrap(a.conn.Send(&wire.Frame{Body: &wire.Frame_Final{Final: final}}), "final")
}
