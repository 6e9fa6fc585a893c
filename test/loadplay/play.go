// Package loadplay plays loads over the decision code of the system, in
// virtual time: entries that admit, route and retry, sidecars that queue, a
// planner that shifts roles, and a fake engine under them. It compares the
// decisions with plain alternatives on the same trace.
//
// It is no simulator of a cluster: there are no messages, no crashes and no
// protocol, only delays on what entries and planner get to know. The engine
// is a rate for prefill, a step time for decode that grows with the batch, a
// cache of prompt pieces, and a role change that takes seconds.
package loadplay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/queue"
	"pistachioroad.dev/pistachioroad/internal/decide/shift"
)

// play is one run of one policy.
type play struct {
	clock
	deployment Deployment
	scenario   Scenario
	policy     Policy
	rng        *rand.Rand
	servers    []*server
	byName     map[string]*server
	entries    []*entry
	planner    planner
	jobs       map[string]*job
	serial     int
	demand     shift.Demand // as last reported to the planner
	spill      shift.Spillover
	result     *result
}

// drainOut is how long a play goes on after its last request.
const drainOut = time.Minute

// Play runs a policy over a trace and returns its row and its course.
func Play(seed uint64, d Deployment, s Scenario, p Policy, trace []Request) (Row, []Sample) {
	if p.Oracles == nil {
		return playWith(seed, d, s, p, trace, p.Planner(d, trace))
	}
	var best Row
	var course []Sample
	for _, future := range p.Oracles {
		row, samples := playWith(seed, d, s, p, trace, future(d, trace))
		if course == nil || row.Goodput > best.Goodput {
			best, course = row, samples
		}
	}
	return best, course
}

func playWith(seed uint64, d Deployment, s Scenario, p Policy, trace []Request, pl planner) (Row, []Sample) {
	run := &play{
		clock:      clock{now: epoch},
		deployment: d,
		scenario:   s,
		policy:     p,
		rng:        rand.New(rand.NewPCG(seed, 0xfeed)),
		byName:     make(map[string]*server),
		planner:    pl,
		jobs:       make(map[string]*job),
		result:     newResult(d, s, p, seed, trace),
	}
	run.build()
	run.schedule(trace)
	end := epoch.Add(s.Length + drainOut)
	for t := epoch; t.Before(end); t = t.Add(tick) {
		run.advance(t)
		for _, sv := range run.servers {
			run.serve(sv)
		}
	}
	return run.result.row(run), run.result.samples
}

func (p *play) build() {
	d := p.deployment
	for i := range d.Engines {
		role := shift.Decode
		if i < d.Prefills {
			role = shift.Prefill
		}
		p.addServer(fmt.Sprintf("engine-%02d", i), d.DataCentres[i%len(d.DataCentres)], role, false)
	}
	for i := range d.Plains {
		p.addServer(fmt.Sprintf("plain-%02d", i), d.DataCentres[i%len(d.DataCentres)], "", true)
	}
	for i := range d.Entries {
		p.entries = append(p.entries, newEntry(p, i))
	}
}

func (p *play) addServer(name, dataCentre string, role shift.Role, plain bool) {
	s := &server{
		name:         name,
		dataCentre:   dataCentre,
		plain:        plain,
		role:         role,
		next:         role,
		since:        epoch.Add(-time.Hour),
		speed:        1,
		prefillQueue: p.newLine(),
		decodeQueue:  p.newLine(),
		cache:        newPrefixCache(cachePieces),
	}
	p.servers = append(p.servers, s)
	p.byName[name] = s
}

func (p *play) newLine() line {
	if p.policy.FirstIn {
		return &fifo{}
	}
	q := queue.New(queue.Config{KVBlocks: runPieces})
	q.SetDrainRate(prefillRate)
	return q
}

// schedule sets up all that happens by itself: arrivals, reports, gossip,
// planning and faults.
func (p *play) schedule(trace []Request) {
	for _, r := range trace {
		p.after(r.At, func() { p.entries[r.ID%len(p.entries)].arrive(r) })
	}
	for i, s := range p.servers {
		// Servers report out of step with each other.
		p.after(time.Duration(i)*17*time.Millisecond, func() {
			p.report(s)
			p.every(reportPeriod, func() { p.report(s) })
		})
	}
	p.every(gossipPeriod, p.gossip)
	p.every(gapPeriod, func() {
		for _, e := range p.entries {
			e.watchGaps()
		}
	})
	p.every(planPeriod, p.step)
	p.every(time.Second, func() { p.result.sample(p) })
	for _, f := range p.scenario.Faults {
		p.after(f.From, func() { p.strike(f, true) })
		p.after(f.To, func() { p.strike(f, false) })
	}
}

// strike begins or ends what a fault does to servers.
func (p *play) strike(f Fault, begin bool) {
	engines := p.servers[:p.deployment.Engines]
	plains := p.servers[p.deployment.Engines:]
	for _, s := range slices.Concat(engines[:f.Engines], plains[:f.Plains]) {
		s.speed, s.failing = 1, 0
		if begin {
			s.speed, s.failing = f.Slow, f.Failing
		}
	}
}

// faults merges what is wrong now.
func (p *play) faults() Fault {
	var now Fault
	t := p.now.Sub(epoch)
	for _, f := range p.scenario.Faults {
		if t < f.From || t >= f.To {
			continue
		}
		now.LostReports = max(now.LostReports, f.LostReports)
		now.LostEvents = max(now.LostEvents, f.LostEvents)
		now.ReportLag = max(now.ReportLag, f.ReportLag)
		now.StoreOut = now.StoreOut || f.StoreOut
	}
	return now
}

// report sends a load report and the cache events to each entry; each copy is
// late, and may be lost, for itself.
func (p *play) report(s *server) {
	f := p.faults()
	measured, load := p.now, s.load()
	stored, evicted := s.stored, s.evicted
	s.stored, s.evicted = nil, nil
	for _, e := range p.entries {
		if p.rng.Float64() >= f.LostReports {
			lag := reportLag/2 + time.Duration(p.rng.Float64()*float64(reportLag)) + f.ReportLag
			p.after(lag, func() { e.report(measured, s, load) })
		}
		if len(stored)+len(evicted) == 0 {
			continue
		}
		lost := p.rng.Float64() < f.LostEvents
		p.after(eventLag, func() { e.cacheEvent(s, stored, evicted, lost) })
	}
}

func (p *play) gossip() {
	for _, from := range p.entries {
		usages := from.admits[Drafts].HeaviestAccounts(p.now, gossipAccounts)
		for _, to := range p.entries {
			if to != from {
				p.after(time.Millisecond, func() { to.admits[Drafts].SetRemoteUsage(p.now, from.name, usages) })
			}
		}
	}
}

// gossipAccounts are told to the other entries.
const gossipAccounts = 16

// step is one round of the planner: it decides on what was reported a second
// ago, and nothing while the store is out.
func (p *play) step() {
	seen := p.demand
	p.demand = p.measureDemand()
	if p.faults().StoreOut {
		return
	}
	d := p.planner.Step(p.now, p.fleet(seen))
	p.after(planLag, func() {
		p.setSpill(d.Spillover)
		for _, c := range d.Changes {
			p.order(c)
		}
	})
}

func (p *play) measureDemand() shift.Demand {
	var sum shift.Demand
	for _, e := range p.entries {
		sum = sum.Plus(e.meter.Demand(p.now))
	}
	return sum
}

func (p *play) fleet(seen shift.Demand) shift.Fleet {
	f := shift.Fleet{
		Demand:   seen,
		Capacity: shift.Capacity{PrefillTokens: prefillRate, DecodeTokens: decodeRate},
	}
	for _, s := range p.servers {
		if s.plain {
			continue
		}
		f.Engines = append(f.Engines, shift.Engine{
			Name:         s.name,
			Role:         s.next,
			Movable:      true,
			Changing:     s.changing,
			RoleSince:    s.since,
			QueuedTokens: s.load().QueuedTokens + 100*len(s.streams),
			Speed:        s.speed,
		})
	}
	return f
}

func (p *play) setSpill(spill shift.Spillover) {
	p.spill = spill
	for _, s := range p.servers {
		if s.role == shift.Decode {
			s.spill = spill
		}
	}
}
