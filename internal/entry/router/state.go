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

// configureInterval is how often exceptions are looked at for expiry.
const configureInterval = 2 * time.Second

// state is what the router knows. It belongs to the goroutine of Serve.
type state struct {
	config  Config
	rng     *rand.Rand
	view    *view.View
	servers map[string]*server
	// prefills and decodes are the pictures of the two kinds of work; calls of
	// plain services count as prefills.
	prefills, decodes *route.LoadTracker
	prefix            *route.PrefixIndex
	groups            map[groupKey]*group
	// remoteDemand is keyed by the name of the other entry.
	remoteDemand map[string]remoteDemand
	// configuredAt is when the configuration was last applied.
	configuredAt time.Time
}

// server is one backend server.
type server struct {
	vm   sharedstate.VM
	link links.State
	// load is the last report, nil before the first; loadAt is when it came.
	load   *wire.Load
	loadAt time.Time
	// drained says that operators have taken it out of service.
	drained bool
	// lastEvent is the sequence number of the last cache event.
	lastEvent uint64
}

func newState(config Config) *state {
	return &state{
		config:   config,
		rng:      rand.New(rand.NewPCG(config.Seed, 0)),
		view:     &view.View{},
		servers:  map[string]*server{},
		prefills: route.NewLoadTracker(),
		decodes:  route.NewLoadTracker(),
		prefix:   route.NewPrefixIndex(0),
		groups:   map[groupKey]*group{},

		remoteDemand: map[string]remoteDemand{},
	}
}

func (s *state) picture(role route.Role) *route.LoadTracker {
	if role == route.Decode {
		return s.decodes
	}
	return s.prefills
}

// refresh takes a new view of the fleet.
func (s *state) refresh(now time.Time) {
	next := s.config.Views.View()
	changed := next != s.view
	if changed {
		s.adopt(now, next)
	}
	if changed || now.Sub(s.configuredAt) >= configureInterval {
		s.configure(now)
	}
}

func (s *state) adopt(now time.Time, next *view.View) {
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
			s.forget(name)
		}
	}
}

func (s *state) setVM(now time.Time, known *server, vm sharedstate.VM) {
	if vm.Leaving && !known.vm.Leaving {
		s.explain(now, vm.Name, "gets no new work", "leaving, by the VM list")
	}
	known.vm = vm
}

func (s *state) forget(name string) {
	delete(s.servers, name)
	s.prefills.RemoveServer(name)
	s.decodes.RemoveServer(name)
	s.prefix.RemoveServer(name)
	for _, g := range s.groups {
		for _, d := range g.outliers {
			d.Forget(name)
		}
	}
}

// configure applies the fleet configuration. Exceptions expire, so it is done
// also without a new view.
func (s *state) configure(now time.Time) {
	s.configuredAt = now
	for name, known := range s.servers {
		values := s.view.Config.For(fleetconfig.Scope{
			Service:       known.vm.Service,
			DataCentre:    known.vm.DataCentre,
			BackendServer: name,
		}, now)
		s.setDrained(now, name, known, values.Drained != nil && *values.Drained)
	}
	for key, g := range s.groups {
		s.configureGroup(key, g, now)
	}
}

func (s *state) setDrained(now time.Time, name string, known *server, drained bool) {
	if known.drained == drained {
		return
	}
	known.drained = drained
	decision := "taken back into service"
	if drained {
		decision = "out of service"
	}
	s.explain(now, name, decision, "fleet configuration")
}

// report takes what a link learned.
func (s *state) report(now time.Time, r links.Report) {
	known, ok := s.servers[r.Server]
	if !ok {
		// The link can know a VM before the next refresh does.
		s.refresh(now)
		if known, ok = s.servers[r.Server]; !ok {
			return
		}
	}
	if known.link != r.State {
		s.explain(now, r.Server, "link "+r.State.String(), "was "+known.link.String()+"; only a link that is up gets new work")
		known.link = r.State
	}
	switch {
	case r.Load != nil:
		s.load(now, r.Server, r.Load)
	case r.Events != nil:
		s.cacheEvents(now, known, r)
	}
}

// load takes a backend server's own account of its work.
func (s *state) load(now time.Time, name string, load *wire.Load) {
	known, ok := s.servers[name]
	if !ok {
		return
	}
	if known.load != nil && known.load.GetRole() != load.GetRole() {
		s.roleChanged(name)
	}
	known.load, known.loadAt = load, now
	translated := loadOf(known)
	s.prefills.Report(now, name, translated)
	s.decodes.Report(now, name, translated)
}

// roleChanged forgets how fast a server was: its work is another now.
func (s *state) roleChanged(name string) {
	for _, g := range s.groups {
		for _, d := range g.outliers {
			d.Forget(name)
		}
	}
}

// cacheEvents takes late reports of what an engine caches. A gap in their
// numbers may have hidden an eviction.
func (s *state) cacheEvents(now time.Time, known *server, r links.Report) {
	first := r.Events.GetFirstSequence()
	if known.lastEvent > 0 && first > known.lastEvent+1 {
		s.prefix.EventsLost(now, r.Server)
	}
	known.lastEvent = max(known.lastEvent, first)
	s.prefix.AddStored(now, r.Server, r.Events.GetStored())
	s.prefix.RemoveEvicted(r.Server, r.Events.GetEvicted())
}

// loadOf translates a report. Calls of a plain service count as prompts of one
// token, so that their wait is worked out like that of a prefill.
func loadOf(known *server) route.Load {
	l := known.load
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
	if known.vm.Service != sharedstate.ServiceModels {
		load.QueuedTokens = load.Queued
		load.PrefillRate = callRate(l)
	}
	return load
}

// callRate is how many calls a second a plain backend server finishes.
func callRate(l *wire.Load) float64 {
	callTime := time.Duration(l.GetServiceMs() * float64(time.Millisecond))
	if callTime <= 0 {
		callTime = defaultCallTime
	}
	return float64(max(1, l.GetSlots())) / callTime.Seconds()
}
