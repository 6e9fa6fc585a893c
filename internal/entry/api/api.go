// Package api implements the callers' HTTP API: OpenAI-compatible completions, and
// calls of plain services.
package api

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/callerbody"
	"pistachioroad.dev/pistachioroad/internal/callerconn"
	"pistachioroad.dev/pistachioroad/internal/decide/shutdown"
	"pistachioroad.dev/pistachioroad/internal/durations"
	"pistachioroad.dev/pistachioroad/internal/entry/serve"
	"pistachioroad.dev/pistachioroad/internal/entry/view"
	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/membudget"
	"pistachioroad.dev/pistachioroad/internal/openrequests"
	"pistachioroad.dev/pistachioroad/internal/settings"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	jsonContentType = "application/json"
	// defaultDeadline applies if neither the caller nor the configuration sets a
	// deadline.
	defaultDeadline = 30 * time.Second
	// writeTimeout is how long a caller may take to read one event of a stream, or
	// a whole response that is not streamed. Without it a caller that reads nothing
	// would occupy an engine slot.
	writeTimeout = 15 * time.Second
	// overloadRetryAfter is the Retry-After when too many requests are in flight.
	overloadRetryAfter = time.Second
)

// Executor runs requests.
type Executor interface {
	// Do runs one request and passes its answer to sink. It returns when the
	// request has finished.
	Do(ctx context.Context, request *serve.Request, sink serve.Sink)
}

// API implements the callers' HTTP API.
type API struct {
	settings *settings.Entry
	executor Executor
	views    view.Source

	completions *validator[completionRequest]
	chats       *validator[chatRequest]
	// writeTimeout is the constant, except in tests.
	writeTimeout time.Duration

	inFlight  atomic.Int64
	open      *openrequests.List
	durations *durations.Durations
	bodies    *callerbody.Memory
	// schedule is that of the shutdown; nil before it.
	schedule atomic.Pointer[shutdown.Schedule]
}

var (
	badRequests        = metrics.GetOrRegisterCounter("api.bad_requests", nil)
	inFlightRejections = metrics.GetOrRegisterCounter("api.refused.full", nil)
	brokenStreams      = metrics.GetOrRegisterCounter("api.streams.broken", nil)
)

// bodyCopies is how many copies of a body there are: its bytes, its text, the request and its
// frame on the link.
const bodyCopies = 4

// New returns the API. The memory of a plan limits what callers can make it hold.
func New(s *settings.Entry, executor Executor, views view.Source, memory membudget.Plan) *API {
	// No answers are read ahead here.
	memory.LargeBodies += memory.Answers
	return &API{
		bodies:      callerbody.New("api", memory, bodyCopies),
		settings:    s,
		executor:    executor,
		views:       views,
		completions: newValidator[completionRequest](),
		chats:       newValidator[chatRequest](),

		writeTimeout: writeTimeout,

		open:      openrequests.New("api"),
		durations: durations.New(),
	}
}

// InFlight returns the number of requests in flight.
func (a *API) InFlight() int { return int(a.inFlight.Load()) }

// Handler returns the HTTP handler of all routes.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", a.handle(a.completion))
	mux.HandleFunc("POST /v1/chat/completions", a.handle(a.chat))
	mux.HandleFunc("GET /v1/models", a.handle(a.models))
	mux.HandleFunc(servicesPath+"{service}/{path...}", a.handle(a.service))
	mux.HandleFunc("/v1/completions", a.handle(methodNotAllowed))
	mux.HandleFunc("/v1/chat/completions", a.handle(methodNotAllowed))
	mux.HandleFunc("/", a.handle(notFound))
	return mux
}

// handler handles one HTTP request, which has been given an id.
type handler func(w http.ResponseWriter, r *http.Request, id uuid.UUID)

// handle wraps h: it gives the request an id and rejects it if too many are in
// flight.
func (a *API) handle(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := uuid.Must(uuid.NewV7())
		open := a.open.Add(id.String(), time.Now())
		defer a.open.Remove(open)
		caller := &callerconn.Writer{
			ResponseWriter: w, Closing: a.shuttingDown,
			OnHead:  func() { a.open.Update(func() { open.HeadSent = true }) },
			Request: r,
		}
		defer a.recoverPanic(caller, open)
		w = caller
		w.Header().Set(RequestIDHeader, id.String())
		r = r.WithContext(withOpenRequest(r.Context(), open))
		defer a.inFlight.Add(-1)
		if a.inFlight.Add(1) > int64(a.settings.Limits.InFlight) {
			inFlightRejections.Inc(1)
			writeError(w, id.String(), verdict.NewRejection(verdict.CodeOverloaded, "the entry holds too many requests", overloadRetryAfter))
			return
		}
		h(w, r, id)
	}
}

// EvictSlowest gives up the body that comes most slowly, so that its connection becomes free.
func (a *API) EvictSlowest(now time.Time) { a.bodies.EvictSlowest(now) }

func methodNotAllowed(w http.ResponseWriter, _ *http.Request, id uuid.UUID) {
	w.Header().Set("Allow", http.MethodPost)
	writeErrorStatus(w, id.String(), badRequest("want POST"), http.StatusMethodNotAllowed)
}

func notFound(w http.ResponseWriter, r *http.Request, id uuid.UUID) {
	writeErrorStatus(w, id.String(), badRequest("there is no "+r.URL.Path), http.StatusNotFound)
}

// rejectRequest responds to a request that is invalid or was not fully received.
func rejectRequest(w http.ResponseWriter, id uuid.UUID, err *verdict.Error) {
	if err.Code != verdict.CodeDraining {
		badRequests.Inc(1)
	}
	if err.Code == verdict.CodeSlowBody || err.Code == verdict.CodeTooLarge || err.Code == verdict.CodeOverloaded {
		// The unread rest of the body would be parsed as the next request.
		w.Header().Set("Connection", "close")
	}
	writeError(w, id.String(), err)
}

// configValues returns the fleet configuration values for a service and model.
func (a *API) configValues(service, model string) fleetconfig.Values {
	return a.views.View().ConfigValues(service, model, time.Now())
}

func deadlineOf(values fleetconfig.Values) time.Duration {
	if values.Deadline == nil {
		return defaultDeadline
	}
	return time.Duration(*values.Deadline)
}

func classOf(name string) wire.Class {
	switch name {
	case "interactive":
		return wire.Class_CLASS_INTERACTIVE
	case "batch":
		return wire.Class_CLASS_BATCH
	default:
		return wire.Class_CLASS_NORMAL
	}
}
