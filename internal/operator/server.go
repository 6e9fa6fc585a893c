// Package operator serves the operator API of a process: health, metrics, the
// dump of its state and its decisions; on an entry also the fleet's
// configuration and status.
package operator

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/explain"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// The limits of the operator API. It has a few users, so they are tight.
const (
	headerTimeout   = 5 * time.Second
	requestTimeout  = 30 * time.Second
	idleTimeout     = 60 * time.Second
	shutdownTimeout = 2 * time.Second
	maxHeaderBytes  = 16 << 10
	minTokenLength  = 16

	defaultEditTimeout = 10 * time.Second
)

// Config says where the API listens and which token it asks for.
type Config struct {
	// Address is an IP number and a port that callers cannot reach.
	Address string
	// TokenFile holds the bearer token, at least 16 characters.
	TokenFile string
	// EditTimeout is how long an edit of unknown outcome is followed; 0: 10 s,
	// which is longer than a short disturbance of the store and shorter than
	// an operator's patience.
	EditTimeout time.Duration
}

// Sources are what the API shows. Every function may be called from any
// goroutine and must return a copy, never state that a duty goes on changing.
type Sources struct {
	// Process is the name of the process.
	Process string
	// Ready returns why the process takes no requests, nil if it does.
	Ready func() error
	// Metrics is what /metrics shows; nil: metrics.DefaultRegistry.
	Metrics metrics.Registry
	// Duties returns the state of each duty, by its name.
	Duties map[string]DumpFunc
	// Explain is the process's log of decisions.
	Explain *explain.Log
	// Fleet and Store belong to an entry; nil on a sidecar.
	Fleet Fleet
	Store sharedstate.Store
}

// Server is the operator API as a suture service.
type Server struct {
	config  Config
	token   string
	sources Sources
	dumper  *dumper
	peers   *peerClient
	handler http.Handler
}

// NewServer reads the token and builds the API. It does not listen yet.
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

// ReadToken reads the operator token from a file.
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

// String names the service in the supervisor's log.
func (s *Server) String() string { return "operator" }

// Handler returns the API with its check of the token.
func (s *Server) Handler() http.Handler { return s.handler }

// Serve listens until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.config.Address)
	if err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	server := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		shutDown(server)
	})
	defer stop()
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-done
		return ctx.Err()
	}
	return eris.Wrap(err, "serve operators")
}

// shutDown lets a running dump finish, for it is often the last that an
// operator sees of a process.
func shutDown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	config := huma.DefaultConfig("pistachioroad operator API", "1")
	// The documentation page loads its scripts from the internet, which the
	// VMs do not reach; the schema itself stays at /openapi.json.
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
