package serve

import (
	"context"
	"time"

	"pistachioroad.dev/pistachioroad/internal/entry/call"
	"pistachioroad.dev/pistachioroad/internal/entry/router"
	"pistachioroad.dev/pistachioroad/internal/safego"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// inboxSize limits the events queued for a slow caller. When the inbox is full,
// the flow control of the stream applies back-pressure to the sidecar.
const inboxSize = 16

// run is the state of one request in progress. Goroutines other than that of
// loop use only server, request, inbox and done.
type run struct {
	server  *Server
	request *Request
	routing *router.Request
	sink    Sink
	machine *call.Machine

	inbox chan attemptEvent
	done  chan struct{}
	// pendingEvents are events that resulted from effects and are processed next.
	pendingEvents []call.Event
	// firstRoute is the response to the first Route, known since the admission.
	firstRoute call.Event
	// streams are those of all attempts, by attempt number.
	streams map[uint32]*stream
	// linkSilent is closed when the connection of the current attempt goes silent.
	linkSilent <-chan struct{}

	admittedAt         time.Time
	targetServer       string
	sentAt             time.Time
	firstChunkReceived bool
	outcomeReported    bool
	succeeded          bool
}

// attemptEvent is an event from the goroutine of an attempt.
type attemptEvent struct {
	event call.Event
	// stream is set for Sent only.
	stream *stream
}

func newRun(s *Server, request *Request, routing *router.Request, sink Sink) *run {
	return &run{
		server:     s,
		request:    request,
		routing:    routing,
		sink:       sink,
		machine:    call.New(request.spec()),
		inbox:      make(chan attemptEvent, inboxSize),
		done:       make(chan struct{}),
		streams:    map[uint32]*stream{},
		admittedAt: time.Now(),
	}
}

// post queues an event for loop. It returns false if the run has finished.
func (r *run) post(ev attemptEvent) bool {
	select {
	case r.inbox <- ev:
		return true
	case <-r.done:
		return false
	}
}

// handle records what an event means for the current attempt and passes it to
// the machine.
func (r *run) handle(ctx context.Context, ev attemptEvent) {
	switch e := ev.event.(type) {
	case call.Sent:
		r.streams[e.Attempt] = ev.stream
		if e.Attempt == r.machine.Attempt() {
			r.linkSilent = ev.stream.link.Silent()
		}
	case call.Chunk:
		if e.Attempt == r.machine.Attempt() {
			r.recordFirstChunk()
		}
	case call.Final:
		if e.Attempt == r.machine.Attempt() {
			r.recordFirstChunk()
		}
	case call.StreamLost:
		if e.Attempt == r.machine.Attempt() {
			r.recordFailure()
		}
	case call.Refusal:
		r.recordRefusal(e)
	}
	r.step(ctx, ev.event)
}

func (r *run) recordFirstChunk() {
	if r.firstChunkReceived {
		return
	}
	r.firstChunkReceived = true
	timeToFirstChunk.UpdateSince(r.admittedAt)
	r.server.router.ReportOutcome(r.routing, r.targetServer, router.Outcome{TimeToFirstChunk: time.Since(r.sentAt)})
}

func (r *run) recordFailure() {
	r.server.router.ReportOutcome(r.routing, r.targetServer, router.Outcome{TimeToFirstChunk: time.Since(r.sentAt), Failed: true})
}

func (r *run) recordRefusal(e call.Refusal) {
	if e.Attempt != r.machine.Attempt() {
		return
	}
	if load := e.Frame.GetLoad(); load != nil {
		r.server.router.UpdateLoad(r.targetServer, load)
	}
	code := verdict.Code(e.Frame.GetCode())
	r.server.router.ReportOutcome(r.routing, r.targetServer, router.Outcome{
		Rejected: e.Frame.GetVerdict() == wire.Verdict_VERDICT_NOT_RUN,
		Failed:   code == verdict.CodeBackendFailed || code == verdict.CodeAnswerBroken,
	})
}

// step feeds one event to the machine, followed by the events that its effects
// result in.
func (r *run) step(ctx context.Context, event call.Event) {
	r.pendingEvents = append(r.pendingEvents, event)
	for len(r.pendingEvents) > 0 {
		next := r.pendingEvents[0]
		r.pendingEvents = r.pendingEvents[1:]
		for _, effect := range r.machine.Step(time.Now(), next) {
			r.apply(ctx, effect)
		}
	}
}

func (r *run) apply(ctx context.Context, effect call.Effect) {
	switch e := effect.(type) {
	case call.Route:
		r.pendingEvents = append(r.pendingEvents, r.route(ctx, e))
	case call.SendStart:
		r.sendStart(ctx, e)
	case call.Resolve:
		r.startResolve(ctx, e)
	case call.Cancel:
		r.cancel(e)
	case call.Deliver:
		if r.sink.Deliver(e.Data, e.Tokens) != nil {
			r.pendingEvents = append(r.pendingEvents, call.CallerDisconnected{})
		}
	case call.Finish:
		r.succeeded, r.outcomeReported = true, true
		succeeded.Inc(1)
		duration.UpdateSince(r.admittedAt)
		r.sink.Finish(e)
	case call.Fail:
		r.outcomeReported = true
		reportFailure(r.sink, e.Err)
	case call.Explain:
		r.server.explain.Add(time.Now(), r.routing.ID, e.Decision, e.Reason)
	}
}

// route queries the router, except for the first attempt, which was routed by the
// admission.
func (r *run) route(ctx context.Context, e call.Route) call.Event {
	if first := r.firstRoute; first != nil {
		r.firstRoute = nil
		return first
	}
	return r.server.router.Route(ctx, r.routing, e)
}

func (r *run) sendStart(ctx context.Context, e call.SendStart) {
	r.targetServer = e.Server
	r.sentAt = time.Now()
	r.firstChunkReceived = false
	r.linkSilent = nil
	if r.request.Sent != nil {
		r.request.Sent(e.Server)
	}
	go func() {
		if !completes("attempt", func() { r.runAttempt(ctx, e) }) {
			// The machine ignores NotSent if the attempt was sent.
			r.post(attemptEvent{event: call.NotSent{Attempt: e.Attempt}})
			r.post(attemptEvent{event: call.StreamLost{Attempt: e.Attempt}})
		}
	}()
}

func (r *run) startResolve(ctx context.Context, e call.Resolve) {
	clock := r.startClock(e.Attempt)
	go func() {
		if !completes("resolve", func() { r.resolve(ctx, e, clock) }) {
			r.post(attemptEvent{event: call.ResolveFailed{Attempt: e.Attempt}})
		}
	}()
}

// completes calls f and reports whether it returned without a panic.
func completes(work string, f func()) bool {
	returned := false
	safego.Run(work, func() {
		f()
		returned = true
	})
	return returned
}

// startClock returns the ClockUs of the Start frame of an attempt, or 0 if none
// was sent.
func (r *run) startClock(attempt uint32) int64 {
	if s, ok := r.streams[attempt]; ok {
		return s.startClock
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

// runAttempt sends one Start and posts the received frames. It runs in its own
// goroutine because sending and receiving block on a silent connection.
func (r *run) runAttempt(ctx context.Context, e call.SendStart) {
	s, err := r.openStream(ctx, e.Server)
	if err != nil {
		r.post(attemptEvent{event: call.NotSent{Attempt: e.Attempt}})
		return
	}
	start := r.request.start(e)
	// Waiting for the link has used some of the budget.
	start.BudgetUs = time.Until(r.request.Deadline).Microseconds()
	start.ClockUs = s.link.PeerClock()
	s.startClock = start.ClockUs
	if !r.post(attemptEvent{event: call.Sent{Attempt: e.Attempt, Incarnation: s.link.Incarnation()}, stream: s}) {
		s.close()
		return
	}
	if s.frames.Send(&wire.Frame{Body: &wire.Frame_Start{Start: start}}) == nil {
		r.receiveFrames(e.Attempt, s.frames)
	}
	r.post(attemptEvent{event: call.StreamLost{Attempt: e.Attempt}})
}

func (r *run) openStream(ctx context.Context, server string) (*stream, error) {
	link, err := r.server.pool.Conn(ctx, server)
	if err != nil {
		return nil, err
	}
	frames, err := link.Open()
	if err != nil {
		return nil, err
	}
	return &stream{link: link, frames: frames}, nil
}

// receiveFrames posts the frames of an attempt until its stream ends.
func (r *run) receiveFrames(attempt uint32, frames *wire.Conn) {
	for {
		frame, err := frames.Receive()
		if err != nil {
			return
		}
		event := frameEvent(attempt, frame)
		if event != nil && !r.post(attemptEvent{event: event}) {
			return
		}
	}
}

func frameEvent(attempt uint32, frame *wire.Frame) call.Event {
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

// resolve queries the outcome of the request on the newest connection.
func (r *run) resolve(ctx context.Context, e call.Resolve, clock int64) {
	ctx, cancel := context.WithTimeout(ctx, call.ResolveTimeout)
	defer cancel()
	resolution, err := r.queryOutcome(ctx, e, clock)
	if err != nil {
		r.post(attemptEvent{event: call.ResolveFailed{Attempt: e.Attempt}})
		return
	}
	r.post(attemptEvent{event: call.Resolution{Attempt: e.Attempt, Frame: resolution}})
}

func (r *run) queryOutcome(ctx context.Context, e call.Resolve, clock int64) (*wire.Resolution, error) {
	s, err := r.openStream(ctx, e.Server)
	if err != nil {
		return nil, err
	}
	defer s.close()
	return s.resolve(ctx, &wire.Resolve{RequestId: r.request.ID[:], Attempt: e.Attempt, ClockUs: clock})
}
