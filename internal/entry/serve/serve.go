// Package serve executes requests: it drives the state machine of package call
// and connects it to the router, the links to the sidecars, and the caller.
package serve

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/entry/call"
	"pistachioroad.dev/pistachioroad/internal/entry/links"
	"pistachioroad.dev/pistachioroad/internal/entry/router"
	"pistachioroad.dev/pistachioroad/internal/explain"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// Server serves requests. It is safe for concurrent use.
type Server struct {
	router  *router.Router
	pool    *links.Pool
	explain *explain.Log
}

// NewServer returns a Server that routes with r, sends over the links of pool and
// adds its decisions to explain.
func NewServer(r *router.Router, pool *links.Pool, explain *explain.Log) *Server {
	return &Server{router: r, pool: pool, explain: explain}
}

var (
	requests  = metrics.GetOrRegisterCounter("entry.requests", nil)
	succeeded = metrics.GetOrRegisterCounter("entry.requests.succeeded", nil)
	inFlight  = metrics.GetOrRegisterCounter("entry.requests.in_flight", nil)
	// timeToFirstChunk measures the time to the first chunk of each attempt,
	// duration the time to the complete answer; both from the admission.
	timeToFirstChunk = metrics.GetOrRegisterTimer("entry.requests.first_piece", nil)
	duration         = metrics.GetOrRegisterTimer("entry.requests.duration", nil)
	panics           = metrics.GetOrRegisterCounter("entry.requests.panics", nil)
	failed           = map[verdict.Verdict]metrics.Counter{
		verdict.NotRun:     metrics.GetOrRegisterCounter("entry.requests.failed.not_run", nil),
		verdict.MayHaveRun: metrics.GetOrRegisterCounter("entry.requests.failed.may_have_run", nil),
		verdict.Ran:        metrics.GetOrRegisterCounter("entry.requests.failed.ran", nil),
	}
)

// Do serves one request and returns when it has finished. Cancelling ctx means
// that the caller has disconnected.
func (s *Server) Do(ctx context.Context, request *Request, sink Sink) {
	requests.Inc(1)
	inFlight.Inc(1)
	defer inFlight.Dec(1)
	routing := request.routing()
	first, err := s.router.Admit(ctx, routing)
	if err != nil {
		reportFailure(sink, err)
		return
	}
	r := newRun(s, request, routing, sink)
	r.firstRoute = first
	defer func() { s.router.Finish(routing, r.succeeded) }()
	defer r.close()
	defer r.recoverPanic()
	r.loop(ctx)
}

func reportFailure(sink Sink, err *verdict.Error) {
	failed[err.Verdict].Inc(1)
	sink.Fail(err)
}

// recoverPanic reports a panic to the caller as an internal error. The verdict is
// at least that the request may have run, since an attempt may have been sent.
func (r *run) recoverPanic() {
	fault := recover()
	if fault == nil {
		return
	}
	panics.Inc(1)
	log.WithField("request", r.routing.ID).WithField("stack", string(debug.Stack())).Errorf("panic: %v", fault)
	v := verdict.Worst(r.machine.Verdict(), verdict.MayHaveRun)
	if !r.outcomeReported {
		reportFailure(r.sink, verdict.New(v, verdict.CodeInternal, "internal fault"))
	}
}

// loop feeds events to the machine until the request has finished.
func (r *run) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	r.step(ctx, call.Begin{})
	for !r.machine.Finished() {
		timer.Reset(time.Until(r.machine.NextTimer()))
		select {
		case ev := <-r.inbox:
			r.handle(ctx, ev)
		case <-r.linkSilent:
			r.linkSilent = nil
			r.recordFailure()
			r.step(ctx, call.LinkSilent{Attempt: r.machine.Attempt()})
		case <-timer.C:
			r.step(ctx, call.Timer{})
		case <-ctx.Done():
			r.step(ctx, call.CallerDisconnected{})
		case <-r.request.End:
			r.step(ctx, call.ShutDown{})
		}
	}
}
