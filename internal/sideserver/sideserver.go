// Package sideserver serves the addresses of a process that are not for callers, such as those
// for readiness, metrics and state. What a client of them can make the process hold is limited.
package sideserver

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/callerconn"
	"pistachioroad.dev/pistachioroad/internal/limitlistener"
	"pistachioroad.dev/pistachioroad/internal/serverlog"
)

// The limits of a server. Requests have no bodies, and a client that is not a part of the
// installation has no business there.
const (
	maxConnections    = 128
	receiveBuffer     = 8 << 10
	maxHeaderBytes    = 8 << 10
	readHeaderTimeout = 5 * time.Second
	requestTimeout    = 10 * time.Second
	idleTimeout       = 60 * time.Second
)

// Serve serves h at a TCP address until ctx is done. name identifies the server in the log and in
// the metrics.
func Serve(ctx context.Context, name, address string, h http.Handler) error {
	listener, err := limitlistener.Listen(address, maxConnections, receiveBuffer)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	conns := callerconn.New(callerconn.Config{
		HeaderTimeout: readHeaderTimeout,
		Closed:        metrics.GetOrRegisterCounter(name+".idle_connections_closed", nil),
		Evicted:       metrics.GetOrRegisterCounter(name+".connections.evicted", nil),
	})
	listener.Full = func() { conns.Evict(time.Now()) }
	server := &http.Server{
		Handler: h, ConnState: callerconn.ConnStateChanged, ErrorLog: serverlog.New(name), MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, IdleTimeout: idleTimeout,
	}
	defer context.AfterFunc(ctx, func() {
		// Closing does not wait for clients that have not received their answers.
		conns.DrainUntil(time.Now())
		server.Close()
	})()
	return server.Serve(conns.Listen(listener))
}
