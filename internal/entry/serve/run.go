package serve

import (
	"context"
	"time"

	"pistachioroad.dev/pistachioroad/internal/entry/call"
	"pistachioroad.dev/pistachioroad/internal/entry/router"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// inboxSize bounds the frames that wait for a slow caller; beyond it the
// stream's own flow control holds the sidecar back.
const inboxSize = 16

// run is one request under way. It belongs to the goroutine of loop.
type run struct {
	server  *Server
	request *Request
	routing *router.Request
	sink    Sink
	machine *call.Machine

	inbox chan posted
	done  chan struct{}
	// pending holds events that effects gave rise to at once.
	pending []call.Event
	// firstRoute answers the first Route.
	firstRoute call.Event
	// streams are those of all attempts; the last is the current one's.
	streams map[uint32]*stream
	// silent is closed when the current attempt's connection goes silent.
	silent <-chan struct{}

	beganAt   time.Time
	target    string
	sentAt    time.Time
	began     bool
	answered  bool
	succeeded bool
}

// posted is an event from an attempt's goroutine.
type posted struct {
	event call.Event
	// stream comes with Sent.
	stream *stream
}

func newRun(s *Server, request *Request, routing *router.Request, sink Sink) *run {
	return &run{
		server:  s,
		request: request,
		routing: routing,
		sink:    sink,
		machine: call.New(request.spec()),
		inbox:   make(chan posted, inboxSize),
		done:    make(chan struct{}),
		streams: map[uint32]*stream{},
		beganAt: time.Now(),
	}
}

// post passes an event to the run; false once the run has ended.
func (r *run) post(p posted) bool {
	select {
	case r.inbox <- p:
		return true
	case <-r.done:
		return false
	}
}

// receive notes what an event says about the attempt and passes it on.
func (r *run) receive(ctx context.Context, p posted) {
	switch e := p.event.(type) {
	case call.Sent:
		r.streams[e.Attempt] = p.stream
		if e.Attempt == r.machine.Attempt() {
			r.silent = p.stream.conn.Silent()
		}
	case call.Chunk:
		if e.Attempt == r.machine.Attempt() {
			r.attemptBegan()
		}
	case call.Final:
		if e.Attempt == r.machine.Attempt() {
			r.attemptBegan()
		}
	case call.StreamLost:
		if e.Attempt == r.machine.Attempt() {
			r.attemptFailed()
		}
	case call.Refusal:
		r.refused(e)
	}
	r.step(ctx, p.event)
}

func (r *run) attemptBegan() {
	if r.began {
		return
	}
	r.began = true
	firstPiece.UpdateSince(r.beganAt)
	r.server.router.ReportOutcome(r.routing, r.target, router.Outcome{TimeToFirstPiece: time.Since(r.sentAt)})
}

func (r *run) attemptFailed() {
	r.server.router.ReportOutcome(r.routing, r.target, router.Outcome{TimeToFirstPiece: time.Since(r.sentAt), Failed: true})
}

func (r *run) refused(e call.Refusal) {
	if e.Attempt != r.machine.Attempt() {
		return
	}
	if load := e.Frame.GetLoad(); load != nil {
		r.server.router.UpdateLoad(r.target, load)
	}
	code := verdict.Code(e.Frame.GetCode())
	r.server.router.ReportOutcome(r.routing, r.target, router.Outcome{
		Rejected: e.Frame.GetVerdict() == wire.Verdict_VERDICT_NOT_RUN,
		Failed:   code == verdict.CodeBackendFailed || code == verdict.CodeAnswerBroken,
	})
}

// step feeds one event, and those that its effects give rise to at once.
func (r *run) step(ctx context.Context, event call.Event) {
	r.pending = append(r.pending, event)
	for len(r.pending) > 0 {
		next := r.pending[0]
		r.pending = r.pending[1:]
		for _, effect := range r.machine.Step(time.Now(), next) {
			r.apply(ctx, effect)
		}
	}
}

func (r *run) apply(ctx context.Context, effect call.Effect) {
	switch e := effect.(type) {
	case call.Route:
		r.pending = append(r.pending, r.route(ctx, e))
	case call.SendStart:
		r.sendStart(ctx, e)
	case call.Resolve:
		go r.resolve(ctx, e, r.sentClock(e.Attempt))
	case call.Cancel:
		r.cancel(e)
	case call.Deliver:
		if r.sink.Deliver(e.Data, e.Tokens) != nil {
			r.pending = append(r.pending, call.CallerDisconnected{})
		}
	case call.Finish:
		r.succeeded, r.answered = true, true
		succeeded.Inc(1)
		duration.UpdateSince(r.beganAt)
		r.sink.Finish(e)
	case call.Fail:
		r.answered = true
		fail(r.sink, e.Err)
	case call.Explain:
		r.server.explain.Add(time.Now(), r.routing.ID, e.Decision, e.Reason)
	}
}

// route asks the router, but for the first attempt: admission has answered that.
func (r *run) route(ctx context.Context, e call.Route) call.Event {
	if first := r.firstRoute; first != nil {
		r.firstRoute = nil
		return first
	}
	return r.server.router.Route(ctx, r.routing, e)
}

func (r *run) sendStart(ctx context.Context, e call.SendStart) {
	r.target = e.Server
	r.sentAt = time.Now()
	r.began = false
	r.silent = nil
	go r.attempt(ctx, e)
}

// sentClock returns the clock of the Start frame of an attempt.
func (r *run) sentClock(attempt uint32) int64 {
	if s, ok := r.streams[attempt]; ok {
		return s.clock
	}
	return 0
}

func (r *run) cancel(e call.Cancel) {
	if s, ok := r.streams[e.Attempt]; ok {
		s.cancel(r.request.ID[:])
	}
}

// close ends the streams of all attempts.
func (r *run) close() {
	close(r.done)
	for _, s := range r.streams {
		s.close()
	}
}

// attempt sends one Start and passes on what comes back. It has a goroutine of
// its own because a silent connection blocks both.
func (r *run) attempt(ctx context.Context, e call.SendStart) {
	s, err := r.open(ctx, e.Server)
	if err != nil {
		r.post(posted{event: call.NotSent{Attempt: e.Attempt}})
		return
	}
	start := r.request.start(e)
	// The wait for a link has taken a part of the budget.
	start.BudgetUs = time.Until(r.request.Deadline).Microseconds()
	start.ClockUs = s.conn.PeerClock()
	s.clock = start.ClockUs
	if !r.post(posted{event: call.Sent{Attempt: e.Attempt, Incarnation: s.conn.Incarnation()}, stream: s}) {
		s.close()
		return
	}
	if s.wire.Send(&wire.Frame{Body: &wire.Frame_Start{Start: start}}) == nil {
		r.receiveAll(e.Attempt, s.wire)
	}
	r.post(posted{event: call.StreamLost{Attempt: e.Attempt}})
}

func (r *run) open(ctx context.Context, server string) (*stream, error) {
	conn, err := r.server.pool.Conn(ctx, server)
	if err != nil {
		return nil, err
	}
	w, err := conn.Open()
	if err != nil {
		return nil, err
	}
	return &stream{conn: conn, wire: w}, nil
}

// receiveAll passes on the frames of an attempt until its stream ends.
func (r *run) receiveAll(attempt uint32, w *wire.Conn) {
	for {
		frame, err := w.Receive()
		if err != nil {
			return
		}
		event := eventOf(attempt, frame)
		if event != nil && !r.post(posted{event: event}) {
			return
		}
	}
}

func eventOf(attempt uint32, frame *wire.Frame) call.Event {
	switch body := frame.GetBody().(type) {
	case *wire.Frame_Chunk:
		return call.Chunk{Attempt: attempt, Frame: body.Chunk}
	case *wire.Frame_Final:
		return call.Final{Attempt: attempt, Frame: body.Final}
	case *wire.Frame_Refusal:
		return call.Refusal{Attempt: attempt, Frame: body.Refusal}
	default:
		return nil
	}
}

// resolve asks on the newest connection what became of the request.
func (r *run) resolve(ctx context.Context, e call.Resolve, clock int64) {
	ctx, cancel := context.WithTimeout(ctx, call.ResolveTimeout)
	defer cancel()
	resolution, err := r.ask(ctx, e, clock)
	if err != nil {
		r.post(posted{event: call.ResolveFailed{Attempt: e.Attempt}})
		return
	}
	r.post(posted{event: call.Resolution{Attempt: e.Attempt, Frame: resolution}})
}

func (r *run) ask(ctx context.Context, e call.Resolve, clock int64) (*wire.Resolution, error) {
	s, err := r.open(ctx, e.Server)
	if err != nil {
		return nil, err
	}
	defer s.close()
	return s.resolve(ctx, &wire.Resolve{RequestId: r.request.ID[:], Attempt: e.Attempt, ClockUs: clock})
}
