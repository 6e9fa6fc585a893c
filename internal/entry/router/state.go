package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/admit"
	"pistachioroad.dev/pistachioroad/internal/decide/outlier"
	"pistachioroad.dev/pistachioroad/internal/decide/retry"
	"pistachioroad.dev/pistachioroad/internal/decide/route"
	"pistachioroad.dev/pistachioroad/internal/decide/shift"
	"pistachioroad.dev/pistachioroad/internal/entry/links"
	"pistachioroad.dev/pistachioroad/internal/entry/view"
	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/plan"
	"pistachioroad.dev/pistachioroad/internal/platform"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	// maxGroups bounds the services and models with a group of their own.
	maxGroups = 64
	// configureInterval is how often exceptions are looked at for expiry.
	configureInterval = 2 * time.Second
	// plainFloor is how many calls of an idle plain service may be retried
	// within the hold of the budget; its work is counted in calls.
	plainFloor = 4
)

// state is what the router knows. It belongs to the goroutine of Serve.
type state struct {
	config  Config
	rng     *rand.Rand
	view    *view.View
	servers map[string]*server
	picture *route.Picture
	prefix  *route.PrefixIndex
	groups  map[groupKey]*group
	// configuredAt is when the configuration was last applied.
	configuredAt time.Time
}

// server is one backend server.
type server struct {
	vm   platform.VM
	link links.State
	// load is the last report, nil before the first.
	load  *wire.Load
	slots *wire.Slots
	// loadAt is when load came.
	loadAt time.Time
	// drained says that operators have taken it out of service.
	drained bool
	// lastEvent is the sequence number of the last cache event.
	lastEvent uint64
}

// groupKey names the backend servers that can stand in for each other.
type groupKey struct{ service, model string }

// group holds the decisions about one service or model.
type group struct {
	admitter *admit.Admitter
	// share is the retry share of budget.
	share    float64
	budget   *retry.Budget
	outliers *outlier.Detector
}

func newState(config Config) *state {
	return &state{
		config:  config,
		rng:     rand.New(rand.NewPCG(config.Seed, 0)),
		view:    &view.View{},
		servers: map[string]*server{},
		picture: route.NewPicture(),
		prefix:  route.NewPrefixIndex(0),
		groups:  map[groupKey]*group{},
	}
}

// refresh takes a new view of the fleet.
func (s *state) refresh(now time.Time) {
	next := s.config.Views.View()
	if next != s.view {
		s.adopt(next)
	} else if now.Sub(s.configuredAt) < configureInterval {
		return
	}
	s.configure(now)
}

func (s *state) adopt(next *view.View) {
	s.view = next
	listed := map[string]bool{}
	for _, vm := range next.Backends() {
		listed[vm.Name] = true
		s.server(vm.Name).vm = vm
	}
	for name := range s.servers {
		if !listed[name] {
			s.forget(name)
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
		known.drained = values.Drained != nil && *values.Drained
	}
	for key, g := range s.groups {
		if share := s.retryShare(key, now); share != g.share {
			g.share = share
			g.budget = newBudget(key, share)
		}
	}
}

func (s *state) forget(name string) {
	delete(s.servers, name)
	s.picture.Forget(name)
	s.prefix.Forget(name)
	for _, g := range s.groups {
		g.outliers.Forget(name)
	}
}

func (s *state) server(name string) *server {
	known, ok := s.servers[name]
	if !ok {
		known = &server{}
		s.servers[name] = known
	}
	return known
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
	known.link = r.State
	switch {
	case r.Load != nil:
		s.load(now, r.Server, r.Load)
	case r.Events != nil:
		s.cacheEvents(now, known, r)
	case r.Slots != nil:
		known.slots = r.Slots
	}
}

// load takes a backend server's own account of its work.
func (s *state) load(now time.Time, name string, load *wire.Load) {
	known, ok := s.servers[name]
	if !ok {
		return
	}
	known.load, known.loadAt = load, now
	s.picture.Report(now, name, loadOf(known))
}

// cacheEvents takes late reports of what an engine caches. A gap in their
// numbers may have hidden an eviction.
func (s *state) cacheEvents(now time.Time, known *server, r links.Report) {
	first := r.Events.GetFirstSequence()
	if known.lastEvent > 0 && first > known.lastEvent+1 {
		s.prefix.Gap(now, r.Server)
	}
	known.lastEvent = max(known.lastEvent, first)
	s.prefix.Stored(now, r.Server, r.Events.GetStored())
	s.prefix.Evicted(r.Server, r.Events.GetEvicted())
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
		FreePieces:    int(l.GetKvPieces()) - int(l.GetKvPiecesUsed()),
		PrefillRate:   l.GetPrefillRate(),
		DecodeRate:    l.GetDecodeRate(),
	}
	if known.vm.Service != platform.ServiceModels {
		load.QueuedTokens = load.Queued
		load.PrefillRate = callRate(l)
	}
	return load
}

// callRate is how many calls a second a plain backend server finishes.
func callRate(l *wire.Load) float64 {
	const (
		defaultServiceMS = 5
		msPerSecond      = 1000
	)
	serviceMS := l.GetServiceMs()
	if serviceMS <= 0 {
		serviceMS = defaultServiceMS
	}
	return float64(max(1, l.GetSlots())) * msPerSecond / serviceMS
}

func (s *state) group(r *Request) *group {
	key := groupKey{service: r.Service, model: r.Model}
	if g, ok := s.groups[key]; ok {
		return g
	}
	if len(s.groups) >= maxGroups {
		clear(s.groups)
	}
	share := s.retryShare(key, s.config.Now())
	g := &group{
		admitter: admit.New(admit.Config{Rand: s.rng}),
		share:    share,
		budget:   newBudget(key, share),
		outliers: outlier.New(outlier.Config{}),
	}
	s.groups[key] = g
	return g
}

func newBudget(key groupKey, share float64) *retry.Budget {
	config := retry.Config{Share: share}
	if key.model == "" {
		config.Floor = plainFloor
	}
	return retry.New(config)
}

func (s *state) retryShare(key groupKey, now time.Time) float64 {
	values := s.view.Values(key.service, key.model, now)
	if values.RetryShare == nil {
		return 0
	}
	return *values.RetryShare
}

// candidates returns the backend servers of the request's service, as the
// decisions see them.
func (s *state) candidates(now time.Time, r *Request) []route.Candidate {
	cached := s.prefix.Cached(now, r.Pieces)
	g := s.group(r)
	candidates := make([]route.Candidate, 0, len(s.servers))
	for name, known := range s.servers {
		if known.vm.Service != r.Service || known.load == nil {
			continue
		}
		c := s.candidate(now, name, known, r)
		c.CachedPieces = cached[name]
		c.Weight = g.outliers.Weight(now, name)
		candidates = append(candidates, c)
	}
	// The order of a map is random; the choice must depend on the seed alone.
	slices.SortFunc(candidates, func(a, b route.Candidate) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return candidates
}

func (s *state) candidate(now time.Time, name string, known *server, r *Request) route.Candidate {
	row, _ := s.view.Row(name)
	c := route.Candidate{
		Name:       name,
		DataCentre: known.vm.DataCentre,
		Service:    known.vm.Service,
		Adapters:   row.Adapters,
		Admitting:  known.load.GetAdmitting() && known.link == links.Up && !known.drained,
		Leaving:    known.vm.Leaving,
	}
	c.Load, _, _ = s.picture.Load(now, name)
	if r.Service != platform.ServiceModels {
		return c
	}
	c.Role = route.Role(known.load.GetRole())
	if c.Role == "" {
		c.Role = route.Mixed
	}
	if c.Role == route.Decode {
		c.SpillPrompt = shift.DefaultSpillPrompt
	}
	c.Model = modelOf(known, row, r.Model)
	return c
}

// modelOf returns the model that the engine serves now: the request's, if the
// engine reports it. An engine that reports none serves what the plan says;
// without a plan it is asked, and refuses what it does not serve.
func modelOf(known *server, row plan.Engine, model string) string {
	if slices.Contains(known.load.GetModels(), model) {
		return model
	}
	if len(known.load.GetModels()) > 0 {
		return known.load.GetModels()[0]
	}
	if row.Model == "" {
		return model
	}
	return row.Model
}

// request translates a Request for the decision of a role.
func (s *state) request(r *Request, role route.Role, excluded []string) route.Request {
	return route.Request{
		Service:      r.Service,
		Model:        r.Model,
		Adapter:      r.Adapter,
		PromptTokens: r.PromptTokens,
		OutputTokens: r.OutputTokens,
		Pieces:       r.Pieces,
		DataCentre:   s.config.DataCentre,
		Role:         role,
		Excluded:     excluded,
	}
}
