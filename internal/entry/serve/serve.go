// Package serve carries one request through its attempts: it drives the state
// machine of package call with the router, the links and the caller.
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

// Server serves requests. Any goroutine may call it.
type Server struct {
	router  *router.Router
	pool    *links.Pool
	explain *explain.Log
}

// NewServer returns a Server.
func NewServer(r *router.Router, pool *links.Pool, explain *explain.Log) *Server {
	return &Server{router: r, pool: pool, explain: explain}
}

var (
	requests  = metrics.GetOrRegisterCounter("entry.requests", nil)
	succeeded = metrics.GetOrRegisterCounter("entry.requests.succeeded", nil)
	inFlight  = metrics.GetOrRegisterCounter("entry.requests.in_flight", nil)
	// firstPiece is the time to the first piece of an attempt's answer, duration
	// that of whole answers; both from the admission.
	firstPiece = metrics.GetOrRegisterTimer("entry.requests.first_piece", nil)
	duration   = metrics.GetOrRegisterTimer("entry.requests.duration", nil)
	panics     = metrics.GetOrRegisterCounter("entry.requests.panics", nil)
	failed     = map[verdict.Verdict]metrics.Counter{
		verdict.NotRun:     metrics.GetOrRegisterCounter("entry.requests.failed.not_run", nil),
		verdict.MayHaveRun: metrics.GetOrRegisterCounter("entry.requests.failed.may_have_run", nil),
		verdict.Ran:        metrics.GetOrRegisterCounter("entry.requests.failed.ran", nil),
	}
)

// Do serves one request to its end. The end of ctx says that the caller is
// gone.
func (s *Server) Do(ctx context.Context, request *Request, sink Sink) {
	requests.Inc(1)
	inFlight.Inc(1)
	defer inFlight.Dec(1)
	routing := request.routing()
	first, err := s.router.Admit(ctx, routing)
	if err != nil {
		fail(sink, err)
		return
	}
	r := newRun(s, request, routing, sink)
	r.firstRoute = first
	defer func() { s.router.Finish(routing, r.succeeded) }()
	defer r.close()
	defer r.recoverPanic()
	r.loop(ctx)
}

func fail(sink Sink, err *verdict.Error) {
	failed[err.Verdict].Inc(1)
	sink.Fail(err)
}

// recoverPanic gives the caller a verdict when the program has a fault. The
// request may have been sent by then.
func (r *run) recoverPanic() {
	fault := recover()
	if fault == nil {
		return
	}
	panics.Inc(1)
	log.WithField("request", r.routing.ID).WithField("stack", string(debug.Stack())).Errorf("panic: %v", fault)
	v := verdict.Worst(r.machine.Verdict(), verdict.MayHaveRun)
	if !r.answered {
		fail(r.sink, verdict.New(v, verdict.CodeInternal, "internal fault"))
	}
}

// loop feeds the machine until the request has ended.
func (r *run) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	r.step(ctx, call.Begin{})
	for !r.machine.Ended() {
		timer.Reset(time.Until(r.machine.NextTimer()))
		select {
		case p := <-r.inbox:
			r.receive(ctx, p)
		case <-r.silent:
			r.silent = nil
			r.attemptFailed()
			r.step(ctx, call.LinkSilent{Attempt: r.machine.Attempt()})
		case <-timer.C:
			r.step(ctx, call.Timer{})
		case <-ctx.Done():
			r.step(ctx, call.CallerDisconnected{})
		}
	}
}
