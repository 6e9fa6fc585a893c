package router

import (
	"math/rand/v2"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/route"
	"pistachioroad.dev/pistachioroad/internal/entry/links"
	"pistachioroad.dev/pistachioroad/internal/entry/view"
	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// configureInterval is how often exceptions in the fleet configuration are
// checked for expiry.
const configureInterval = 2 * time.Second

// state is the state of the router. Only the goroutine of Serve accesses it.
type state struct {
	config  Config
	rng     *rand.Rand
	view    *view.View
	servers map[string]*server
	// prefillLoads and decodeLoads track the load of the backend servers for each
	// kind of work; calls of plain services count as prefills.
	prefillLoads, decodeLoads *route.LoadTracker
	prefixIndex               *route.PrefixIndex
	groups                    map[groupKey]*group
	// remoteDemand holds the demand announced by each other entry.
	remoteDemand map[string]remoteDemand
	// configuredAt is when the configuration was last applied.
	configuredAt time.Time
}

// server is one backend server.
type server struct {
	vm   sharedstate.VM
	link links.State
	// load is the last load report, nil before the first; loadReceivedAt is when
	// it was received.
	load           *wire.Load
	loadReceivedAt time.Time
	// drained reports that operators have taken the server out of service.
	drained bool
	// lastEventSequence is the highest sequence number of a cache event.
	lastEventSequence uint64
}

func newState(config Config) *state {
	return &state{
		config:       config,
		rng:          rand.New(rand.NewPCG(config.Seed, 0)),
		view:         &view.View{},
		servers:      map[string]*server{},
		prefillLoads: route.NewLoadTracker(),
		decodeLoads:  route.NewLoadTracker(),
		prefixIndex:  route.NewPrefixIndex(0),
		groups:       map[groupKey]*group{},

		remoteDemand: map[string]remoteDemand{},
	}
}

// loadTracker returns the load tracker for work of the given role.
func (s *state) loadTracker(role route.Role) *route.LoadTracker {
	if role == route.Decode {
		return s.decodeLoads
	}
	return s.prefillLoads
}

// refresh fetches the view of the fleet and applies it if it has changed.
func (s *state) refresh(now time.Time) {
	next := s.config.Views.View()
	changed := next != s.view
	if changed {
		s.setView(now, next)
	}
	if changed || now.Sub(s.configuredAt) >= configureInterval {
		s.configure(now)
	}
}

func (s *state) setView(now time.Time, next *view.View) {
	s.view = next
	listed := map[string]bool{}
	for _, vm := range next.Backends() {
		listed[vm.Name] = true
		if _, ok := s.servers[vm.Name]; !ok {
			s.servers[vm.Name] = &server{}
		}
		s.setVM(now, s.servers[vm.Name], vm)
	}
	for name := range s.servers {
		if !listed[name] {
			s.removeServer(name)
		}
	}
}

func (s *state) setVM(now time.Time, srv *server, vm sharedstate.VM) {
	if vm.Draining && !srv.vm.Draining {
		s.explain(now, vm.Name, "gets no new work", "leaving, by the VM list")
	}
	srv.vm = vm
}

// removeServer discards all that is known of a backend server.
func (s *state) removeServer(name string) {
	delete(s.servers, name)
	s.prefillLoads.RemoveServer(name)
	s.decodeLoads.RemoveServer(name)
	s.prefixIndex.RemoveServer(name)
	for _, g := range s.groups {
		for _, d := range g.outliers {
			d.Forget(name)
		}
	}
}

// configure applies the fleet configuration. It also runs without a new view
// because exceptions expire.
func (s *state) configure(now time.Time) {
	s.configuredAt = now
	for name, srv := range s.servers {
		values := s.view.Config.EffectiveValues(fleetconfig.Scope{
			Service:       srv.vm.Service,
			DataCentre:    srv.vm.DataCentre,
			BackendServer: name,
		}, now)
		s.setDrained(now, name, srv, values.Drained != nil && *values.Drained)
	}
	for key, g := range s.groups {
		s.configureGroup(key, g, now)
	}
}

func (s *state) setDrained(now time.Time, name string, srv *server, drained bool) {
	if srv.drained == drained {
		return
	}
	srv.drained = drained
	decision := "taken back into service"
	if drained {
		decision = "out of service"
	}
	s.explain(now, name, decision, "fleet configuration")
}

// applyReport applies a report of a link.
func (s *state) applyReport(now time.Time, r links.Report) {
	srv, ok := s.servers[r.Server]
	if !ok {
		// The link may have seen a VM list newer than the last refresh.
		s.refresh(now)
		if srv, ok = s.servers[r.Server]; !ok {
			return
		}
	}
	if srv.link != r.State {
		s.explain(now, r.Server, "link "+r.State.String(), "was "+srv.link.String()+"; only a link that is up gets new work")
		srv.link = r.State
	}
	switch {
	case r.Load != nil:
		s.setLoad(now, r.Server, r.Load)
	case r.Events != nil:
		s.applyCacheEvents(now, srv, r)
	}
}

// setLoad applies a load report of a backend server.
func (s *state) setLoad(now time.Time, name string, load *wire.Load) {
	srv, ok := s.servers[name]
	if !ok {
		return
	}
	if srv.load != nil && srv.load.GetRole() != load.GetRole() {
		s.resetOutlierStats(name)
	}
	srv.load, srv.loadReceivedAt = load, now
	translated := routeLoad(srv)
	s.prefillLoads.Report(now, name, translated)
	s.decodeLoads.Report(now, name, translated)
}

// resetOutlierStats discards the latency and failure statistics of a server
// whose role has changed: they do not apply to its new work.
func (s *state) resetOutlierStats(name string) {
	for _, g := range s.groups {
		for _, d := range g.outliers {
			d.Forget(name)
		}
	}
}

// applyCacheEvents updates the prefix index from an engine's cache events, which
// arrive with a delay. A gap in their sequence numbers may hide an eviction.
func (s *state) applyCacheEvents(now time.Time, srv *server, r links.Report) {
	first := r.Events.GetFirstSequence()
	if srv.lastEventSequence > 0 && first > srv.lastEventSequence+1 {
		s.prefixIndex.EventsLost(now, r.Server)
	}
	srv.lastEventSequence = max(srv.lastEventSequence, first)
	s.prefixIndex.AddStored(now, r.Server, r.Events.GetStored())
	s.prefixIndex.RemoveEvicted(r.Server, r.Events.GetEvicted())
}

// routeLoad converts a load report for package route. Calls of a plain service
// count as prompts of one token, so that their queue delay is computed like that
// of prefills.
func routeLoad(srv *server) route.Load {
	l := srv.load
	load := route.Load{
		QueuedTokens:  int(l.GetQueuedTokens()),
		RunningTokens: int(l.GetRunningTokens()),
		Running:       int(l.GetRunning()),
		Queued:        int(l.GetQueued()),
		Slots:         int(l.GetSlots()),
		FreeKVBlocks:  int(l.GetKvPieces()) - int(l.GetKvPiecesUsed()),
		PrefillRate:   l.GetPrefillRate(),
		DecodeRate:    l.GetDecodeRate(),
	}
	if srv.vm.Service != sharedstate.ServiceModels {
		load.QueuedTokens = load.Queued
		load.PrefillRate = callRate(l)
	}
	return load
}

// callRate returns how many calls per second a backend server of a plain service
// finishes.
func callRate(l *wire.Load) float64 {
	callTime := time.Duration(l.GetServiceMs() * float64(time.Millisecond))
	if callTime <= 0 {
		callTime = defaultServiceTime
	}
	return float64(max(1, l.GetSlots())) / callTime.Seconds()
}
