// Package entry implements the entry, the process that serves callers' requests
// in the sidecar deployment: it builds and supervises the duties of an entry VM.
package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"
	"github.com/thejerf/suture/v4"

	"pistachioroad.dev/pistachioroad/internal/daemon"
	"pistachioroad.dev/pistachioroad/internal/entry/api"
	"pistachioroad.dev/pistachioroad/internal/entry/links"
	"pistachioroad.dev/pistachioroad/internal/entry/router"
	"pistachioroad.dev/pistachioroad/internal/entry/serve"
	"pistachioroad.dev/pistachioroad/internal/explain"
	"pistachioroad.dev/pistachioroad/internal/limitlistener"
	"pistachioroad.dev/pistachioroad/internal/member"
	"pistachioroad.dev/pistachioroad/internal/membudget"
	"pistachioroad.dev/pistachioroad/internal/operator"
	"pistachioroad.dev/pistachioroad/internal/planner"
	"pistachioroad.dev/pistachioroad/internal/settings"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	// explainLogSize is the number of decisions that the decision log holds.
	explainLogSize = 8192
)

// Errors that the readiness check returns.
var (
	errDraining = eris.New("shutting down")
	// errStarting: after its start a process first determines the latest versions
	// of the shared state, such as the configuration.
	errStarting = eris.New("looking for the configuration in force")
)

// Run serves until ctx ends, then finishes the requests in flight and returns
// nil.
func Run(ctx context.Context, s settings.Settings) error {
	injector := newInjector(s)
	p, err := do.Invoke[*process](injector)
	if err != nil {
		return eris.Wrap(err, "build entry")
	}
	return p.run(ctx)
}

// newInjector registers the constructor of each component.
func newInjector(s settings.Settings) do.Injector {
	injector := do.New()
	do.ProvideValue(injector, s)
	do.ProvideValue(injector, daemon.NewIncarnation())
	do.ProvideValue(injector, explain.New(explainLogSize))
	do.Provide(injector, newSupervisor)
	do.Provide(injector, daemon.NewClient)
	do.Provide(injector, newMember)
	do.Provide(injector, newFleetSource)
	do.Provide(injector, newPlanner)
	do.Provide(injector, newRouter)
	do.Provide(injector, newPool)
	do.Provide(injector, newServer)
	do.Provide(injector, newAPI)
	do.Provide(injector, listenForCallers)
	do.Provide(injector, newProcess)
	return injector
}

func newSupervisor(do.Injector) (*suture.Supervisor, error) {
	return daemon.NewSupervisor("entry"), nil
}

func newMember(i do.Injector) (*member.Member, error) {
	s := do.MustInvoke[settings.Settings](i)
	client := do.MustInvoke[*sharedstate.Client](i)
	peers, err := limitlistener.Listen(s.Listen.Links, maxPeerConnections, 0)
	if err != nil {
		return nil, eris.Wrap(err, "listen for peers")
	}
	return member.New(member.Config{
		Process:      s.Process.Name,
		Incarnation:  do.MustInvoke[daemon.Incarnation](i).String(),
		Region:       s.Process.Region,
		DataCentre:   s.Process.DataCentre,
		Entry:        true,
		PeerListener: peers,
		ListInterval: s.Platform.VMListInterval,
	}, client, client), nil
}

func newFleetSource(i do.Injector) (*fleet, error) {
	m, err := do.Invoke[*member.Member](i)
	if err != nil {
		return nil, err
	}
	return newFleet(m, do.MustInvoke[settings.Settings](i)), nil
}

func newPlanner(i do.Injector) (*planner.Duty, error) {
	s := do.MustInvoke[settings.Settings](i)
	source := &plannerSource{fleet: do.MustInvoke[*fleet](i), router: do.MustInvoke[*router.Router](i)}
	client := do.MustInvoke[*sharedstate.Client](i)
	return planner.NewDuty(s.Process.Name, s.Process.Region, client, source, do.MustInvoke[*explain.Log](i)), nil
}

func newRouter(i do.Injector) (*router.Router, error) {
	s := do.MustInvoke[settings.Settings](i)
	f := do.MustInvoke[*fleet](i)
	return router.New(router.Config{
		Region:     s.Process.Region,
		DataCentre: s.Process.DataCentre,
		Views:      f,
		Gossip:     f,
		Explain:    do.MustInvoke[*explain.Log](i),
		Seed:       rand.Uint64(),
	}), nil
}

func newPool(i do.Injector) (*links.Pool, error) {
	s := do.MustInvoke[settings.Settings](i)
	f := do.MustInvoke[*fleet](i)
	config := links.Config{
		Self: &wire.Hello{
			Process:     s.Process.Name,
			Incarnation: do.MustInvoke[daemon.Incarnation](i).String(),
			DataCentre:  s.Process.DataCentre,
		},
		Region:          s.Process.Region,
		DataCentre:      s.Process.DataCentre,
		LinksPerService: s.Entry.Links,
	}
	reports := do.MustInvoke[*router.Router](i).Reports()
	return links.NewPool(config, f, f, reports, do.MustInvoke[*suture.Supervisor](i)), nil
}

func newServer(i do.Injector) (*serve.Server, error) {
	return serve.NewServer(
		do.MustInvoke[*router.Router](i),
		do.MustInvoke[*links.Pool](i),
		do.MustInvoke[*explain.Log](i),
	), nil
}

func newAPI(i do.Injector) (*api.API, error) {
	s := do.MustInvoke[settings.Settings](i)
	return api.New(s.Entry, do.MustInvoke[*serve.Server](i), do.MustInvoke[*fleet](i), memoryPlan(s)), nil
}

// maxPeerConnections limits the links from other entries, which close when they stay silent.
const maxPeerConnections = 1024

// memoryPlan divides the memory of the entry among what its callers can make it hold.
func memoryPlan(s settings.Settings) membudget.Plan {
	return membudget.PlanFor(s.Process.MemoryBytes, s.Entry.Limits.Connections)
}

func listenForCallers(i do.Injector) (*callerServer, error) {
	s := do.MustInvoke[settings.Settings](i)
	memory := memoryPlan(s)
	listener, err := limitlistener.Listen(s.Listen.Callers, memory.Connections, memory.ReceiveBuffer)
	if err != nil {
		return nil, eris.Wrap(err, "listen for callers")
	}
	server := newCallerServer(listener, s.Entry, do.MustInvoke[*api.API](i), memory)
	listener.Full = server.makeRoom
	return server, nil
}

// process is a running entry.
type process struct {
	settings   settings.Settings
	supervisor *suture.Supervisor
	callers    *callerServer
	fleet      *fleet
	draining   atomic.Bool
}

func newProcess(i do.Injector) (*process, error) {
	f, err := do.Invoke[*fleet](i)
	if err != nil {
		return nil, err
	}
	callers, err := do.Invoke[*callerServer](i)
	if err != nil {
		return nil, err
	}
	p := &process{
		settings:   do.MustInvoke[settings.Settings](i),
		supervisor: do.MustInvoke[*suture.Supervisor](i),
		callers:    callers,
		fleet:      f,
	}
	operators, err := p.newOperatorServer(i)
	if err != nil {
		return nil, err
	}
	services := append(f.Services(),
		operators,
		do.MustInvoke[*router.Router](i),
		do.MustInvoke[*links.Pool](i),
		do.MustInvoke[*planner.Duty](i),
		callers,
	)
	for _, service := range services {
		p.supervisor.Add(service)
	}
	return p, nil
}

func (p *process) newOperatorServer(i do.Injector) (*operator.Server, error) {
	listen := p.settings.Listen
	pool := do.MustInvoke[*links.Pool](i)
	router := do.MustInvoke[*router.Router](i)
	duty := do.MustInvoke[*planner.Duty](i)
	client := do.MustInvoke[*sharedstate.Client](i)
	return operator.NewServer(
		operator.Config{Address: listen.Operators, TokenFile: listen.OperatorTokenFile},
		operator.Sources{
			Process: p.settings.Process.Name,
			Ready:   p.ready,
			Explain: do.MustInvoke[*explain.Log](i),
			Duties: map[string]operator.DumpFunc{
				"member":  p.fleet.Dump,
				"router":  router.Dump,
				"links":   pool.Dump,
				"planner": duty.Dump,
				"callers": p.callers.Dump,
			},
			Fleet: &operatorFleet{fleet: p.fleet, router: router, pool: pool, client: client, planner: duty},
			Store: client,
		},
	)
}

func (p *process) ready() error {
	switch {
	case p.draining.Load():
		return errDraining
	case !p.fleet.Snapshot().Ready, p.fleet.Snapshot().ListedAt.IsZero():
		// Without the VM list no backend server is known to send requests to.
		return errStarting
	}
	return nil
}

// run serves until ctx ends.
func (p *process) run(ctx context.Context) error {
	log.WithField("callers", p.settings.Listen.Callers).Info("serving")
	return daemon.Serve(ctx, p.supervisor, func(context.Context) { p.shutDown() })
}

// shutDown takes the process out of service without interrupting a request.
func (p *process) shutDown() {
	p.draining.Store(true)
	p.callers.shutDown(p.settings.Entry.BalancerLag, p.settings.Entry.ShutdownTimeout)
}
