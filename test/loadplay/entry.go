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

// typicalOutput is the part of the tokens asked for that answers take.
const typicalOutput = 0.75

// entry is one entry: what it decides with, and what it knows of the servers.
type entry struct {
	play       *play
	name       string
	dataCentre string
	rng        *rand.Rand
	admits     map[string]*admit.Admitter // by service
	prefills   *route.LoadTracker
	decodes    *route.LoadTracker
	index      *route.PrefixIndex
	profile    route.Profile
	budget     *retry.Budget
	meter      *shift.DemandMeter
	outliers   map[route.Role]*outlier.Detector
	known      map[string]view
}

// view is a server as the entry knows it.
type view struct {
	role      shift.Role
	admitting bool
}

// call is one request at its entry.
type call struct {
	req      Request
	cost     int
	deadline time.Time
	excluded []string
	attempts int
	job      *job
	first    time.Time
	// work of all attempts, in engine-seconds.
	work  float64
	ended bool
}

func newEntry(p *play, i int) *entry {
	d := p.deployment
	rng := rand.New(rand.NewPCG(p.rng.Uint64(), uint64(i)))
	e := &entry{
		play:       p,
		name:       fmt.Sprintf("entry-%d", i),
		dataCentre: d.DataCentres[i%len(d.DataCentres)],
		rng:        rng,
		admits: map[string]*admit.Admitter{
			Drafts:  admit.New(admit.Config{Rand: rng}),
			Lookups: admit.New(admit.Config{Rand: rng}),
		},
		prefills: route.NewLoadTracker(),
		decodes:  route.NewLoadTracker(),
		index:    route.NewPrefixIndex(0),
		profile:  route.DefaultProfile(),
		budget:   retry.New(retry.Config{}),
		meter:    shift.NewDemandMeter(0),
		outliers: make(map[route.Role]*outlier.Detector),
		known:    make(map[string]view),
	}
	if p.policy.Route != nil {
		e.profile = p.policy.Route()
	}
	for _, role := range []route.Role{"", route.Prefill, route.Decode} {
		e.outliers[role] = outlier.New(outlier.Config{})
	}
	for _, s := range p.servers {
		e.known[s.name] = view{role: s.role, admitting: true}
	}
	return e
}

func (e *entry) report(measured time.Time, s *server, l route.Load) {
	e.prefills.Report(measured, s.name, l)
	e.decodes.Report(measured, s.name, l)
}

func (e *entry) cacheEvent(s *server, stored, evicted []uint64, lost bool) {
	if lost {
		e.index.EventsLost(e.play.now, s.name)
		return
	}
	e.index.AddStored(e.play.now, s.name, stored)
	e.index.RemoveEvicted(s.name, evicted)
}

func (e *entry) learn(s *server, role shift.Role, admitting bool) {
	if e.known[s.name].role != role {
		for _, d := range e.outliers {
			d.Forget(s.name)
		}
	}
	e.known[s.name] = view{role: role, admitting: admitting}
}

// arrive is a caller's request: route it, then admit or refuse it.
func (e *entry) arrive(r Request) {
	now := e.play.now
	c := &call{req: r, deadline: now.Add(r.Budget)}
	d, ok := e.pick(c, prefillRole(r))
	expected, drain := e.expect(c, d)
	c.cost = e.cost(r, d)
	if e.play.policy.Admission {
		a := e.admits[r.Service].Decide(now, admit.Request{
			Caller:     r.Caller,
			CostTokens: c.cost,
			Deadline:   r.Budget,
			RunTime:    expected.run,
			Class:      r.Class,
			Service:    r.Service,
		}, admit.LoadSnapshot{
			QueueDelay: expected.wait,
			DrainRate:  drain,
			EntryShare: 1 / float64(e.play.deployment.Entries),
			NoCapacity: !ok,
		})
		e.count(r, d, a.EntitledFraction)
		if !a.Admit {
			e.play.result.refuse(c, a.Reason)
			return
		}
	} else {
		e.count(r, d, 1)
		if !ok {
			e.play.result.refuse(c, admit.NoCapacity)
			return
		}
	}
	e.play.after(r.Budget, func() { e.deadline(c) })
	e.send(c, d)
}

// count adds a request to the demand, so far as its caller is entitled to it.
func (e *entry) count(r Request, d pickedServer, entitled float64) {
	if r.Service != Drafts {
		return
	}
	prompt := entitled * float64(uncached(r, d.CachedPieces))
	output := entitled * typicalOutput * float64(r.MaxOutput)
	e.meter.Add(e.play.now, int(prompt), int(output))
}

func prefillRole(r Request) route.Role {
	if r.Service == Lookups {
		return ""
	}
	return route.Prefill
}

func uncached(r Request, cachedPieces int) int {
	return max(1, r.Prompt-pieceTokens*cachedPieces)
}

func (e *entry) cost(r Request, d pickedServer) int {
	if r.Service == Lookups {
		return 1
	}
	return uncached(r, d.CachedPieces) + int(typicalOutput*float64(r.MaxOutput)*outputCost)
}

// expectation is what admission is told.
type expectation struct{ wait, run time.Duration }

// expect works out wait, run time and the drain rate for a call.
func (e *entry) expect(c *call, d pickedServer) (expectation, float64) {
	if c.req.Service == Lookups {
		return expectation{wait: d.QueueDelay, run: plainTime}, float64(e.play.deployment.Plains) * plainSlots / plainTime.Seconds()
	}
	now := e.play.now
	decode, _ := e.pick(c, route.Decode)
	prefill := seconds(float64(uncached(c.req, d.CachedPieces)) / prefillRate)
	run := prefill + time.Duration(typicalOutput*float64(c.req.MaxOutput)*float64(fullStep))
	demand := e.meter.Demand(now)
	prefills, decodes := e.counts()
	drain := admit.DrainRate(prefills*prefillRate, decodes*decodeRate, demand.PrefillTokens, demand.DecodeTokens, outputCost)
	return expectation{wait: d.QueueDelay + decode.QueueDelay, run: run}, drain
}

func (e *entry) counts() (prefills, decodes float64) {
	for _, s := range e.play.servers {
		v := e.known[s.name]
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

// pickedServer is a decision with what it was based on.
type pickedServer struct {
	route.Decision
	CachedPieces int
}

func (e *entry) pick(c *call, role route.Role) (pickedServer, bool) {
	now := e.play.now
	r := route.Request{
		Service:      c.req.Service,
		PromptTokens: c.req.Prompt,
		OutputTokens: c.req.MaxOutput,
		PrefixBlocks: c.req.Pieces,
		DataCentre:   e.dataCentre,
		Role:         role,
		Excluded:     c.excluded,
	}
	cached := map[string]int{}
	if role == route.Prefill {
		cached = e.index.CachedBlocks(now, c.req.Pieces)
	}
	d, ok := e.profile.Pick(e.rng, r, e.candidates(role, cached))
	return pickedServer{Decision: d, CachedPieces: cached[d.Name]}, ok
}

func (e *entry) candidates(role route.Role, cached map[string]int) []route.Candidate {
	now := e.play.now
	picture := e.prefills
	if role == route.Decode {
		picture = e.decodes
	}
	candidates := make([]route.Candidate, 0, len(e.play.servers))
	for _, s := range e.play.servers {
		v := e.known[s.name]
		load, _, _ := picture.Load(now, s.name)
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
		if v.role == shift.Decode && e.play.spill.MaxTimeShare > 0 {
			c.MaxSpilloverPrompt = e.play.spill.MaxPromptTokens
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// send starts an attempt.
func (e *entry) send(c *call, d pickedServer) {
	p := e.play
	p.serial++
	c.attempts++
	j := &job{
		id:       fmt.Sprintf("%d", p.serial),
		req:      c.req,
		entry:    e,
		call:     c,
		prefill:  p.byName[d.Name],
		expected: d.ExpectedTTFT,
		sent:     p.now,
	}
	c.job = j
	p.jobs[j.id] = j
	tokens := uncached(c.req, d.CachedPieces)
	if j.prefill.plain {
		tokens = 1
	}
	e.prefills.AddRequest(p.now, d.Name, j.id, tokens)
	e.index.AddExpected(p.now, d.Name, c.req.Pieces)
	p.after(time.Millisecond, func() { p.pushPrefill(j) })
}
