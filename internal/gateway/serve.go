package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"golang.org/x/net/netutil"
)

const (
	// filesReserved descriptors are left for files, the store and backend
	// servers; callers share the rest.
	filesReserved = 700
	// balancerLag is how long after readiness goes false the balancer may still
	// send new connections: two questions, one a second, and a margin.
	balancerLag = 3 * time.Second
	// graceMargin is left of the grace for the end of the process.
	graceMargin = 400 * time.Millisecond
	// idleMargin is how much longer than told an idle connection is kept: a
	// caller may use it until the end.
	idleMargin = 1.5
	// sweepEvery is how often idle connections are looked at.
	sweepEvery = 500 * time.Millisecond
	// headerTimeout bounds the reading of a request's head before a
	// configuration names a bound.
	headerTimeout = 10 * time.Second
	// maxHeader bounds a request's head.
	maxHeader = 64 << 10
)

// Serve takes callers until ctx ends, and then lets the requests in hand finish
// within the grace.
func (g *Gateway) Serve(ctx context.Context) error {
	d := g.deployment.Load()
	listener, err := net.Listen("tcp4", d.Callers)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	listener = netutil.LimitListener(listener, max(1, d.Descriptors-filesReserved))
	idle := newIdleConns()
	server := &http.Server{
		Handler:           g,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeader,
		ConnState:         idle.changed,
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		select {
		case err := <-ended:
			return eris.Wrap(err, "serve callers")
		case now := <-sweep.C:
			g.transport.Expire(now)
			if t := g.directory.View().Table; t != nil && t.Limits.IdleTimeout > 0 {
				idle.closeBefore(now.Add(-time.Duration(idleMargin * float64(t.Limits.IdleTimeout))))
			}
		case <-ctx.Done():
			return g.shutDown(server)
		}
	}
}

// shutDown turns readiness off, keeps the listener open for the balancer's lag,
// and lets what runs finish.
func (g *Gateway) shutDown(server *http.Server) error {
	began := time.Now()
	g.stopping.Store(true)
	log.Info("stopping: not ready any more")
	time.Sleep(balancerLag)
	grace := g.deployment.Load().Bounds.Grace - graceMargin - time.Since(began)
	ctx, cancel := context.WithTimeout(context.Background(), max(0, grace))
	defer cancel()
	err := server.Shutdown(ctx)
	log.WithField("complete", err == nil).Info("stopped")
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// Ready reports whether callers should be sent here.
func (g *Gateway) Ready() bool {
	v := g.directory.View()
	return !g.stopping.Load() && v.Table != nil && (!v.ServersAt.IsZero() || len(v.Servers) > 0)
}

// idleConns knows since when callers' connections are idle.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConns() *idleConns { return &idleConns{since: make(map[net.Conn]time.Time)} }

func (i *idleConns) changed(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

// closeBefore closes connections that have been idle since before a moment.
func (i *idleConns) closeBefore(moment time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if since.Before(moment) {
			c.Close()
			delete(i.since, c)
		}
	}
}
