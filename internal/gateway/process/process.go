// Package process assembles a gateway process: the directory that follows the
// store, the HTTP server for callers, readiness, metrics and reload of settings.
package process

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"reflect"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/samber/lo"
	"github.com/thejerf/suture/v4"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/boottime"
	"pistachioroad.dev/pistachioroad/internal/deployment"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/evidence"
	"pistachioroad.dev/pistachioroad/internal/gateway"
	"pistachioroad.dev/pistachioroad/internal/lease"
	"pistachioroad.dev/pistachioroad/internal/operator"
	"pistachioroad.dev/pistachioroad/internal/pause"
	"pistachioroad.dev/pistachioroad/internal/peers"
	"pistachioroad.dev/pistachioroad/internal/periodic"
	"pistachioroad.dev/pistachioroad/internal/reconcile"
	"pistachioroad.dev/pistachioroad/internal/safego"
	"pistachioroad.dev/pistachioroad/internal/sideserver"
	"pistachioroad.dev/pistachioroad/internal/store"
	"pistachioroad.dev/pistachioroad/internal/truetime"
	"pistachioroad.dev/pistachioroad/platform"
)

// Config configures a gateway process.
type Config struct {
	Deployment deployment.Deployment
	// Reload rereads the settings.
	Reload func() (deployment.Deployment, error)
	// Reloads has an element when the settings must be reread.
	Reloads <-chan os.Signal
	// MetricsPort is the port on the VM's own IP address for metrics, 0 for none.
	MetricsPort int
}

// Run serves until ctx is done, and then until the requests in flight have finished
// or the grace period ends.
func Run(ctx context.Context, c Config) error {
	d := c.Deployment
	log.WithFields(log.Fields{
		"data_centre": d.DataCentre, "callers": d.CallerAddress, "store": d.StoreAddress, "memory_bytes": d.MaxMemoryBytes,
	}).Info("started")
	m := gateway.MemoryPlan(d)
	log.WithFields(log.Fields{
		"connections": m.Connections, "receive_buffer_bytes": m.ReceiveBuffer, "head_bytes": m.Heads, "small_body_bytes": m.SmallBodies,
		"large_body_bytes": m.LargeBodies, "answer_bytes": m.Answers, "cached_segments": m.CachedSegments,
		"server_receive_buffer_bytes": m.ServerReceiveBuffer, "large_receive_buffers_bytes": m.LargeReceiveBuffers, "server_head_bytes": m.ServerHeads,
	}).Info("memory divided")
	codec := platform.Codec{}
	storeClient := platform.NewStore(d.StoreAddress)
	dir := directory.New(storeClient, codec, platform.ObjectKinds)
	g := gateway.New(gateway.Config{
		Deployment: d,
		Codec:      codec,
		Directory:  dir,
	})
	dir.OnChange, dir.OnServer = g.ViewChanged, g.ServerSeen
	startID := rand.Uint64()
	trueTime := truetime.New(boottime.Now(), time.Now())
	gateways, err := peers.New(peers.Config{
		Name:     d.Name,
		StartID:  startID,
		Address:  net.JoinHostPort(d.IP, strconv.Itoa(d.PeerPort)),
		TrueTime: trueTime,
	}, g)
	if err != nil {
		return err
	}
	g.SetGossip(gateways)
	dir.IsWatcher = gateways.IsWatcher
	dir.OnServerChange = func(c directory.ServerChange) {
		if gateways.IsWatcher() {
			gateways.AnnounceServerChange(c)
		}
	}
	p := &components{config: c, gateway: g, directory: dir, peers: gateways, store: storeClient, restored: newRestoration()}
	if d.Usage.Window > 0 {
		p.usage = newUsageDuties(d, trueTime, startID, gateways, storeClient)
		g.SetUsage(p.usage.counter)
	}
	return p.supervise(ctx)
}

// components holds what the duties of a process work on.
type components struct {
	config    Config
	gateway   *gateway.Gateway
	directory *directory.Directory
	peers     *peers.Peers
	store     store.Store
	restored  *restoration
	// usage is nil if usage is not reported.
	usage *usageDuties
}

// supervise runs the duties under a supervisor, and serves callers until ctx is done.
// The duties go on until the requests in flight have finished.
func (p *components) supervise(ctx context.Context) error {
	c, g, dir := p.config, p.gateway, p.directory
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	root := suture.New("gateway", suture.Spec{EventHook: safego.LogSupervisorEvent})
	root.Add(duty{"configuration", dir.FollowConfig})
	root.Add(duty{"servers", dir.FollowServers})
	root.Add(duty{"expiry of servers", dir.Expire})
	root.Add(duty{"messages of gateways", p.peers.Receive})
	root.Add(duty{"orders", p.reconciler().Run})
	root.Add(duty{"announce confirmations", p.announceConfirmations})
	root.Add(duty{"announce terminations", p.reannounceTerminations})
	root.Add(duty{"announce limits", p.reannounceServerLimits})
	root.Add(duty{"clock", func(ctx context.Context) error { return periodic.Run(ctx, gateway.ClockInterval, g.ObserveClock) }})
	root.Add(duty{"cache contents", p.loadCacheContents})
	root.Add(duty{"restore learned", p.restoreLearned})
	root.Add(duty{"save learned", p.saveLearned})
	root.Add(duty{"evidence", (&evidence.Keeper{Store: p.store, Source: g, Rank: p.peers.Rank}).Run})
	root.Add(duty{"registration", func(ctx context.Context) error { return p.peers.Register(ctx, p.store) }})
	root.Add(duty{"readiness", func(ctx context.Context) error { return serveReadiness(ctx, c.Deployment, g) }})
	root.Add(duty{"reload of settings", func(ctx context.Context) error { return reload(ctx, c, g) }})
	if p.usage != nil {
		root.Add(duty{"send usage", p.usage.send})
		root.Add(duty{"report usage", p.usage.report})
	}
	if c.Deployment.StateAddress != "" {
		root.Add(duty{"serve state", p.serveBootstrap})
		root.Add(duty{"state of other gateways", p.bootstrapFromPeers})
		root.Add(duty{"newer configurations", p.adoptNewerConfig})
	}
	if c.MetricsPort > 0 {
		root.Add(duty{"metrics", func(ctx context.Context) error { return serveMetrics(ctx, c, g) }})
	}
	root.ServeBackground(duties)
	err := g.Serve(ctx)
	if p.usage != nil {
		p.usage.finish(finishWithin(time.Now(), g.FinishBy()))
	}
	return err
}

// confirmInterval is how often a gateway that watches the store announces what the
// store has confirmed: several times within the maximum age that the others accept.
const confirmInterval = 300 * time.Millisecond

// announceConfirmations announces what this gateway's watches have confirmed.
func (p *components) announceConfirmations(ctx context.Context) error {
	return periodic.Run(ctx, confirmInterval, func(now time.Time) {
		if !p.peers.IsWatcher() && !p.directory.MustAnnounce(now) {
			return
		}
		if c, ok := p.directory.Confirmation(now); ok {
			p.peers.AnnounceConfirmation(c)
		}
	})
}

// reannounceInterval is how often terminations of servers and server limits are
// announced again: several times within the time in which gateways must agree on them.
const reannounceInterval = 500 * time.Millisecond

// reannounceTerminations repeats announcements of terminations for gateways that
// missed them because of lost datagrams or a later start.
func (p *components) reannounceTerminations(ctx context.Context) error {
	return periodic.Run(ctx, reannounceInterval, p.gateway.ReannounceTerminations)
}

// reannounceServerLimits does the same for the limits that servers state.
func (p *components) reannounceServerLimits(ctx context.Context) error {
	return periodic.Run(ctx, reannounceInterval, p.gateway.ReannounceServerLimits)
}

// engineLookupInterval is how often a new process checks whether engines are known.
const engineLookupInterval = 50 * time.Millisecond

// loadCacheContents queries the contents of the engines' prefix caches once. Without
// it, a restarted process sends prompts to engines that have not cached the shared
// segments: after a restart of all processes, prefill demand doubles. At the first start of
// the system engines have cached nothing.
func (p *components) loadCacheContents(ctx context.Context) error {
	if !p.restored.isFirst(ctx) {
		for p.directory.View().Table == nil || len(p.directory.View().Servers) == 0 {
			if !pause.Sleep(ctx, engineLookupInterval) {
				return ctx.Err()
			}
		}
		p.queryCaches(ctx)
	}
	<-ctx.Done()
	return ctx.Err()
}

// maxCacheQueries limits the engines that one gateway queries. Each query delays an
// engine, and after a restart of all processes every gateway queries: with a thousand
// engines and some hundred gateways, that would take longer than learning the cache
// contents from placements.
const maxCacheQueries = 64

// queryCaches queries the cache contents of some engines, other than those that state
// a limit, are leaving or rest.
func (p *components) queryCaches(ctx context.Context) {
	client := platform.NewEngineClient()
	for _, s := range randomEngines(p.directory.View().Servers, maxCacheQueries) {
		if p.gateway.HasServerLimit(s.ID) || p.gateway.IsLeaving(s.ID) || p.gateway.IsResting(s.ID) {
			continue
		}
		cached, err := client.CachedSegments(ctx, s)
		if err != nil {
			log.WithField("engine", s.ID).WithField("error", err.Error()).Info("query of an engine's cache contents failed")
			continue
		}
		p.gateway.AddCachedSegments(s.Service, s.ID, cached)
		log.WithField("engine", s.ID).WithField("parts", len(cached)).Info("loaded an engine's cache contents")
	}
}

// randomEngines returns up to limit random engines that are not draining.
func randomEngines(servers map[string]backend.Server, limit int) []backend.Server {
	engines := lo.Filter(lo.Values(servers), func(s backend.Server, _ int) bool {
		return s.Role != backend.NoRole && !s.Draining
	})
	rand.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	return engines[:min(limit, len(engines))]
}

// leaseTime is how long one grant of the lease for orders lasts. It leaves time for
// the orders of a start, each a call of up to 0.8 s.
const leaseTime = 4 * time.Second

// orderLeaseGap is added to the operators' limit for how long a new holder waits
// after a grant has expired, since an order may be in transit for 0.8 s after that.
const orderLeaseGap = 1200 * time.Millisecond

// reconciler returns the duty that sends orders to engines.
func (p *components) reconciler() *reconcile.Reconciler {
	d := p.config.Deployment
	return reconcile.New(reconcile.Config{
		Holder:             d.Name,
		View:               p.directory.View,
		Rank:               p.peers.Rank,
		InFlight:           p.gateway.EngineInFlight,
		Speed:              p.gateway.EngineSpeed,
		Limited:            func(id string) bool { return p.gateway.HasServerLimit(id) || p.gateway.IsLeaving(id) },
		ExpectedMissRate:   p.gateway.ExpectedMissRate,
		PlacedRequests:     p.gateway.EnginePlacements,
		RoleChangeStarting: p.gateway.AvoidEngine,
		Engines:            platform.NewEngineClient(),
		Lease: lease.New(p.store, lease.Config{
			Name:        "orders",
			Holder:      d.Name,
			Incarnation: uuid.NewString(),
			Valid:       leaseTime,
			Gap:         d.Bounds.OrderLease + orderLeaseGap,
			Clock:       boottime.Now,
		}),
	})
}

// duty is a function as a suture.Service.
type duty struct {
	name string
	run  func(context.Context) error
}

// Serve implements suture.Service.
func (d duty) Serve(ctx context.Context) error { return d.run(ctx) }

// String returns the name of the duty in the log.
func (d duty) String() string { return d.name }

func serveReadiness(ctx context.Context, d deployment.Deployment, g *gateway.Gateway) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return sideserver.Serve(ctx, "readiness", d.ReadinessAddress, mux)
}

func serveMetrics(ctx context.Context, c Config, g *gateway.Gateway) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", operator.ServeMetrics)
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(g.Dump(time.Now())); err != nil {
			log.WithField("error", err.Error()).Info("write dump failed")
		}
	})
	return sideserver.Serve(ctx, "metrics", net.JoinHostPort(c.Deployment.IP, strconv.Itoa(c.MetricsPort)), mux)
}

// settingsPollInterval is how often the settings are reread, since they may change
// without a signal.
const settingsPollInterval = 5 * time.Second

// reload rereads the settings when that is requested and every settingsPollInterval, and applies
// changes.
func reload(ctx context.Context, c Config, g *gateway.Gateway) error {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	current := c.Deployment
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.Reloads:
		case <-tick.C:
		}
		d, err := c.Reload()
		if err != nil {
			log.WithField("error", err.Error()).Error("reload of settings failed, the previous ones stay")
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
