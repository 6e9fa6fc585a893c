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
	simulated = 40 * time.Second
	// named is when servers begin to name their limits, and contact how long gateways
	// have to hear of it.
	named   = 2 * time.Second
	contact = 3 * time.Second
	// told is how long after it was told a gateway is held to a limit.
	told = 500 * time.Millisecond
	// span is the time over which requests are counted.
	span = 4 * time.Second
	// tellEvery is how often gateways tell some others what they know.
	tellEvery = 500 * time.Millisecond
	// listEvery is how often a gateway lists the others.
	listEvery = 3 * time.Second
	// manyGateways is the number above which each has few requests.
	manyGateways = 50
)

// seeds is how many runs are played of each kind, of all sizes if it is not 1.
var seeds = flag.Uint64("limit-seeds", 1, "`runs` of the simulation of server limits of each kind")

// limits are those that the servers of the simulation name, in requests a second.
var limits = []float64{0, 0.3, 1, 4.2, 17, 100}

// trouble is what goes wrong in a run.
type trouble struct {
	// loss is the part of the datagrams that is lost.
	loss float64
	// cut says that two halves of the gateways do not hear each other.
	cut bool
	// restarts, arrivals and freezes say that gateways restart, come and go, or stand
	// still, one after the other.
	restarts, arrivals, freezes bool
	// changes says that servers change their limits and stop naming them for a while.
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

// simulation is gateways that share the limits of servers, in virtual time.
type simulation struct {
	trouble
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
	// others are the gateways that it knows, listed says that it knows any.
	others []string
	listed bool
	gone   bool
	// toldAt is since when it has passed on answers that named a server's limit.
	toldAt map[string]time.Duration
	// thaws is until when it stands still.
	thaws time.Duration
}

type simServer struct {
	id    string
	limit float64
	// names says that it names its limit, since when it does without a pause.
	names bool
	since time.Duration
	// got are the requests from gateways that were told, sent all those it got.
	got  []time.Duration
	sent int
}

func newSimulation(seed uint64, gateways int, t trouble) *simulation {
	s := &simulation{trouble: t, r: rand.New(rand.NewPCG(seed, 7))}
	for n := range gateways {
		s.start(n)
	}
	for _, g := range s.gateways {
		g.list()
	}
	for n, l := range limits {
		s.servers = append(s.servers, &simServer{id: "s-" + strconv.Itoa(n), limit: l})
	}
	return s
}

func (s *simulation) after(d time.Duration, do func(time.Duration)) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now + d, seq: s.seq, do: do})
}

func (s *simulation) upTo(d time.Duration) time.Duration { return time.Duration(s.r.Int64N(int64(d))) }

// start adds a gateway.
func (s *simulation) start(n int) *simGateway {
	g := &simGateway{sim: s, name: "g-" + strconv.Itoa(n), index: n}
	s.gateways = append(s.gateways, g)
	g.restart()
	s.after(s.upTo(tellEvery), g.tick)
	s.after(s.upTo(listEvery), g.look)
	return g
}

// restart has a gateway know nothing of before.
func (g *simGateway) restart() {
	g.toldAt = map[string]time.Duration{}
	g.listed, g.others = false, nil
	g.table = ratelimit.New(func(server string, round uint64) ratelimit.Rank {
		if !g.listed {
			return ratelimit.Rank{}
		}
		return ratelimit.RankAmong(g.name, g.others, server, round)
	})
}

// list has a gateway know the others.
func (g *simGateway) list() {
	g.listed, g.others = true, []string{g.name}
	for _, o := range g.sim.gateways {
		if o != g && !o.gone {
			g.others = append(g.others, o.name)
		}
	}
	g.table.UpdateRanks(g.sim.now)
}

func (g *simGateway) look(time.Duration) {
	g.list()
	g.sim.after(listEvery, g.look)
}

// heard takes in a notice, and tells all others if it changes anything and is the
// gateway's own.
func (g *simGateway) heard(n ratelimit.Notice, own bool) {
	if g.table.Add(g.sim.now, n) == ratelimit.Unchanged || !own {
		return
	}
	for _, o := range g.sim.gateways {
		g.tell(o, []ratelimit.Notice{n})
	}
}

// tell sends notices by a datagram.
func (g *simGateway) tell(o *simGateway, notices []ratelimit.Notice) {
	s := g.sim
	half := len(s.gateways) / 2
	if o == g || o.gone || len(notices) == 0 || s.r.Float64() < s.loss || (s.cut && (g.index < half) != (o.index < half)) {
		return
	}
	sent := s.now
	s.after(time.Millisecond+s.upTo(20*time.Millisecond), func(now time.Duration) {
		o.whenAwake(func() {
			for _, n := range notices {
				// Ages travel, and the time on the way is not known.
				n.RequestedAt += now - sent
				n.ReceivedAt += now - sent
				o.heard(n, false)
			}
		})
	})
}

// whenAwake does something once the gateway does not stand still.
func (g *simGateway) whenAwake(do func()) {
	if g.sim.now < g.thaws {
		g.sim.after(g.thaws-g.sim.now, func(time.Duration) { do() })
		return
	}
	do()
}

func (g *simGateway) tick(now time.Duration) {
	if g.gone {
		return
	}
	if now >= g.thaws {
		g.table.Prune(now, func(string) bool { return true })
		notices := g.table.PendingAnnouncements(now, 48)
		for range 3 {
			g.tell(g.sim.gateways[g.sim.r.IntN(len(g.sim.gateways))], notices)
		}
	}
	g.sim.after(tellEvery, g.tick)
}

// send has a gateway send a request if it may.
func (g *simGateway) send(server *simServer) {
	s := g.sim
	if g.gone || s.now < g.thaws || !g.table.Allows(s.now, server.id) {
		return
	}
	g.table.Take(s.now, server.id)
	server.sent++
	if at, ok := g.toldAt[server.id]; ok && s.now >= at+told {
		server.got = append(server.got, s.now)
	}
	sent, life := s.now, g.table
	s.after(2*time.Millisecond+s.upTo(300*time.Millisecond), func(now time.Duration) {
		names, limit := server.names, server.limit
		g.whenAwake(func() {
			if g.table != life {
				return
			}
			if names {
				if _, ok := g.toldAt[server.id]; !ok {
					g.toldAt[server.id] = s.now
				}
			}
			g.heard(ratelimit.Notice{
				Server: backend.Instance{ID: server.id, Incarnation: 1}, Limited: names, PerSecond: limit,
				RequestedAt: sent, ReceivedAt: s.now,
			}, true)
		})
	})
}

// demand has requests come to a gateway that would choose a server. They are more than
// its part of any limit.
func (g *simGateway) demand(server *simServer) {
	perSecond := 3.0
	if n := len(g.sim.gateways); n <= manyGateways {
		perSecond = max(perSecond, 150/float64(n))
	}
	var next func(time.Duration)
	next = func(time.Duration) {
		if g.gone {
			return
		}
		g.send(server)
		g.sim.after(time.Duration(g.sim.r.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	g.sim.after(0, next)
}

// every does something to one gateway after the other.
func (s *simulation) every(d time.Duration, do func(n int)) {
	n := 0
	var next func(time.Duration)
	next = func(time.Duration) {
		do(n)
		n++
		s.after(d, next)
	}
	s.after(named+d, next)
}

func (s *simulation) inject() {
	if s.restarts {
		s.every(700*time.Millisecond, func(n int) {
			g := s.gateways[n%len(s.gateways)]
			g.restart()
			s.after(50*time.Millisecond+s.upTo(time.Second), func(time.Duration) { g.list() })
		})
	}
	if s.arrivals {
		s.every(2*time.Second, func(int) {
			g := s.start(len(s.gateways))
			for _, server := range s.servers {
				g.demand(server)
			}
			s.gateways[s.r.IntN(len(s.gateways))].gone = true
		})
	}
	if s.freezes {
		s.every(time.Second, func(int) {
			s.gateways[s.r.IntN(len(s.gateways))].thaws = s.now + s.upTo(6*time.Second)
		})
	}
	if s.changes {
		for _, server := range s.servers {
			s.after(named+s.upTo(20*time.Second), func(time.Duration) { server.limit *= 0.9 })
			s.after(named+10*time.Second+s.upTo(8*time.Second), func(time.Duration) { server.names = false })
			s.after(named+20*time.Second+s.upTo(5*time.Second), func(now time.Duration) { server.names, server.since = true, now })
		}
	}
}

// run plays the simulation. The bound holds again from contact after a server began to
// name its limit.
func (s *simulation) run() {
	s.inject()
	for _, server := range s.servers {
		for _, g := range s.gateways {
			g.demand(server)
		}
		s.after(named, func(now time.Duration) { server.names, server.since = true, now })
	}
	for s.now < simulated {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do(e.at)
	}
}

// most returns the most requests within span that a server got from gateways that it had
// told, from a moment on.
func (server *simServer) most(from time.Duration) int {
	most, first := 0, 0
	for i, at := range server.got {
		for server.got[first] < from || at-server.got[first] >= span {
			first++
			if first > i {
				break
			}
		}
		most = max(most, i-first+1)
	}
	return most
}

// allowedIn is the most requests that a server may get within span.
func allowedIn(limit float64) int { return int(1.5*limit*span.Seconds()) + 5 }

var _ = Describe("a server's limit over all gateways", func() {
	troubles := map[string]trouble{
		"nothing":                                {},
		"lost datagrams":                         {loss: 0.03},
		"no datagrams":                           {loss: 1},
		"two halves that do not hear each other": {loss: 0.03, cut: true},
		"restarts in series":                     {loss: 0.03, restarts: true},
		"gateways that come and go":              {loss: 0.03, arrivals: true},
		"gateways that stand still":              {loss: 0.03, freezes: true},
		"limits that change":                     {loss: 0.03, changes: true},
		"all of it":                              {loss: 0.1, cut: true, restarts: true, arrivals: true, freezes: true, changes: true},
	}
	for name, t := range troubles {
		for _, gateways := range []int{2, 8, 40, 350, 1000} {
			if gateways > manyGateways && name != "nothing" && name != "all of it" && *seeds == 1 {
				continue
			}
			// Guards against a limit that each gateway keeps for itself, and against one
			// that holds only while all messages arrive.
			It(fmt.Sprintf("is kept by %d gateways under %s", gateways, name), func() {
				for seed := range *seeds {
					s := newSimulation(seed, gateways, t)
					s.run()
					for n, server := range s.servers {
						got := server.most(server.since + contact)
						Expect(got).To(BeNumerically("<=", allowedIn(limits[n])), "seed %d, limit %v", seed, limits[n])
					}
				}
			})
		}
	}
})
