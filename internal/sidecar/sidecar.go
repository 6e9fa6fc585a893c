// Package sidecar is the process beside a backend server. It is the only path
// to that backend server, for requests and for orders.
package sidecar

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/link"
	"pistachioroad.dev/pistachioroad/internal/platform"
	"pistachioroad.dev/pistachioroad/internal/settings"
)

// Run serves until ctx ends, then drains and returns.
//
// It binds the address for links before anything else. The kernel keeps that
// address for a paused process too, so two sidecars never run beside one
// backend server and give it conflicting orders.
func Run(ctx context.Context, s settings.Settings) error {
	links, err := net.Listen("tcp", s.Listen.Links)
	if err != nil {
		return eris.Wrap(err, "another sidecar may be running")
	}
	defer links.Close()
	operators, err := net.Listen("tcp", s.Listen.Operators)
	if err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	defer operators.Close()

	p := newProcess(s)
	go serveOperators(operators)
	go p.acceptLinks(links)
	log.WithField("links", s.Listen.Links).Info("serving")

	<-ctx.Done()
	p.draining.Store(true)
	p.awaitIdle(s.Sidecar.ShutdownTimeout)
	return nil
}

func newProcess(s settings.Settings) *process {
	server := s.Sidecar.BackendServer
	p := &process{
		settings:    s,
		incarnation: uuid.NewString(),
		slots:       make(chan struct{}, server.Slots),
		waiting:     make(chan struct{}, s.Sidecar.QueueLength),
	}
	if server.Service == platform.ServiceModels {
		p.backend = modelEngine{engine.NewClient(server.Address)}
	} else {
		p.backend = newPlainService(server.Address)
	}
	return p
}

func serveOperators(listener net.Listener) {
	mux := http.NewServeMux()
	ok := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }
	mux.HandleFunc("GET /healthz", ok)
	mux.HandleFunc("GET /readyz", ok)
	server := http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	_ = server.Serve(listener)
}

func (p *process) acceptLinks(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		session, err := link.Accept(conn)
		if err != nil {
			_ = conn.Close()
			continue
		}
		go p.serveSession(session)
	}
}
