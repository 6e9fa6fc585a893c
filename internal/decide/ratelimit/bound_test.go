package ratelimit_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/ratelimit"
)

// The times of the simulation.
const (
	simulationTime = 40 * time.Second
	// limitsStart is when servers begin to state limits, and convergenceTime is how long
	// gateways have to learn of them.
	limitsStart     = 2 * time.Second
	convergenceTime = 3 * time.Second
	// enforcementDelay is the time after a gateway's first response with a limit from which
	// its requests count.
	enforcementDelay = 500 * time.Millisecond
	// countWindow is the length of the sliding window in which requests are counted.
	countWindow = 4 * time.Second
	// gossipInterval is how often a gateway announces its notices to random gateways.
	gossipInterval = 500 * time.Millisecond
	// listInterval is how often a gateway lists the others.
	listInterval = 3 * time.Second
	// manyGateways is the number of gateways above which each has few requests.
	manyGateways = 50
)

// seeds is the number of runs of each kind. Unless it is 1, all kinds run at all sizes.
var seeds = flag.Uint64("limit-seeds", 1, "`runs` of the simulation of server limits of each kind")

// limits are the limits of the simulated servers, in requests a second.
var limits = []float64{0, 0.3, 1, 4.2, 17, 100}

// faults are the faults injected into a run.
type faults struct {
	// loss is the fraction of datagrams that are lost.
	loss float64
	// partitioned says that no datagrams pass between two halves of the gateways.
	partitioned bool
	// restarts, arrivals and suspensions say that gateways are restarted, replaced or
	// suspended one after the other.
	restarts, arrivals, suspensions bool
	// changes says that servers change their limits and stop stating them for a while.
	changes bool
}

type event struct {
	at  time.Duration
	seq int
	do  func(now time.Duration)
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation simulates gateways that share the limits of servers, in virtual time.
type simulation struct {
	faults
	r        *rand.Rand
	now      time.Duration
	queue    events
	seq      int
	gateways []*simGateway
	servers  []*simServer
}

type simGateway struct {
	sim   *simulation
	name  string
	index int
	table *ratelimit.Table
	// peers are the gateways that it knows, including itself; valid if listed.
	peers   []string
	listed  bool
	removed bool
	// limitedSince is when it received the first response with a limit, by server.
	limitedSince   map[string]time.Duration
	suspendedUntil time.Duration
}

type simServer struct {
	id    string
	limit float64
	// limited says that it states its limit, without interruption since limitedSince.
	limited      bool
	limitedSince time.Duration
	// counted are the times of requests from gateways for which enforcementDelay has
	// elapsed, total is the number of all requests.
	counted []time.Duration
	total   int
}

func newSimulation(seed uint64, gateways int, f faults) *simulation {
	s := &simulation{faults: f, r: rand.New(rand.NewPCG(seed, 7))}
	for n := range gateways {
		s.addGateway(n)
	}
	for _, g := range s.gateways {
		g.listPeers()
	}
	for n, l := range limits {
		s.servers = append(s.servers, &simServer{id: "s-" + strconv.Itoa(n), limit: l})
	}
	return s
}

// after schedules do to be called in d.
func (s *simulation) after(d time.Duration, do func(time.Duration)) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now + d, seq: s.seq, do: do})
}

func (s *simulation) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(s.r.Int64N(int64(limit)))
}

func (s *simulation) addGateway(n int) *simGateway {
	g := &simGateway{sim: s, name: "g-" + strconv.Itoa(n), index: n}
	s.gateways = append(s.gateways, g)
	g.restart()
	s.after(s.randomDuration(gossipInterval), g.gossip)
	s.after(s.randomDuration(listInterval), g.listPeriodically)
	return g
}

// restart clears the state of a gateway.
func (g *simGateway) restart() {
	g.limitedSince = map[string]time.Duration{}
	g.listed, g.peers = false, nil
	g.table = ratelimit.New(func(server string, round uint64) ratelimit.Rank {
		if !g.listed {
			return ratelimit.Rank{}
		}
		return ratelimit.RankAmong(g.name, g.peers, server, round)
	})
}

// listPeers updates a gateway's list of the others.
func (g *simGateway) listPeers() {
	g.listed, g.peers = true, []string{g.name}
	for _, o := range g.sim.gateways {
		if o != g && !o.removed {
			g.peers = append(g.peers, o.name)
		}
	}
	g.table.UpdateRanks(g.sim.now)
}

func (g *simGateway) listPeriodically(time.Duration) {
	g.listPeers()
	g.sim.after(listInterval, g.listPeriodically)
}

// receive adds a notice. It announces it to all others if it changes the limit and is the
// gateway's own.
func (g *simGateway) receive(n ratelimit.Notice, own bool) {
	if g.table.Add(g.sim.now, n) == ratelimit.Unchanged || !own {
		return
	}
	for _, o := range g.sim.gateways {
		g.sendDatagram(o, []ratelimit.Notice{n})
	}
}

// sendDatagram sends notices to another gateway unless a fault prevents it.
func (g *simGateway) sendDatagram(o *simGateway, notices []ratelimit.Notice) {
	s := g.sim
	half := len(s.gateways) / 2
	if o == g || o.removed || len(notices) == 0 || s.r.Float64() < s.loss || (s.partitioned && (g.index < half) != (o.index < half)) {
		return
	}
	sent := s.now
	s.after(time.Millisecond+s.randomDuration(20*time.Millisecond), func(now time.Duration) {
		o.whenRunning(func() {
			for _, n := range notices {
				// Datagrams carry ages, and the network latency is unknown.
				n.RequestedAt += now - sent
				n.ReceivedAt += now - sent
				o.receive(n, false)
			}
		})
	})
}

// whenRunning calls do as soon as the gateway is not suspended.
func (g *simGateway) whenRunning(do func()) {
	if g.sim.now < g.suspendedUntil {
		g.sim.after(g.suspendedUntil-g.sim.now, func(time.Duration) { do() })
		return
	}
	do()
}

// gossip announces a gateway's notices to three random gateways.
func (g *simGateway) gossip(now time.Duration) {
	if g.removed {
		return
	}
	if now >= g.suspendedUntil {
		g.table.Prune(now, func(string) bool { return true })
		notices := g.table.PendingAnnouncements(now, 48)
		for range 3 {
			g.sendDatagram(g.sim.gateways[g.sim.r.IntN(len(g.sim.gateways))], notices)
		}
	}
	g.sim.after(gossipInterval, g.gossip)
}

// sendRequest sends a request to a server if the gateway may.
func (g *simGateway) sendRequest(server *simServer) {
	s := g.sim
	if g.removed || s.now < g.suspendedUntil || !g.table.Allows(s.now, server.id) {
		return
	}
	g.table.Take(s.now, server.id)
	server.total++
	if at, ok := g.limitedSince[server.id]; ok && s.now >= at+enforcementDelay {
		server.counted = append(server.counted, s.now)
	}
	sent, table := s.now, g.table
	s.after(2*time.Millisecond+s.randomDuration(300*time.Millisecond), func(now time.Duration) {
		limited, limit := server.limited, server.limit
		g.whenRunning(func() {
			if g.table != table { // The gateway was restarted.
				return
			}
			if limited {
				if _, ok := g.limitedSince[server.id]; !ok {
					g.limitedSince[server.id] = s.now
				}
			}
			g.receive(ratelimit.Notice{
				Server: backend.Instance{ID: server.id, Incarnation: 1}, Limited: limited, PerSecond: limit,
				RequestedAt: sent, ReceivedAt: s.now,
			}, true)
		})
	})
}

// generateLoad generates requests at a gateway for a server, more than the gateway's share
// of any limit.
func (g *simGateway) generateLoad(server *simServer) {
	perSecond := 3.0
	if n := len(g.sim.gateways); n <= manyGateways {
		perSecond = max(perSecond, 150/float64(n))
	}
	var next func(time.Duration)
	next = func(time.Duration) {
		if g.removed {
			return
		}
		g.sendRequest(server)
		g.sim.after(time.Duration(g.sim.r.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	g.sim.after(0, next)
}

// every calls do periodically with the number of the call.
func (s *simulation) every(d time.Duration, do func(n int)) {
	n := 0
	var next func(time.Duration)
	next = func(time.Duration) {
		do(n)
		n++
		s.after(d, next)
	}
	s.after(limitsStart+d, next)
}

func (s *simulation) injectFaults() {
	if s.restarts {
		s.every(700*time.Millisecond, func(n int) {
			g := s.gateways[n%len(s.gateways)]
			g.restart()
			s.after(50*time.Millisecond+s.randomDuration(time.Second), func(time.Duration) { g.listPeers() })
		})
	}
	if s.arrivals {
		s.every(2*time.Second, func(int) {
			g := s.addGateway(len(s.gateways))
			for _, server := range s.servers {
				g.generateLoad(server)
			}
			s.gateways[s.r.IntN(len(s.gateways))].removed = true
		})
	}
	if s.suspensions {
		s.every(time.Second, func(int) {
			s.gateways[s.r.IntN(len(s.gateways))].suspendedUntil = s.now + s.randomDuration(6*time.Second)
		})
	}
	if s.changes {
		for _, server := range s.servers {
			s.after(limitsStart+s.randomDuration(20*time.Second), func(time.Duration) { server.limit *= 0.9 })
			s.after(limitsStart+10*time.Second+s.randomDuration(8*time.Second), func(time.Duration) { server.limited = false })
			s.after(limitsStart+20*time.Second+s.randomDuration(5*time.Second), func(now time.Duration) { server.limited, server.limitedSince = true, now })
		}
	}
}

// run runs the simulation.
func (s *simulation) run() {
	s.injectFaults()
	for _, server := range s.servers {
		for _, g := range s.gateways {
			g.generateLoad(server)
		}
		s.after(limitsStart, func(now time.Duration) { server.limited, server.limitedSince = true, now })
	}
	for s.now < simulationTime {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do(e.at)
	}
}

// maxInWindow returns the maximum number of counted requests within countWindow, from a
// time on.
func (server *simServer) maxInWindow(from time.Duration) int {
	highest, first := 0, 0
	for i, at := range server.counted {
		for server.counted[first] < from || at-server.counted[first] >= countWindow {
			first++
			if first > i {
				break
			}
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// maxAllowed returns how many requests a server with a limit may get within countWindow.
func maxAllowed(limit float64) int { return int(1.5*limit*countWindow.Seconds()) + 5 }

var _ = Describe("a server's limit across all gateways", func() {
	cases := map[string]faults{
		"no faults":           {},
		"lost datagrams":      {loss: 0.03},
		"no datagrams":        {loss: 1},
		"a network partition": {loss: 0.03, partitioned: true},
		"rolling restarts":    {loss: 0.03, restarts: true},
		"replaced gateways":   {loss: 0.03, arrivals: true},
		"suspended gateways":  {loss: 0.03, suspensions: true},
		"changing limits":     {loss: 0.03, changes: true},
		"all faults":          {loss: 0.1, partitioned: true, restarts: true, arrivals: true, suspensions: true, changes: true},
	}
	for name, f := range cases {
		for _, gateways := range []int{2, 8, 40, 350, 1000} {
			if gateways > manyGateways && name != "no faults" && name != "all faults" && *seeds == 1 {
				continue
			}
			// Guards against a limit that each gateway enforces on its own, and against one
			// that is enforced only if all messages arrive. The bound applies convergenceTime
			// after a server began to state its limit.
			It(fmt.Sprintf("is enforced by %d gateways with %s", gateways, name), func() {
				for seed := range *seeds {
					s := newSimulation(seed, gateways, f)
					s.run()
					for n, server := range s.servers {
						got := server.maxInWindow(server.limitedSince + convergenceTime)
						Expect(got).To(BeNumerically("<=", maxAllowed(limits[n])), "seed %d, limit %v", seed, limits[n])
					}
				}
			})
		}
	}
})
