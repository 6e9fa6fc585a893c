// Package process puts the parts of a gateway process together: the directory
// that follows the store, the front door, readiness, metrics and reload.
package process

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"strconv"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/samber/lo"
	"github.com/thejerf/suture/v4"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/boottime"
	"pistachioroad.dev/pistachioroad/internal/deployment"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/gateway"
	"pistachioroad.dev/pistachioroad/internal/lease"
	"pistachioroad.dev/pistachioroad/internal/operator"
	"pistachioroad.dev/pistachioroad/internal/pause"
	"pistachioroad.dev/pistachioroad/internal/peers"
	"pistachioroad.dev/pistachioroad/internal/periodic"
	"pistachioroad.dev/pistachioroad/internal/reconcile"
	"pistachioroad.dev/pistachioroad/internal/store"
	"pistachioroad.dev/pistachioroad/platform"
)

// Config is what a process starts from.
type Config struct {
	Deployment deployment.Deployment
	// Reload reads the settings again.
	Reload func() (deployment.Deployment, error)
	// MetricsPort serves metrics on the VM's own IP number; 0 for none.
	MetricsPort int
}

// Run serves until ctx ends and the requests in hand are finished.
func Run(ctx context.Context, c Config) error {
	d := c.Deployment
	log.WithFields(log.Fields{
		"data_centre": d.DataCentre, "callers": d.Callers, "store": d.Store, "memory_bytes": d.MemoryBytes,
	}).Info("started")
	dialect := platform.Dialect{}
	storeClient := platform.NewStore(d.Store)
	dir := directory.New(storeClient, dialect, platform.Kinds)
	g := gateway.New(gateway.Config{
		Deployment: d,
		Dialect:    dialect,
		Directory:  dir,
	})
	dir.OnChange = g.ViewChanged
	others, err := peers.New(peers.Config{
		Name:    d.Name,
		StartID: rand.Uint64(),
		Address: net.JoinHostPort(d.IP, strconv.Itoa(d.PeerPort)),
	}, g)
	if err != nil {
		return err
	}
	g.SetGossip(others)
	dir.Watcher = others.IsWatcher
	dir.OnEntry = func(c directory.Change) {
		if others.IsWatcher() {
			others.AnnounceServerChange(c)
		}
	}
	p := &parts{config: c, gateway: g, directory: dir, peers: others, store: storeClient}
	return p.supervise(ctx)
}

// parts are the duties of a process.
type parts struct {
	config    Config
	gateway   *gateway.Gateway
	directory *directory.Directory
	peers     *peers.Peers
	store     store.Store
}

func (p *parts) supervise(ctx context.Context) error {
	c, g, dir := p.config, p.gateway, p.directory
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	root := suture.New("gateway", suture.Spec{EventHook: func(e suture.Event) {
		log.WithField("event", e.String()).Warn("supervisor")
	}})
	root.Add(duty(dir.FollowConfig))
	root.Add(duty(dir.FollowServers))
	root.Add(duty(dir.Expire))
	root.Add(duty(p.peers.Receive))
	root.Add(duty(p.reconciler().Run))
	root.Add(duty(p.confirm))
	root.Add(duty(p.tellEndings))
	root.Add(duty(p.tellLimits))
	root.Add(duty(p.learn))
	root.Add(duty(p.restoreLearned))
	root.Add(duty(p.saveLearned))
	root.Add(duty(func(ctx context.Context) error { return p.peers.Register(ctx, p.store) }))
	root.Add(duty(func(ctx context.Context) error { return serveReadiness(ctx, c.Deployment, g) }))
	root.Add(duty(func(ctx context.Context) error { return reload(ctx, c, g) }))
	if c.Deployment.Neighbours != "" {
		root.Add(duty(p.serveKnowledge))
		root.Add(duty(p.askNeighbours))
	}
	if c.MetricsPort > 0 {
		root.Add(duty(func(ctx context.Context) error { return serveMetrics(ctx, c, g) }))
	}
	root.ServeBackground(duties)
	return g.Serve(ctx)
}

// confirmEvery is how often a gateway that watches tells what the store has
// confirmed: several times within the age that the others believe.
const confirmEvery = 300 * time.Millisecond

// confirm tells the other gateways what this one's watches have confirmed.
func (p *parts) confirm(ctx context.Context) error {
	return periodic.Run(ctx, confirmEvery, func(now time.Time) {
		if !p.peers.IsWatcher() {
			return
		}
		if c, ok := p.directory.Confirmation(now); ok {
			p.peers.AnnounceConfirmation(c)
		}
	})
}

// tellEvery is how often what is known of servers that ended under requests, and of the
// limits of servers, is told again: several times within the time in which gateways must agree on it.
const tellEvery = 500 * time.Millisecond

// tellEndings makes up for lost datagrams, and for gateways that were not there.
func (p *parts) tellEndings(ctx context.Context) error {
	return periodic.Run(ctx, tellEvery, p.gateway.TellEndings)
}

// tellLimits does the same for the limits that servers name.
func (p *parts) tellLimits(ctx context.Context) error {
	return periodic.Run(ctx, tellEvery, p.gateway.TellLimits)
}

// lookForEngines is how often a new process looks whether engines are known.
const lookForEngines = 50 * time.Millisecond

// learn asks the engines once what they keep. A process that was restarted
// knows nothing of that, and would have shared parts read again at engines that
// do not keep them: after a restart of all processes, demand of reading doubles.
func (p *parts) learn(ctx context.Context) error {
	if !p.config.Deployment.FirstStart {
		for p.directory.View().Table == nil || len(p.directory.View().Servers) == 0 {
			if !pause.For(ctx, lookForEngines) {
				return ctx.Err()
			}
		}
		p.askKept(ctx)
	}
	<-ctx.Done()
	return ctx.Err()
}

// mostAsked bounds the engines that one gateway asks. Each call delays an engine,
// and after a restart of all processes every gateway asks: with a thousand
// engines and some hundred gateways the calls would take longer than the caches
// take to be learned by use.
const mostAsked = 64

func (p *parts) askKept(ctx context.Context) {
	client := platform.NewEngines()
	for _, s := range someEngines(p.directory.View().Servers, mostAsked) {
		if p.gateway.NamesLimit(s.ID) {
			continue
		}
		kept, err := client.Kept(ctx, s)
		if err != nil {
			log.WithField("engine", s.ID).WithField("error", err.Error()).Info("what an engine keeps is not known")
			continue
		}
		p.gateway.AddCachedSegments(s.Service, s.ID, kept)
		log.WithField("engine", s.ID).WithField("parts", len(kept)).Info("what an engine keeps is known")
	}
}

// someEngines returns up to most engines that serve, at random.
func someEngines(servers map[string]backend.Server, most int) []backend.Server {
	engines := lo.Filter(lo.Values(servers), func(s backend.Server, _ int) bool {
		return s.Role != backend.NoRole && !s.Draining
	})
	rand.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	return engines[:min(most, len(engines))]
}

// grantTime is how long one grant of the lease for orders lasts: time for the
// orders of a start, a call of up to 0.8 s each.
const grantTime = 4 * time.Second

// orderGap is how much longer than the operators' bound another holder waits:
// an order may be on its way for 0.8 s after its grant has ended.
const orderGap = 1200 * time.Millisecond

func (p *parts) reconciler() *reconcile.Reconciler {
	d := p.config.Deployment
	return reconcile.New(reconcile.Config{
		Holder:             d.Name,
		View:               p.directory.View,
		Rank:               p.peers.Rank,
		InFlight:           p.gateway.EngineInFlight,
		Speed:              p.gateway.EngineSpeed,
		Limited:            p.gateway.NamesLimit,
		ExpectedMissRate:   p.gateway.ExpectedMissRate,
		PlacedRequests:     p.gateway.EnginePlacements,
		RoleChangeStarting: p.gateway.AvoidEngine,
		Engines:            platform.NewEngines(),
		Lease: lease.New(p.store, lease.Config{
			Name:        "orders",
			Holder:      d.Name,
			Incarnation: uuid.NewString(),
			Valid:       grantTime,
			Gap:         d.Bounds.Lease + orderGap,
			Clock:       boottime.Now,
		}),
	})
}

// duty is a function as a service of the supervisor.
type duty func(context.Context) error

// Serve implements suture.Service.
func (d duty) Serve(ctx context.Context) error { return d(ctx) }

func serveReadiness(ctx context.Context, d deployment.Deployment, g *gateway.Gateway) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return serveHTTP(ctx, d.Readiness, mux)
}

func serveMetrics(ctx context.Context, c Config, g *gateway.Gateway) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", operator.ServeMetrics)
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(g.Dump(time.Now())); err != nil {
			log.WithField("error", err.Error()).Info("state not dumped")
		}
	})
	return serveHTTP(ctx, net.JoinHostPort(c.Deployment.IP, strconv.Itoa(c.MetricsPort)), mux)
}

// headTimeout bounds the reading of a question's head.
const headTimeout = 5 * time.Second

func serveHTTP(ctx context.Context, address string, h http.Handler) error {
	server := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: headTimeout}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	return server.Serve(listener)
}

// lookAgain is how often the settings file is looked at: it may change without
// a signal.
const lookAgain = 5 * time.Second

// reload reads the settings again on SIGHUP and when they have changed.
func reload(ctx context.Context, c Config, g *gateway.Gateway) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	tick := time.NewTicker(lookAgain)
	defer tick.Stop()
	current := c.Deployment
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-signals:
		case <-tick.C:
		}
		d, err := c.Reload()
		if err != nil {
			log.WithField("error", err.Error()).Error("settings not reloaded, the ones before stay")
			continue
		}
		if reflect.DeepEqual(d, current) {
			continue
		}
		current = d
		g.Reload(d)
		log.Info("settings reloaded")
	}
}
