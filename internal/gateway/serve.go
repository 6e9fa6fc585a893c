package gateway

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
	"pistachioroad.dev/pistachioroad/internal/limitlistener"
	"pistachioroad.dev/pistachioroad/internal/membudget"
	"pistachioroad.dev/pistachioroad/internal/safego"
	"pistachioroad.dev/pistachioroad/internal/serverlog"
)

const (
	// idleSweepInterval is the interval between checks for expired idle connections.
	idleSweepInterval = 500 * time.Millisecond
	// headerTimeout limits how long reading a request's head may take.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes limits the size of a request's head.
	maxHeaderBytes = 64 << 10
)

// Serve serves callers until ctx is done or no more connections can be accepted, which is an
// error. It then waits up to the grace period for requests in flight to finish.
func (g *Gateway) Serve(ctx context.Context) error {
	d := g.deployment.Load()
	listener, err := limitlistener.Listen(d.CallerAddress, g.memory.Connections, g.memory.ReceiveBuffer)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	conns := newCallerConns(g.memory)
	listener.Full = func() {
		if now := time.Now(); !conns.Evict(now) {
			g.bodies.EvictSlowest(now)
		}
	}
	server := newCallerServer(g)
	serveErr := make(chan error, 1)
	go func() {
		serveErr <- safego.RunWithError("accept connections", func() error { return server.Serve(conns.Listen(listener)) })
	}()
	sweep := time.NewTicker(idleSweepInterval)
	defer sweep.Stop()
	for {
		select {
		case err := <-serveErr:
			log.WithField("error", err.Error()).Error("no more connections are accepted")
			// shutDown waits for the end of the server, too.
			serveErr <- err
			_ = g.shutDown(listener, serveErr, conns)
			return eris.Wrap(err, "serve callers")
		case now := <-sweep.C:
			safego.Run("close expired connections", func() { g.closeExpired(now, conns) })
		case <-ctx.Done():
			return g.shutDown(listener, serveErr, conns)
		}
	}
}

// closeExpired closes the idle connections that have expired.
func (g *Gateway) closeExpired(now time.Time, conns *callerconn.Conns) {
	g.transport.CloseExpired(now)
	if t := g.directory.View().Table; t != nil && t.Limits.IdleTimeout > 0 {
		conns.CloseExpired(now, t.Limits.IdleTimeout, g.configApplyTime())
	}
}

func newCallerConns(p membudget.Plan) *callerconn.Conns {
	return callerconn.New(callerconn.Config{
		HeaderTimeout: headerTimeout,
		Closed:        metrics.GetOrRegisterCounter("gateway.idle_connections_closed", nil),
		Evicted:       metrics.GetOrRegisterCounter("gateway.connections.evicted", nil),
		Heads:         membudget.New("gateway.heads.bytes", p.Heads),
		HeadsRejected: metrics.GetOrRegisterCounter("gateway.heads.out_of_memory", nil),
	})
}

// newCallerServer returns a server for the connections of newCallerConns.
func newCallerServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           closeframed.Handler(h),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         callerconn.ConnStateChanged,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return callerconn.ConnContext(closeframed.ConnContext(ctx, c), c)
		},
		ErrorLog: serverlog.New("callers"),
	}
}

// Ready reports whether the gateway should receive requests: it is not shutting
// down and knows the configuration and the servers.
func (g *Gateway) Ready() bool {
	v := g.directory.View()
	return !g.shuttingDown() && v.Table != nil && (!v.ServersConfirmedAt.IsZero() || len(v.Servers) > 0)
}
