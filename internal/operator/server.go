// Package operator implements the operator API of a process: health, readiness,
// metrics, a dump of its state and a log of its decisions. An entry also serves
// the configuration and status of the fleet.
package operator

import (
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/callerconn"
	"pistachioroad.dev/pistachioroad/internal/explain"
	"pistachioroad.dev/pistachioroad/internal/limitlistener"
	"pistachioroad.dev/pistachioroad/internal/serverlog"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// Limits of the operator API. They are tight because it has few users.
const (
	headerTimeout   = 5 * time.Second
	requestTimeout  = 30 * time.Second
	idleTimeout     = 60 * time.Second
	shutdownTimeout = 2 * time.Second
	maxHeaderBytes  = 16 << 10
	// maxConnections limits the connections of operators, programs that collect metrics and
	// processes that ask for others' dumps.
	maxConnections = 256
	receiveBuffer  = 16 << 10
	minTokenLength = 16

	defaultEditTimeout = 10 * time.Second
)

// Config configures the listener and authentication of the API.
type Config struct {
	// Address is the IP:PORT to listen on. Callers must not be able to reach it.
	Address string
	// TokenFile is the path of the file with the bearer token, which must have
	// at least 16 characters.
	TokenFile string
	// EditTimeout bounds the time to apply an edit, including the time to
	// resolve an unknown outcome. 0 means 10 s: longer than a brief outage of
	// the store, but acceptable for an operator who waits.
	EditTimeout time.Duration
}

// Sources provide the data that the API serves. Every function may be called
// from any goroutine and must return a copy, not state that a duty modifies.
type Sources struct {
	// Process is the name of the process.
	Process string
	// Ready returns nil if the process accepts requests, otherwise the reason
	// why not. A nil Ready means always ready.
	Ready func() error
	// Metrics is the registry for /metrics; nil means metrics.DefaultRegistry.
	Metrics metrics.Registry
	// Duties maps the name of each duty to the function that returns its state.
	Duties map[string]DumpFunc
	// Explain is the log of decisions of the process; it may be nil.
	Explain *explain.Log
	// Fleet and Store are set on an entry and nil on a sidecar.
	Fleet Fleet
	Store sharedstate.Store
}

// Server serves the operator API. It is a suture service.
type Server struct {
	config  Config
	token   string
	sources Sources
	dumper  *dumper
	peers   *peerClient
	handler http.Handler
}

// NewServer reads the token and builds the API. It does not start to listen.
func NewServer(config Config, sources Sources) (*Server, error) {
	token, err := ReadToken(config.TokenFile)
	if err != nil {
		return nil, err
	}
	if config.EditTimeout == 0 {
		config.EditTimeout = defaultEditTimeout
	}
	if sources.Metrics == nil {
		sources.Metrics = metrics.DefaultRegistry
	}
	if sources.Ready == nil {
		sources.Ready = func() error { return nil }
	}
	s := &Server{
		config:  config,
		token:   token,
		sources: sources,
		dumper:  newDumper(sources.Duties),
		peers:   newPeerClient(token),
	}
	s.handler = s.routes()
	return s, nil
}

// ReadToken reads the operator token from a file and checks its length.
func ReadToken(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", eris.Wrap(err, "read operator token")
	}
	token := strings.TrimSpace(string(data))
	if len(token) < minTokenLength {
		return "", eris.Errorf("operator token in %s has %d characters, want at least %d",
			path, len(token), minTokenLength)
	}
	return token, nil
}

// String returns the name of the service in the supervisor's log.
func (s *Server) String() string { return "operator" }

// Handler returns the handler of the API, including authentication.
func (s *Server) Handler() http.Handler { return s.handler }

// Serve serves the API until ctx is done.
func (s *Server) Serve(ctx context.Context) error {
	listener, err := limitlistener.Listen(s.config.Address, maxConnections, receiveBuffer)
	if err != nil {
		return eris.Wrap(err, "listen on the operator address")
	}
	return s.serve(ctx, listener)
}

// serve does not use http.Server.Shutdown, which drops requests that it has just read.
func (s *Server) serve(ctx context.Context, listener net.Listener) error {
	conns := callerconn.New(callerconn.Config{
		HeaderTimeout: headerTimeout,
		Closed:        metrics.GetOrRegisterCounter("operator.idle_connections_closed", nil),
		Evicted:       metrics.GetOrRegisterCounter("operator.connections.evicted", nil),
	})
	if limited, ok := listener.(*limitlistener.Listener); ok {
		limited.Full = func() { conns.Evict(time.Now()) }
	}
	server := &http.Server{
		Handler:           closeWhenDone(ctx, s.handler),
		ConnState:         callerconn.ConnStateChanged,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          serverlog.New("operator"),
	}
	defer server.Close()
	served := make(chan error, 1)
	go func() { served <- server.Serve(conns.Listen(listener)) }()
	select {
	case err := <-served:
		return eris.Wrap(err, "serve the operator API")
	case <-ctx.Done():
	}
	// Requests in flight may finish: a dump taken now is often the last information that an
	// operator gets about the process.
	if err := conns.StopListening(listener, served); err != nil {
		log.WithError(err).Warn("cannot close the operator listener")
	}
	if !conns.DrainUntil(time.Now().Add(shutdownTimeout)) {
		log.WithField("connections", conns.Count()).Warn("operator connections closed at the end of the process")
	}
	return ctx.Err()
}

// closeWhenDone returns a handler whose responses close their connections once ctx is done.
func closeWhenDone(ctx context.Context, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&callerconn.Writer{ResponseWriter: w, Closing: func() bool { return ctx.Err() != nil }}, r)
	})
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	config := huma.DefaultConfig("pistachioroad operator API", "1")
	// The documentation page loads scripts from the internet, which the VMs
	// cannot reach. The schema is still served at /openapi.json.
	config.DocsPath = ""
	config.SchemasPath = ""
	config.CreateHooks = nil
	api := humago.New(mux, config)
	s.registerProcess(api)
	if s.sources.Fleet != nil {
		s.registerFleet(api)
	}
	return requireToken(s.token, mux)
}
