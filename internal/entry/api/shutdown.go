package api

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/callerconn"
	"pistachioroad.dev/pistachioroad/internal/decide/shutdown"
	"pistachioroad.dev/pistachioroad/internal/entry/call"
	"pistachioroad.dev/pistachioroad/internal/entry/serve"
	"pistachioroad.dev/pistachioroad/internal/openrequests"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// shutdownRetryAfter is the Retry-After of requests that the shutdown rejects. Other entries
// take them.
const shutdownRetryAfter = 100 * time.Millisecond

var rejectedByShutdown = metrics.GetOrRegisterCounter("api.rejected_by_shutdown", nil)

// ShutDown begins the shutdown: requests that may outlast the schedule are rejected, and all
// further responses close their connections.
func (a *API) ShutDown(schedule shutdown.Schedule) { a.schedule.Store(&schedule) }

// Open returns the list of the requests that are being handled.
func (a *API) Open() *openrequests.List { return a.open }

func (a *API) shuttingDown() bool { return a.schedule.Load() != nil }

// execute runs the request unless it may outlast the process.
func (a *API) execute(w http.ResponseWriter, r *http.Request, request *serve.Request, sink serve.Sink) {
	route := request.Service
	if request.Generate != nil {
		route += "/" + request.Generate.GetModel()
	}
	began, open := time.Now(), openRequest(r.Context())
	a.open.Update(func() { open.Route = route })
	if !a.acceptedByShutdown(began, request, route) {
		writeError(w, request.ID.String(), shutdownRejection())
		return
	}
	end := make(chan struct{})
	if !a.open.SetEnd(open, sync.OnceFunc(func() { close(end) })) {
		writeError(w, request.ID.String(), shutdownRejection())
		return
	}
	request.End = end
	request.Sent = func(server string) {
		a.open.Update(func() {
			open.Sends++
			open.Server = server
		})
	}
	observed := &outcomeSink{Sink: sink}
	a.executor.Do(r.Context(), request, observed)
	if observed.answered || !time.Now().Before(request.Deadline) {
		a.durations.Observe(route, time.Since(began))
	}
}

// outcomeSink records whether the request has been answered. Failures come sooner than answers
// and do not show how long requests take.
type outcomeSink struct {
	serve.Sink
	answered bool
}

// Finish implements serve.Sink.
func (s *outcomeSink) Finish(f call.Finish) {
	s.answered = f.Final.GetStatus() < http.StatusInternalServerError
	s.Sink.Finish(f)
}

// acceptedByShutdown reports whether the request may run: the process is not shutting down, or
// the request ends before it does.
func (a *API) acceptedByShutdown(now time.Time, request *serve.Request, route string) bool {
	schedule := a.schedule.Load()
	if schedule == nil {
		return true
	}
	expected := a.durations.Long(route)
	if schedule.Accepts(now, shutdown.Request{Deadline: request.Deadline, Expected: expected}) {
		return true
	}
	log.WithFields(log.Fields{
		"request": request.ID.String(), "route": route, "left_ms": schedule.End.Sub(now).Milliseconds(),
		"deadline_ms": request.Deadline.Sub(now).Milliseconds(), "expected_ms": expected.Milliseconds(),
	}).Info("request rejected by the shutdown")
	return false
}

func shutdownRejection() *verdict.Error {
	rejectedByShutdown.Inc(1)
	return verdict.NewRejection(verdict.CodeDraining, "the entry is shutting down", shutdownRetryAfter)
}

// endReadAtShutdown makes the read of the body fail when the open requests are ended.
func (a *API) endReadAtShutdown(w http.ResponseWriter, r *http.Request) {
	if !a.open.SetEnd(openRequest(r.Context()), func() { callerconn.InterruptRead(w) }) {
		callerconn.InterruptRead(w)
	}
}

// openRequestKey is the context key of a request's entry in the list of open requests.
type openRequestKey struct{}

func withOpenRequest(ctx context.Context, open *openrequests.Request) context.Context {
	return context.WithValue(ctx, openRequestKey{}, open)
}

func openRequest(ctx context.Context) *openrequests.Request {
	return ctx.Value(openRequestKey{}).(*openrequests.Request)
}
