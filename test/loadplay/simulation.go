// Package loadplay simulates load on the decision code of the system in
// virtual time: entries that admit, route and retry, sidecars that queue, a
// planner that changes roles, and fake engines. It compares the policies of
// the decision code with simple alternatives on the same trace.
//
// It does not simulate a cluster: there are no messages, crashes or protocols,
// only delays before entries and the planner receive reports. An engine is
// modelled as a prefill rate, a decode step time that grows with the batch, a
// cache of KV blocks, and a role change that takes seconds.
package loadplay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/queue"
	"pistachioroad.dev/pistachioroad/internal/decide/shift"
)

// simulation runs one policy over one trace.
type simulation struct {
	clock
	deployment     Deployment
	scenario       Scenario
	policy         Policy
	rng            *rand.Rand
	servers        []*server
	byName         map[string]*server
	entries        []*entry
	planner        planner
	jobs           map[string]*job
	lastJobID      int
	reportedDemand shift.Demand // as of the last planning round
	spillover      shift.Spillover
	result         *result
}

// drainPeriod is how long a simulation continues after the end of the load, so
// that requests in flight can finish.
const drainPeriod = time.Minute

// Simulate runs a policy over a trace and returns its row and its time series.
// With several oracle planners, it returns those of the highest goodput.
func Simulate(seed uint64, d Deployment, s Scenario, p Policy, trace []Request) (Row, []Sample) {
	if p.OraclePlanners == nil {
		return simulateWith(seed, d, s, p, trace, p.Planner(d, trace))
	}
	var best Row
	var series []Sample
	for _, newPlanner := range p.OraclePlanners {
		row, samples := simulateWith(seed, d, s, p, trace, newPlanner(d, trace))
		if series == nil || row.Goodput > best.Goodput {
			best, series = row, samples
		}
	}
	return best, series
}

func simulateWith(seed uint64, d Deployment, s Scenario, p Policy, trace []Request, pl planner) (Row, []Sample) {
	sim := &simulation{
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
	sim.buildFleet()
	sim.scheduleEvents(trace)
	end := epoch.Add(s.Duration + drainPeriod)
	for t := epoch; t.Before(end); t = t.Add(tick) {
		sim.advance(t)
		for _, sv := range sim.servers {
			sim.serveTick(sv)
		}
	}
	return sim.result.row(sim), sim.result.samples
}

func (sim *simulation) buildFleet() {
	d := sim.deployment
	for i := range d.Engines {
		role := shift.Decode
		if i < d.PrefillEngines {
			role = shift.Prefill
		}
		sim.addServer(fmt.Sprintf("engine-%02d", i), d.DataCentres[i%len(d.DataCentres)], role, false)
	}
	for i := range d.PlainServices {
		sim.addServer(fmt.Sprintf("plain-%02d", i), d.DataCentres[i%len(d.DataCentres)], "", true)
	}
	for i := range d.Entries {
		sim.entries = append(sim.entries, newEntry(sim, i))
	}
}

func (sim *simulation) addServer(name, dataCentre string, role shift.Role, plain bool) {
	s := &server{
		name:         name,
		dataCentre:   dataCentre,
		plain:        plain,
		role:         role,
		targetRole:   role,
		roleSince:    epoch.Add(-time.Hour),
		speed:        1,
		prefillQueue: sim.newQueue(),
		decodeQueue:  sim.newQueue(),
		cache:        newPrefixCache(cacheKVBlocks),
	}
	sim.servers = append(sim.servers, s)
	sim.byName[name] = s
}

func (sim *simulation) newQueue() workQueue {
	if sim.policy.FIFOQueues {
		return &fifo{}
	}
	q := queue.New(queue.Config{KVBlocks: runningKVBlocks})
	q.SetDrainRate(prefillRate)
	return q
}

// scheduleEvents schedules arrivals, load reports, gossip, planning rounds and
// faults.
func (sim *simulation) scheduleEvents(trace []Request) {
	for _, r := range trace {
		sim.after(r.At, func() { sim.entries[r.ID%len(sim.entries)].arrive(r) })
	}
	for i, s := range sim.servers {
		// Staggers the reports of the servers.
		sim.after(time.Duration(i)*17*time.Millisecond, func() {
			sim.sendReports(s)
			sim.every(reportPeriod, func() { sim.sendReports(s) })
		})
	}
	sim.every(gossipPeriod, sim.exchangeUsage)
	sim.every(latencyCheckPeriod, func() {
		for _, e := range sim.entries {
			e.observeInterTokenLatency()
		}
	})
	sim.every(planPeriod, sim.planningRound)
	sim.every(time.Second, func() { sim.result.addSample(sim) })
	for _, f := range sim.scenario.Faults {
		sim.after(f.From, func() { sim.setServerFault(f, true) })
		sim.after(f.To, func() { sim.setServerFault(f, false) })
	}
}

// setServerFault applies a fault's slowdown and failure rate to its servers, or
// resets them.
func (sim *simulation) setServerFault(f Fault, begin bool) {
	engines := sim.servers[:sim.deployment.Engines]
	plains := sim.servers[sim.deployment.Engines:]
	for _, s := range slices.Concat(engines[:f.Engines], plains[:f.PlainServices]) {
		s.speed, s.failureRate = 1, 0
		if begin {
			s.speed, s.failureRate = f.SlowSpeed, f.FailureRate
		}
	}
}

// activeFaults merges the faults that are active now.
func (sim *simulation) activeFaults() Fault {
	var now Fault
	t := sim.now.Sub(epoch)
	for _, f := range sim.scenario.Faults {
		if t < f.From || t >= f.To {
			continue
		}
		now.LostReports = max(now.LostReports, f.LostReports)
		now.LostEvents = max(now.LostEvents, f.LostEvents)
		now.ReportDelay = max(now.ReportDelay, f.ReportDelay)
		now.StoreDown = now.StoreDown || f.StoreDown
	}
	return now
}

// sendReports sends a load report and the cache events to each entry. Delay and
// loss are drawn for each entry separately.
func (sim *simulation) sendReports(s *server) {
	f := sim.activeFaults()
	measured, load := sim.now, s.load()
	stored, evicted := s.unsentStored, s.unsentEvicted
	s.unsentStored, s.unsentEvicted = nil, nil
	for _, e := range sim.entries {
		if sim.rng.Float64() >= f.LostReports {
			delay := reportDelay/2 + time.Duration(sim.rng.Float64()*float64(reportDelay)) + f.ReportDelay
			sim.after(delay, func() { e.report(measured, s, load) })
		}
		if len(stored)+len(evicted) == 0 {
			continue
		}
		lost := sim.rng.Float64() < f.LostEvents
		sim.after(eventDelay, func() { e.cacheEvent(s, stored, evicted, lost) })
	}
}

func (sim *simulation) exchangeUsage() {
	for _, from := range sim.entries {
		usages := from.admitters[Drafts].HeaviestAccounts(sim.now, gossipAccounts)
		for _, to := range sim.entries {
			if to != from {
				sim.after(time.Millisecond, func() { to.admitters[Drafts].SetRemoteUsage(sim.now, from.name, usages) })
			}
		}
	}
}

// gossipAccounts is how many accounts an entry announces to the others.
const gossipAccounts = 16

// planningRound runs the planner on the demand measured one round earlier. It
// does nothing while the store is unavailable.
func (sim *simulation) planningRound() {
	lastDemand := sim.reportedDemand
	sim.reportedDemand = sim.measureDemand()
	if sim.activeFaults().StoreDown {
		return
	}
	d := sim.planner.Step(sim.now, sim.plannerView(lastDemand))
	sim.after(planDelay, func() {
		sim.setSpillover(d.Spillover)
		for _, c := range d.Changes {
			sim.startRoleChange(c)
		}
	})
}

func (sim *simulation) measureDemand() shift.Demand {
	var sum shift.Demand
	for _, e := range sim.entries {
		sum = sum.Plus(e.demandMeter.Demand(sim.now))
	}
	return sum
}

func (sim *simulation) plannerView(demand shift.Demand) shift.Fleet {
	f := shift.Fleet{
		Demand:   demand,
		Capacity: shift.Capacity{PrefillTokens: prefillRate, DecodeTokens: decodeRate},
	}
	for _, s := range sim.servers {
		if s.plain {
			continue
		}
		f.Engines = append(f.Engines, shift.Engine{
			Name:         s.name,
			Role:         s.targetRole,
			Movable:      true,
			Changing:     s.changing,
			RoleSince:    s.roleSince,
			QueuedTokens: s.load().QueuedTokens + 100*len(s.streams),
			Speed:        s.speed,
		})
	}
	return f
}

func (sim *simulation) setSpillover(spillover shift.Spillover) {
	sim.spillover = spillover
	for _, s := range sim.servers {
		if s.role == shift.Decode {
			s.spillover = spillover
		}
	}
}
