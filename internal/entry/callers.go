package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"golang.org/x/net/netutil"

	"pistachioroad.dev/pistachioroad/internal/entry/api"
	"pistachioroad.dev/pistachioroad/internal/settings"
)

// callers is the duty that takes the callers' connections.
type callers struct {
	listener net.Listener
	api      *api.API
	server   *http.Server
}

func newCallersServer(listener net.Listener, s *settings.Entry, a *api.API) *callers {
	return &callers{
		listener: netutil.LimitListener(listener, s.Limits.Connections),
		api:      a,
		server: &http.Server{
			Handler:           a.Handler(),
			ReadHeaderTimeout: s.Limits.HeaderTimeout,
			IdleTimeout:       s.Limits.IdleTimeout,
			MaxHeaderBytes:    s.Limits.HeaderBytes,
		},
	}
}

// String names the duty.
func (c *callers) String() string { return "callers" }

// Serve takes connections until the server is shut down.
func (c *callers) Serve(ctx context.Context) error {
	err := c.server.Serve(c.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return eris.Wrap(err, "serve callers")
}

// finish stops listening and waits for the requests in flight.
func (c *callers) finish(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := c.server.Shutdown(ctx); err != nil {
		log.WithField("in_flight", c.api.InFlight()).Error("requests outlasted the shutdown timeout")
		_ = c.server.Close()
	}
}

// Dump returns the state of the duty.
func (c *callers) Dump(context.Context) any {
	return struct {
		InFlight int `json:"in_flight"`
	}{c.api.InFlight()}
}
