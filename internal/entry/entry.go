// Package entry is the process that takes the callers' requests: it wires and
// supervises the duties of an entry VM.
package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"
	"github.com/thejerf/suture/v4"

	"pistachioroad.dev/pistachioroad/internal/entry/api"
	"pistachioroad.dev/pistachioroad/internal/entry/links"
	"pistachioroad.dev/pistachioroad/internal/entry/router"
	"pistachioroad.dev/pistachioroad/internal/entry/serve"
	"pistachioroad.dev/pistachioroad/internal/explain"
	"pistachioroad.dev/pistachioroad/internal/operator"
	"pistachioroad.dev/pistachioroad/internal/platform"
	"pistachioroad.dev/pistachioroad/internal/settings"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	// explainSize is how many decisions are remembered.
	explainSize = 8192
	// stopTimeout is how long a duty may take to end.
	stopTimeout = 5 * time.Second
)

// errDraining is why a process that is shutting down is not ready.
var errDraining = eris.New("shutting down")

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

// newInjector names how each part is built.
func newInjector(s settings.Settings) do.Injector {
	injector := do.New()
	do.ProvideValue(injector, s)
	do.ProvideValue(injector, explain.New(explainSize))
	do.Provide(injector, newSupervisor)
	do.Provide(injector, newClient)
	do.Provide(injector, newFleetDuty)
	do.Provide(injector, newRouter)
	do.Provide(injector, newPool)
	do.Provide(injector, newServer)
	do.Provide(injector, newAPI)
	do.Provide(injector, newCallers)
	do.Provide(injector, newProcess)
	return injector
}

// newSupervisor returns the root of the supervisor tree. A duty that panics is
// restarted alone.
func newSupervisor(do.Injector) (*suture.Supervisor, error) {
	return suture.New("entry", suture.Spec{
		EventHook: logEvent,
		Timeout:   stopTimeout,
	}), nil
}

func logEvent(event suture.Event) {
	log.WithField("event", event.String()).Warn("supervisor")
}

func newClient(i do.Injector) (*platform.Client, error) {
	s := do.MustInvoke[settings.Settings](i)
	return platform.NewClient(platform.ClientConfig{
		Address:        s.Platform.Address,
		CallsPerSecond: s.Platform.CallsPerSecond,
	}), nil
}

func newFleetDuty(i do.Injector) (*fleet, error) {
	s := do.MustInvoke[settings.Settings](i)
	return newFleet(do.MustInvoke[*platform.Client](i), s.Platform.VMListInterval), nil
}

func newRouter(i do.Injector) (*router.Router, error) {
	s := do.MustInvoke[settings.Settings](i)
	return router.New(router.Config{
		DataCentre: s.Process.DataCentre,
		Views:      do.MustInvoke[*fleet](i),
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
			Incarnation: uuid.NewString(),
			DataCentre:  s.Process.DataCentre,
		},
		Region:     s.Process.Region,
		DataCentre: s.Process.DataCentre,
		Links:      s.Entry.Links,
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
	return api.New(s.Entry, do.MustInvoke[*serve.Server](i), do.MustInvoke[*fleet](i)), nil
}

func newCallers(i do.Injector) (*callers, error) {
	s := do.MustInvoke[settings.Settings](i)
	listener, err := net.Listen("tcp", s.Listen.Callers)
	if err != nil {
		return nil, eris.Wrap(err, "listen for callers")
	}
	return newCallersServer(listener, s.Entry, do.MustInvoke[*api.API](i)), nil
}

// process is a whole entry.
type process struct {
	settings   settings.Settings
	supervisor *suture.Supervisor
	callers    *callers
	draining   atomic.Bool
}

func newProcess(i do.Injector) (*process, error) {
	callers, err := do.Invoke[*callers](i)
	if err != nil {
		return nil, err
	}
	p := &process{
		settings:   do.MustInvoke[settings.Settings](i),
		supervisor: do.MustInvoke[*suture.Supervisor](i),
		callers:    callers,
	}
	operators, err := p.newOperators(i)
	if err != nil {
		return nil, err
	}
	p.supervisor.Add(operators)
	p.supervisor.Add(do.MustInvoke[*fleet](i))
	p.supervisor.Add(do.MustInvoke[*router.Router](i))
	p.supervisor.Add(do.MustInvoke[*links.Pool](i))
	p.supervisor.Add(callers)
	return p, nil
}

func (p *process) newOperators(i do.Injector) (*operator.Server, error) {
	listen := p.settings.Listen
	return operator.NewServer(
		operator.Config{Address: listen.Operators, TokenFile: listen.OperatorTokenFile},
		operator.Sources{
			Process: p.settings.Process.Name,
			Ready:   p.ready,
			Explain: do.MustInvoke[*explain.Log](i),
			Duties: map[string]operator.DumpFunc{
				"router":  do.MustInvoke[*router.Router](i).Dump,
				"links":   do.MustInvoke[*links.Pool](i).Dump,
				"callers": p.callers.Dump,
			},
		},
	)
}

func (p *process) ready() error {
	if p.draining.Load() {
		return errDraining
	}
	return nil
}

// run serves until ctx ends. The duties outlive ctx: requests in flight need
// them to the end.
func (p *process) run(ctx context.Context) error {
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := p.supervisor.ServeBackground(duties)
	log.WithField("callers", p.settings.Listen.Callers).Info("serving")
	select {
	case <-ctx.Done():
	case err := <-ended:
		return eris.Wrap(err, "supervisor ended")
	}
	p.shutDown()
	stop()
	err := <-ended
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return eris.Wrap(err, "stop duties")
}

// shutDown takes the process out of service without cutting a request: the
// balancer goes on sending new ones for a while after readiness went false.
func (p *process) shutDown() {
	entry := p.settings.Entry
	log.WithField("balancer_lag", entry.BalancerLag.String()).Info("draining")
	p.draining.Store(true)
	p.callers.api.Drain()
	time.Sleep(entry.BalancerLag)
	p.callers.finish(entry.ShutdownTimeout)
	log.Info("drained")
}
