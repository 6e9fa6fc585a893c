package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/callerconn"
	"pistachioroad.dev/pistachioroad/internal/closeframed"
	"pistachioroad.dev/pistachioroad/internal/decide/shutdown"
	"pistachioroad.dev/pistachioroad/internal/entry/api"
	"pistachioroad.dev/pistachioroad/internal/graceful"
	"pistachioroad.dev/pistachioroad/internal/membudget"
	"pistachioroad.dev/pistachioroad/internal/serverlog"
	"pistachioroad.dev/pistachioroad/internal/settings"
)

// callerServer is the duty that serves the callers' HTTP connections.
type callerServer struct {
	listener net.Listener
	api      *api.API
	server   *http.Server
	conns    *callerconn.Conns
	// stopping is closed when the shutdown begins. served receives the result of server.Serve
	// after that.
	stopping chan struct{}
	served   chan error
}

func newCallerServer(listener net.Listener, s *settings.Entry, a *api.API, memory membudget.Plan) *callerServer {
	return &callerServer{
		listener: listener,
		api:      a,
		server: &http.Server{
			Handler: closeframed.Handler(a.Handler()),
			ConnContext: func(ctx context.Context, c net.Conn) context.Context {
				return callerconn.ConnContext(closeframed.ConnContext(ctx, c), c)
			},
			ConnState:         callerconn.ConnStateChanged,
			ReadHeaderTimeout: s.Limits.HeaderTimeout,
			IdleTimeout:       s.Limits.IdleTimeout,
			MaxHeaderBytes:    s.Limits.HeaderBytes,
			ErrorLog:          serverlog.New("callers"),
		},
		conns: callerconn.New(callerconn.Config{
			HeaderTimeout: s.Limits.HeaderTimeout,
			Closed:        metrics.GetOrRegisterCounter("api.idle_connections_closed", nil),
			Evicted:       metrics.GetOrRegisterCounter("api.connections.evicted", nil),
			Heads:         membudget.New("api.heads.bytes", memory.Heads),
			HeadsRejected: metrics.GetOrRegisterCounter("api.heads.out_of_memory", nil),
		}),
		stopping: make(chan struct{}),
		served:   make(chan error, 1),
	}
}

// makeRoom closes a connection in favour of one that waits for the limit of connections.
func (c *callerServer) makeRoom() {
	if now := time.Now(); !c.conns.Evict(now) {
		c.api.EvictSlowest(now)
	}
}

// String returns the name of the duty.
func (c *callerServer) String() string { return "callers" }

// Serve accepts connections until the server is shut down, then waits for the end
// of ctx.
func (c *callerServer) Serve(ctx context.Context) error {
	err := c.server.Serve(c.conns.Listen(c.listener))
	select {
	case <-c.stopping:
		c.served <- err
		<-ctx.Done()
		return ctx.Err()
	default:
		return eris.Wrap(err, "serve callers")
	}
}

// shutDown finishes the requests. The load balancer keeps sending new ones for lag, and timeout
// limits the time after that. It is called once.
func (c *callerServer) shutDown(lag, timeout time.Duration) {
	began := time.Now()
	exit := began.Add(lag + timeout)
	schedule := shutdown.New(began, exit.Add(-graceful.EndMargin), lag)
	c.api.ShutDown(schedule)
	close(c.stopping)
	server := graceful.Server{Listener: c.listener, Served: c.served, Conns: c.conns, Requests: c.api.Open()}
	server.LogStart()
	if err := server.ShutDown(schedule, exit); err != nil {
		log.WithError(err).Warn("cannot close the listener for callers")
	}
	_ = c.server.Close()
}

// Dump returns the state of the duty for the operator API.
func (c *callerServer) Dump(context.Context) any {
	return struct {
		InFlight int `json:"in_flight"`
	}{c.api.InFlight()}
}
