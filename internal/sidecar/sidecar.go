// Package sidecar implements the process that runs next to a backend server. It
// is the only path to that backend server, for requests and for orders.
//
// Its duties, each with its own goroutine:
//
//	links      accepts connections from entries and serves their streams
//	requests   owns the request table: waiting, running and finished requests
//	control    exchanges heartbeats, load, cache events and objects with entries
//	orders     brings the model engine to the state given by the plan
//	reports    reads the engine's load and cache events
//	admission  decides whether requests are admitted
//	fleet      passes the configuration and the plan on to the other duties
//	claims     claims idempotency keys in the store
//	member     holds the fleet's configuration and plan
//	operator   serves health, metrics, state dumps and the decision log
package sidecar

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"
	"github.com/thejerf/suture/v4"

	"pistachioroad.dev/pistachioroad/internal/claims"
	"pistachioroad.dev/pistachioroad/internal/daemon"
	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/explain"
	"pistachioroad.dev/pistachioroad/internal/link"
	"pistachioroad.dev/pistachioroad/internal/member"
	"pistachioroad.dev/pistachioroad/internal/operator"
	"pistachioroad.dev/pistachioroad/internal/settings"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

const (
	// explainSize is the number of records in the decision log.
	explainSize = 4096
	// shutdownQuietPeriod is the time without new requests after which a sidecar
	// may stop. Requests sent by entries that do not know of the shutdown yet
	// would meet a closed connection and have an unknown outcome; on a busy VM
	// the announcement may arrive late. It covers one heartbeat interval and the
	// network latency.
	shutdownQuietPeriod = link.HeartbeatInterval + 200*time.Millisecond
	// shutdownEndMargin is the time before the end of the shutdown timeout in which
	// calls that still run are ended and key slots are released.
	shutdownEndMargin = 300 * time.Millisecond
)

// clockOrigin is the zero of the process clock that Hello and Heartbeat carry and
// entries echo in Start and Resolve.
var clockOrigin = time.Now()

// clock returns the process clock. It is never 0, as a frame without a positive
// clock value has an unknown age.
func clock() time.Duration { return time.Since(clockOrigin) + time.Microsecond }

// Run serves until ctx is done, then finishes or hands over running requests and
// returns nil.
//
// It first binds the address for links, which works as a lock: the kernel holds
// it also for a paused process. So two sidecars never run next to one backend
// server and send it conflicting orders.
func Run(ctx context.Context, s settings.Settings) error {
	listener, err := net.Listen("tcp", s.Listen.Links)
	if err != nil {
		return eris.Wrap(err, "cannot listen on the links address; another sidecar may be running")
	}
	defer listener.Close()
	p, err := do.Invoke[*process](newInjector(s, listener))
	if err != nil {
		return eris.Wrap(err, "build sidecar")
	}
	return p.run(ctx)
}

// newInjector registers the constructors of all components.
func newInjector(s settings.Settings, listener net.Listener) do.Injector {
	injector := do.New()
	do.ProvideValue(injector, s)
	do.ProvideValue(injector, listener)
	do.ProvideValue(injector, daemon.NewIncarnation())
	do.ProvideValue(injector, explain.New(explainSize))
	do.Provide(injector, newSupervisor)
	do.Provide(injector, daemon.NewClient)
	do.Provide(injector, newMember)
	do.Provide(injector, newClaims)
	do.Provide(injector, newEngine)
	do.Provide(injector, newBackend)
	do.Provide(injector, newRequests)
	do.Provide(injector, newControl)
	do.Provide(injector, newLinks)
	do.Provide(injector, newAdmission)
	do.Provide(injector, newOrders)
	do.Provide(injector, newReports)
	do.Provide(injector, newFleet)
	do.Provide(injector, newProcess)
	return injector
}

func newSupervisor(do.Injector) (*suture.Supervisor, error) {
	return daemon.NewSupervisor("sidecar"), nil
}

func newMember(i do.Injector) (*member.Member, error) {
	s := do.MustInvoke[settings.Settings](i)
	client := do.MustInvoke[*sharedstate.Client](i)
	return member.New(member.Config{
		Process:     s.Process.Name,
		Incarnation: do.MustInvoke[daemon.Incarnation](i).String(),
		Region:      s.Process.Region,
		DataCentre:  s.Process.DataCentre,
		SkipVMList:  true,
	}, client, client), nil
}

func newClaims(i do.Injector) (*claims.Duty, error) {
	s := do.MustInvoke[settings.Settings](i)
	return claims.NewDuty(claims.Config{
		Service:     s.Sidecar.BackendServer.Service,
		Owner:       s.Process.Name,
		Incarnation: do.MustInvoke[daemon.Incarnation](i).String(),
	}, do.MustInvoke[*sharedstate.Client](i)), nil
}

func newEngine(i do.Injector) (engine.Engine, error) {
	s := do.MustInvoke[settings.Settings](i)
	return engine.NewClient(s.Sidecar.BackendServer.Address), nil
}

func newBackend(i do.Injector) (backend, error) {
	server := do.MustInvoke[settings.Settings](i).Sidecar.BackendServer
	if server.Service == sharedstate.ServiceModels {
		return modelEngine{engine: do.MustInvoke[engine.Engine](i)}, nil
	}
	return newPlainService(server.Address), nil
}

// process holds the components that run and shutDown use.
type process struct {
	settings   settings.Settings
	supervisor *suture.Supervisor
	requests   *requestsDuty
	control    *controlDuty
	admission  *admissionDuty
	claims     *claims.Duty
	links      *linksDuty
}

func newProcess(i do.Injector) (*process, error) {
	p := &process{
		settings:   do.MustInvoke[settings.Settings](i),
		supervisor: do.MustInvoke[*suture.Supervisor](i),
		requests:   do.MustInvoke[*requestsDuty](i),
		control:    do.MustInvoke[*controlDuty](i),
		admission:  do.MustInvoke[*admissionDuty](i),
		claims:     do.MustInvoke[*claims.Duty](i),
		links:      do.MustInvoke[*linksDuty](i),
	}
	m := do.MustInvoke[*member.Member](i)
	duties := map[string]operator.DumpFunc{
		"claims":    func(ctx context.Context) any { return p.claims.Status(ctx) },
		"member":    func(context.Context) any { return m.Status() },
		"requests":  p.requests.Dump,
		"control":   p.control.Dump,
		"admission": p.admission.Dump,
		"links":     p.links.Dump,
	}
	services := append(m.Services(),
		p.requests, p.control, p.admission, p.claims, p.links, do.MustInvoke[*fleetDuty](i))
	if isEngine(p.settings) {
		orders := do.MustInvoke[*ordersDuty](i)
		reports := do.MustInvoke[*reportsDuty](i)
		duties["orders"] = orders.Dump
		duties["reports"] = reports.Dump
		services = append(services, orders, reports)
	}
	operators, err := newOperators(i, duties)
	if err != nil {
		return nil, err
	}
	for _, service := range append(services, operators) {
		p.supervisor.Add(service)
	}
	return p, nil
}

func isEngine(s settings.Settings) bool {
	return s.Sidecar.BackendServer.Service == sharedstate.ServiceModels
}

func newOperators(i do.Injector, duties map[string]operator.DumpFunc) (*operator.Server, error) {
	s := do.MustInvoke[settings.Settings](i)
	return operator.NewServer(
		operator.Config{Address: s.Listen.Operators, TokenFile: s.Listen.OperatorTokenFile},
		operator.Sources{
			Process: s.Process.Name,
			Ready:   do.MustInvoke[*admissionDuty](i).Ready,
			Explain: do.MustInvoke[*explain.Log](i),
			Duties:  duties,
		},
	)
}

// run serves until ctx is done, then shuts down.
func (p *process) run(ctx context.Context) error {
	log.WithField("links", p.settings.Listen.Links).Info("serving")
	return daemon.Serve(ctx, p.supervisor, p.shutDown)
}

// shutDown drains the backend server without losing a request. Draining is
// announced to entries immediately, and waiting and new requests are rejected so
// that entries send them elsewhere. Running requests may finish; after half of the
// shutdown timeout the idempotent ones that may last longer than it are handed over.
// Calls that still run shortly before the end are ended: their entries are told that
// they may have run.
func (p *process) shutDown(ctx context.Context) {
	began, timeout := time.Now(), p.settings.Sidecar.ShutdownTimeout
	exit := began.Add(timeout)
	end := exit.Add(-shutdownEndMargin)
	log.WithField("timeout", timeout.String()).Info("shutting down, draining is announced")
	ctx, cancel := context.WithDeadline(ctx, exit)
	defer cancel()
	finish, stopWaiting := context.WithDeadline(ctx, end)
	defer stopWaiting()
	p.admission.shutDown(finish, timeout/2, end)
	p.links.awaitNoArrivals(finish, shutdownQuietPeriod)
	complete := p.requests.awaitIdle(finish)
	if !complete {
		p.requests.endRuns(ctx)
		complete = p.requests.awaitIdle(ctx)
	}
	p.links.awaitSent(ctx)
	if err := p.claims.Release(ctx); err != nil {
		log.WithError(err).Warn("cannot release key slots; their next owner takes over after a delay")
	}
	log.WithFields(log.Fields{"complete": complete, "cut_requests": p.requests.logCut()}).Info("shut down")
}

// newRandom returns a randomly seeded source for retry jitter.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
