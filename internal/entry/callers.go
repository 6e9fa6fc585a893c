package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/closeframed"
	"pistachioroad.dev/pistachioroad/internal/entry/api"
	"pistachioroad.dev/pistachioroad/internal/serverlog"
	"pistachioroad.dev/pistachioroad/internal/settings"
)

// callerServer is the duty that serves the callers' HTTP connections.
type callerServer struct {
	listener net.Listener
	api      *api.API
	server   *http.Server
}

func newCallerServer(listener net.Listener, s *settings.Entry, a *api.API) *callerServer {
	return &callerServer{
		listener: listener,
		api:      a,
		server: &http.Server{
			Handler:           closeframed.Handler(a.Handler()),
			ConnContext:       closeframed.ConnContext,
			ReadHeaderTimeout: s.Limits.HeaderTimeout,
			IdleTimeout:       s.Limits.IdleTimeout,
			MaxHeaderBytes:    s.Limits.HeaderBytes,
			ErrorLog:          serverlog.New("callers"),
		},
	}
}

// String returns the name of the duty.
func (c *callerServer) String() string { return "callers" }

// Serve accepts connections until the server is shut down, then waits for the end
// of ctx.
func (c *callerServer) Serve(ctx context.Context) error {
	err := c.server.Serve(c.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return eris.Wrap(err, "serve callers")
}

// shutDown stops listening and waits for the requests in flight. After the timeout
// it closes their connections.
func (c *callerServer) shutDown(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := c.server.Shutdown(ctx); err != nil {
		log.WithField("in_flight", c.api.InFlight()).
			Errorf("requests still in flight after the shutdown timeout of %s; closing their connections", timeout)
		_ = c.server.Close()
	}
}

// Dump returns the state of the duty for the operator API.
func (c *callerServer) Dump(context.Context) any {
	return struct {
		InFlight int `json:"in_flight"`
	}{c.api.InFlight()}
}
