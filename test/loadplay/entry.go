package loadplay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/admit"
	"pistachioroad.dev/pistachioroad/internal/decide/outlier"
	"pistachioroad.dev/pistachioroad/internal/decide/retry"
	"pistachioroad.dev/pistachioroad/internal/decide/route"
	"pistachioroad.dev/pistachioroad/internal/decide/shift"
)

// typicalOutput is the mean answer length as a fraction of the requested limit.
const typicalOutput = 0.75

// entry is one entry with its decision state and its view of the servers.
type entry struct {
	sim          *simulation
	name         string
	dataCentre   string
	rng          *rand.Rand
	admitters    map[string]*admit.Admitter // by service
	prefillLoads *route.LoadTracker
	decodeLoads  *route.LoadTracker
	prefixIndex  *route.PrefixIndex
	profile      route.Profile
	retryBudget  *retry.Budget
	demandMeter  *shift.DemandMeter
	outliers     map[route.Role]*outlier.Detector
	serverViews  map[string]serverView
}

// serverView is the last known state of a server.
type serverView struct {
	role      shift.Role
	admitting bool
}

// call is one request at its entry, over all its attempts.
type call struct {
	req          Request
	costTokens   int
	deadline     time.Time
	excluded     []string
	attempts     int
	job          *job
	firstTokenAt time.Time
	// work is that of all ended attempts, in engine-seconds.
	work     float64
	finished bool
}

func newEntry(sim *simulation, i int) *entry {
	d := sim.deployment
	rng := rand.New(rand.NewPCG(sim.rng.Uint64(), uint64(i)))
	e := &entry{
		sim:        sim,
		name:       fmt.Sprintf("entry-%d", i),
		dataCentre: d.DataCentres[i%len(d.DataCentres)],
		rng:        rng,
		admitters: map[string]*admit.Admitter{
			Drafts:  admit.New(admit.Config{Rand: rng}),
			Lookups: admit.New(admit.Config{Rand: rng}),
		},
		prefillLoads: route.NewLoadTracker(),
		decodeLoads:  route.NewLoadTracker(),
		prefixIndex:  route.NewPrefixIndex(0),
		profile:      route.DefaultProfile(),
		retryBudget:  retry.New(retry.Config{}),
		demandMeter:  shift.NewDemandMeter(0),
		outliers:     make(map[route.Role]*outlier.Detector),
		serverViews:  make(map[string]serverView),
	}
	if sim.policy.RouteProfile != nil {
		e.profile = sim.policy.RouteProfile()
	}
	for _, role := range []route.Role{"", route.Prefill, route.Decode} {
		e.outliers[role] = outlier.New(outlier.Config{})
	}
	for _, s := range sim.servers {
		e.serverViews[s.name] = serverView{role: s.role, admitting: true}
	}
	return e
}

func (e *entry) report(measured time.Time, s *server, l route.Load) {
	e.prefillLoads.Report(measured, s.name, l)
	e.decodeLoads.Report(measured, s.name, l)
}

func (e *entry) cacheEvent(s *server, stored, evicted []uint64, lost bool) {
	if lost {
		e.prefixIndex.EventsLost(e.sim.now, s.name)
		return
	}
	e.prefixIndex.AddStored(e.sim.now, s.name, stored)
	e.prefixIndex.RemoveEvicted(s.name, evicted)
}

func (e *entry) updateServer(s *server, role shift.Role, admitting bool) {
	if e.serverViews[s.name].role != role {
		for _, d := range e.outliers {
			d.Forget(s.name)
		}
	}
	e.serverViews[s.name] = serverView{role: role, admitting: admitting}
}

// arrive routes a caller's request, then admits or rejects it.
func (e *entry) arrive(r Request) {
	now := e.sim.now
	c := &call{req: r, deadline: now.Add(r.Budget)}
	d, ok := e.pick(c, prefillRole(r))
	expected, drain := e.estimate(c, d)
	c.costTokens = e.costTokens(r, d)
	if e.sim.policy.Admission {
		a := e.admitters[r.Service].Decide(now, admit.Request{
			Caller:     r.Caller,
			CostTokens: c.costTokens,
			Deadline:   r.Budget,
			RunTime:    expected.runTime,
			Class:      r.Class,
			Service:    r.Service,
		}, admit.LoadSnapshot{
			QueueDelay: expected.queueDelay,
			DrainRate:  drain,
			EntryShare: 1 / float64(e.sim.deployment.Entries),
			NoCapacity: !ok,
		})
		e.addDemand(r, d, a.EntitledFraction)
		if !a.Admit {
			e.sim.result.addRejection(c, a.Reason)
			return
		}
	} else {
		e.addDemand(r, d, 1)
		if !ok {
			e.sim.result.addRejection(c, admit.NoCapacity)
			return
		}
	}
	e.sim.after(r.Budget, func() { e.deadlineExpired(c) })
	e.send(c, d)
}

// addDemand adds to the demand the fraction of a request that its caller is
// entitled to.
func (e *entry) addDemand(r Request, d pickedServer, entitled float64) {
	if r.Service != Drafts {
		return
	}
	prompt := entitled * float64(uncached(r, d.CachedBlocks))
	output := entitled * typicalOutput * float64(r.MaxOutput)
	e.demandMeter.Add(e.sim.now, int(prompt), int(output))
}

func prefillRole(r Request) route.Role {
	if r.Service == Lookups {
		return ""
	}
	return route.Prefill
}

func uncached(r Request, cachedBlocks int) int {
	return max(1, r.PromptTokens-kvBlockTokens*cachedBlocks)
}

func (e *entry) costTokens(r Request, d pickedServer) int {
	if r.Service == Lookups {
		return 1
	}
	return uncached(r, d.CachedBlocks) + int(typicalOutput*float64(r.MaxOutput)*outputTokenCost)
}

// callEstimate is the estimate for a call that admission control is given.
type callEstimate struct{ queueDelay, runTime time.Duration }

// estimate returns the queue delay and run time of a call, and the drain rate of
// its service.
func (e *entry) estimate(c *call, d pickedServer) (callEstimate, float64) {
	if c.req.Service == Lookups {
		return callEstimate{queueDelay: d.QueueDelay, runTime: plainTime}, float64(e.sim.deployment.PlainServices) * plainSlots / plainTime.Seconds()
	}
	now := e.sim.now
	decode, _ := e.pick(c, route.Decode)
	prefill := seconds(float64(uncached(c.req, d.CachedBlocks)) / prefillRate)
	runTime := prefill + time.Duration(typicalOutput*float64(c.req.MaxOutput)*float64(fullBatchStep))
	demand := e.demandMeter.Demand(now)
	prefills, decodes := e.countEngines()
	drain := admit.DrainRate(prefills*prefillRate, decodes*decodeRate, demand.PrefillTokens, demand.DecodeTokens, outputTokenCost)
	return callEstimate{queueDelay: d.QueueDelay + decode.QueueDelay, runTime: runTime}, drain
}

func (e *entry) countEngines() (prefills, decodes float64) {
	for _, s := range e.sim.servers {
		v := e.serverViews[s.name]
		switch {
		case s.plain || !v.admitting:
		case v.role == shift.Prefill:
			prefills++
		default:
			decodes++
		}
	}
	return prefills, decodes
}

// pickedServer is a routing decision with the number of cached blocks that it was
// based on.
type pickedServer struct {
	route.Decision
	CachedBlocks int
}

func (e *entry) pick(c *call, role route.Role) (pickedServer, bool) {
	now := e.sim.now
	r := route.Request{
		Service:      c.req.Service,
		PromptTokens: c.req.PromptTokens,
		OutputTokens: c.req.MaxOutput,
		PrefixBlocks: c.req.PrefixBlocks,
		DataCentre:   e.dataCentre,
		Role:         role,
		Excluded:     c.excluded,
	}
	cached := map[string]int{}
	if role == route.Prefill {
		cached = e.prefixIndex.CachedBlocks(now, c.req.PrefixBlocks)
	}
	d, ok := e.profile.Pick(e.rng, r, e.candidates(role, cached))
	return pickedServer{Decision: d, CachedBlocks: cached[d.Name]}, ok
}

func (e *entry) candidates(role route.Role, cached map[string]int) []route.Candidate {
	now := e.sim.now
	loads := e.prefillLoads
	if role == route.Decode {
		loads = e.decodeLoads
	}
	candidates := make([]route.Candidate, 0, len(e.sim.servers))
	for _, s := range e.sim.servers {
		v := e.serverViews[s.name]
		load, _, _ := loads.Load(now, s.name)
		c := route.Candidate{
			Name:         s.name,
			DataCentre:   s.dataCentre,
			Service:      Drafts,
			Role:         route.Role(v.role),
			Admitting:    v.admitting,
			Load:         load,
			CachedBlocks: cached[s.name],
			Weight:       e.outliers[role].Weight(now, s.name),
		}
		if s.plain {
			c.Service = Lookups
		}
		if v.role == shift.Decode && e.sim.spillover.MaxTimeShare > 0 {
			c.MaxSpilloverPrompt = e.sim.spillover.MaxPromptTokens
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// send starts an attempt.
func (e *entry) send(c *call, d pickedServer) {
	sim := e.sim
	sim.lastJobID++
	c.attempts++
	j := &job{
		id:              fmt.Sprintf("%d", sim.lastJobID),
		req:             c.req,
		entry:           e,
		call:            c,
		prefill:         sim.byName[d.Name],
		expectedPrefill: d.ExpectedTTFT,
		sentAt:          sim.now,
	}
	c.job = j
	sim.jobs[j.id] = j
	tokens := uncached(c.req, d.CachedBlocks)
	if j.prefill.plain {
		tokens = 1
	}
	e.prefillLoads.AddRequest(sim.now, d.Name, j.id, tokens)
	e.prefixIndex.AddExpected(sim.now, d.Name, c.req.PrefixBlocks)
	sim.after(time.Millisecond, func() { sim.enqueuePrefill(j) })
}
