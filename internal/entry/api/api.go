// Package api is the callers' HTTP API: completions in the OpenAI shape, and
// the plain services.
package api

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/entry/serve"
	"pistachioroad.dev/pistachioroad/internal/entry/view"
	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/settings"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	jsonType = "application/json"
	// defaultDeadline is the time of a request that nothing else names one for.
	defaultDeadline = 30 * time.Second
	// writeTimeout is how long a caller may take to read one piece of an answer,
	// or one that does not stream. A caller that reads nothing would hold a slot
	// of an engine.
	writeTimeout = 15 * time.Second
	// fullRetryAfter is told when the entry holds too many requests.
	fullRetryAfter = time.Second
)

// Doer serves one request to its end.
type Doer interface {
	Do(ctx context.Context, request *serve.Request, sink serve.Sink)
}

// API is the callers' HTTP API.
type API struct {
	settings *settings.Entry
	doer     Doer
	views    view.Source

	completions *validator[completionRequest]
	chats       *validator[chatRequest]
	// writeTimeout is how long a caller may take to read a piece of an answer.
	writeTimeout time.Duration

	inFlight atomic.Int64
	draining atomic.Bool
}

var (
	badRequests   = metrics.GetOrRegisterCounter("api.bad_requests", nil)
	fullRefusals  = metrics.GetOrRegisterCounter("api.refused.full", nil)
	brokenStreams = metrics.GetOrRegisterCounter("api.streams.broken", nil)
)

// New returns the API.
func New(s *settings.Entry, doer Doer, views view.Source) *API {
	return &API{
		settings:    s,
		doer:        doer,
		views:       views,
		completions: newValidator[completionRequest](),
		chats:       newValidator[chatRequest](),

		writeTimeout: writeTimeout,
	}
}

// Drain makes every further answer ask its caller to close the connection, so
// that the balancer's connections move to other entries.
func (a *API) Drain() { a.draining.Store(true) }

// InFlight returns how many requests are being served.
func (a *API) InFlight() int { return int(a.inFlight.Load()) }

// Handler returns the routes.
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

// handler serves one request with its id.
type handler func(w http.ResponseWriter, r *http.Request, id uuid.UUID)

// handle gives the request an id and bounds the requests in flight.
func (a *API) handle(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := uuid.Must(uuid.NewV7())
		w.Header().Set(RequestIDHeader, id.String())
		if a.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		defer a.inFlight.Add(-1)
		if a.inFlight.Add(1) > int64(a.settings.Limits.InFlight) {
			fullRefusals.Inc(1)
			writeError(w, id.String(), verdict.NewRejection(verdict.CodeOverloaded, "the entry holds too many requests", fullRetryAfter))
			return
		}
		h(w, r, id)
	}
}

func methodNotAllowed(w http.ResponseWriter, _ *http.Request, id uuid.UUID) {
	w.Header().Set("Allow", http.MethodPost)
	writeErrorStatus(w, id.String(), badRequest("want POST"), http.StatusMethodNotAllowed)
}

func notFound(w http.ResponseWriter, r *http.Request, id uuid.UUID) {
	writeErrorStatus(w, id.String(), badRequest("there is no "+r.URL.Path), http.StatusNotFound)
}

// refuse answers a request that was not understood.
func refuse(w http.ResponseWriter, id uuid.UUID, err *verdict.Error) {
	badRequests.Inc(1)
	if err.Code == verdict.CodeSlowBody || err.Code == verdict.CodeTooLarge {
		// The rest of the body would be taken for the next request.
		w.Header().Set("Connection", "close")
	}
	writeError(w, id.String(), err)
}

// values returns the fleet configuration for a service and model.
func (a *API) values(service, model string) fleetconfig.Values {
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
