package streamversion_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pistachioroad.dev/pistachioroad/internal/decide/streamversion"
	"pistachioroad.dev/pistachioroad/internal/directory"
)

// modelGateway is a gateway of the model.
type modelGateway struct {
	records  *streamversion.Records
	history  *streamversion.History
	coverage directory.Coverage
	// seen are the versions with servers as far as the gateway knows, missed those that came
	// while it was out of step.
	seen, missed map[streamversion.Version]bool
	// outOfStep is set while the gateway learns of no changes: it is cut off from the store, or
	// stands still. deaf is set if it receives no datagrams either. It may still answer.
	outOfStep, deaf bool
	// era is the store's era that it knows.
	era int
}

// model has gateways that begin streams and take them up, datagrams that are lost, gateways
// that are killed, join, and are out of step, servers of several versions that come and go,
// and a store that comes back from copies without some of them.
type model struct {
	now      time.Time
	gateways map[string]*modelGateway
	// serving are the versions with servers, since when.
	serving map[streamversion.Version]time.Time
	// left is when versions have left the store.
	left map[streamversion.Version]time.Time
	// lost are the serving versions that the store lacks since it came back, until rewritten.
	lost      map[streamversion.Version]bool
	rewritten time.Time
	era       int
	// begun has the version that began each stream, and when its caller last had an answer.
	begun  map[streamversion.StreamID]streamversion.Version
	lastAt map[streamversion.StreamID]time.Time
	nextID streamversion.StreamID
	starts int
}

const (
	modelLife     = 10 * time.Second
	modelReplicas = 2
	modelAsked    = 4
	// minPresence is how long a server stays in the store at least.
	minPresence = 3 * time.Second
	// maxLingering is how long a server that has left the store may still begin streams.
	maxLingering = 10 * time.Second
	// maxRewrite is how long the store lacks servers after it came back.
	maxRewrite = 5 * time.Second
)

func newModel() *model {
	v0 := version("llm", "v0")
	m := &model{
		now: at(0), gateways: map[string]*modelGateway{}, serving: map[streamversion.Version]time.Time{v0: at(0)},
		left: map[streamversion.Version]time.Time{}, lost: map[streamversion.Version]bool{},
		begun: map[streamversion.StreamID]streamversion.Version{}, lastAt: map[streamversion.StreamID]time.Time{},
	}
	for n := range 4 {
		m.start(fmt.Sprintf("g%d", n))
	}
	m.pass(modelLife + time.Second)
	return m
}

func (m *model) start(name string) {
	g := &modelGateway{
		records: streamversion.NewRecords(), history: streamversion.NewHistory(), era: m.era,
		seen: map[streamversion.Version]bool{}, missed: map[streamversion.Version]bool{},
	}
	m.gateways[name] = g
	m.relist(g)
}

// pass lets time pass, at whose end gateways in step know that there was no change.
func (m *model) pass(d time.Duration) {
	if end := m.now.Add(d); len(m.lost) > 0 && end.After(m.rewritten) {
		m.now = m.rewritten
		m.rewrite()
		d = end.Sub(m.now)
	}
	m.now = m.now.Add(d)
	for _, g := range m.gateways {
		if !g.outOfStep {
			g.coverage.Extend(boot(m.now))
		}
	}
}

// rewrite makes the servers that the store has lost write their objects again.
func (m *model) rewrite() {
	clear(m.lost)
	m.notify()
}

// listed returns the versions of the servers in the store.
func (m *model) listed() []streamversion.Version {
	return slices.DeleteFunc(slices.Collect(maps.Keys(m.serving)), func(v streamversion.Version) bool { return m.lost[v] })
}

// relist gives a gateway the servers as the store has them, and not the changes before.
func (m *model) relist(g *modelGateway) {
	if g.era != m.era {
		g.era = m.era
		g.coverage.Break(boot(m.now.Add(maxRewrite)))
	}
	g.coverage.Relist(boot(m.now))
	m.observe(g)
}

// observe gives a gateway the servers as the store has them.
func (m *model) observe(g *modelGateway) {
	g.seen = map[streamversion.Version]bool{}
	for _, v := range m.listed() {
		g.seen[v] = true
		g.history.Saw(m.now, v)
	}
	g.history.Observe(m.now, m.listed())
	clear(g.missed)
}

// notify gives the gateways in step a change of the servers.
func (m *model) notify() {
	for _, g := range m.gateways {
		if g.outOfStep {
			for _, v := range m.listed() {
				g.missed[v] = true
			}
			continue
		}
		m.observe(g)
	}
}

// mayBegin reports whether a stream may begin at a version through a gateway: at a server that
// it knows, and that is there or may still run.
func (m *model) mayBegin(g *modelGateway, v streamversion.Version) bool {
	_, serves := m.serving[v]
	left, ok := m.left[v]
	return g.seen[v] && (serves || (ok && m.now.Sub(left) < maxLingering))
}

func (m *model) draw(t *rapid.T) *modelGateway {
	return m.gateways[rapid.SampledFrom(slices.Sorted(maps.Keys(m.gateways))).Draw(t, "gateway")]
}

func (m *model) first(id streamversion.StreamID, count int) []*modelGateway {
	names := streamversion.NewGateways(slices.Sorted(maps.Keys(m.gateways))).First(id, count)
	gateways := make([]*modelGateway, 0, count)
	for _, name := range names {
		gateways = append(gateways, m.gateways[name])
	}
	return gateways
}

// record has a gateway record a stream and announce it, with lost and doubled datagrams.
func (m *model) record(t *rapid.T, g *modelGateway, id streamversion.StreamID, v streamversion.Version) {
	m.lastAt[id] = m.now
	g.records.Add(m.now, id, v)
	for _, replica := range m.first(id, modelReplicas) {
		for range rapid.IntRange(0, 2).Draw(t, "datagrams") {
			if replica.deaf {
				continue
			}
			replica.records.Add(m.now, id, v)
		}
	}
}

// begin begins a stream, unless the gateway knows no such server. It reports whether it did.
func (m *model) begin(t *rapid.T, g *modelGateway, v streamversion.Version) bool {
	if !m.mayBegin(g, v) {
		return false
	}
	m.nextID++
	m.begun[m.nextID] = v
	m.record(t, g, m.nextID, v)
	return true
}

func (m *model) come(v streamversion.Version) {
	m.serving[v] = m.now
	m.notify()
}

func (m *model) leave(v streamversion.Version) {
	delete(m.serving, v)
	m.left[v] = m.now
	m.notify()
}

// storeReturns makes the store come back from a copy, without the servers that came lately.
func (m *model) storeReturns() {
	m.era++
	m.rewritten = m.now.Add(maxRewrite)
	for v, came := range m.serving {
		m.lost[v] = m.now.Sub(came) < maxRewrite
	}
	for _, g := range m.gateways {
		if !g.outOfStep {
			m.relist(g)
		}
	}
}

// resume brings a gateway in step again, by a new list or by the changes that it has missed.
func (m *model) resume(t *rapid.T, g *modelGateway) {
	g.outOfStep, g.deaf = false, false
	if g.era != m.era || rapid.Bool().Draw(t, "missed") {
		m.relist(g)
		return
	}
	for v := range g.missed {
		g.history.Saw(m.now, v)
	}
	m.observe(g)
	g.coverage.Extend(boot(m.now))
}

// lookup returns what a gateway takes for the version of a stream.
func (m *model) lookup(t *rapid.T, g *modelGateway, id streamversion.StreamID) (streamversion.Version, bool) {
	if v, ok := g.records.Lookup(id); ok {
		return v, true
	}
	service := version("llm", "").Service
	served := func(g *modelGateway) streamversion.Served {
		return g.history.Served(m.now, service, modelLife, g.coverage.Covers(boot(m.now), modelLife))
	}
	certain := map[streamversion.Version]bool{}
	for _, replica := range m.first(id, modelAsked) {
		if replica == g || rapid.Bool().Draw(t, "lost") {
			continue
		}
		if v, ok := replica.records.Lookup(id); ok {
			return v, true
		}
		if s := served(replica); s.Certain() && replica.era == g.era {
			certain[s.Version] = true
		}
	}
	if g.outOfStep {
		// No list of servers is confirmed.
		return streamversion.Version{}, false
	}
	s := served(g)
	s.Complete = s.Complete || certain[s.Version]
	return s.Version, s.Certain()
}

// Guards against streams that hold events of two versions, whatever is lost, killed or
// changed between their beginning and their taking up.
func TestNoStreamHoldsEventsOfTwoVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		v := func() streamversion.Version {
			return version("llm", fmt.Sprintf("v%d", rapid.IntRange(0, 2).Draw(t, "version")))
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				if !m.begin(t, m.draw(t), v()) {
					t.Skip("no servers")
				}
			},
			"take up": func(t *rapid.T) {
				if m.nextID == 0 {
					t.Skip("no stream")
				}
				id := streamversion.StreamID(rapid.IntRange(1, int(m.nextID)).Draw(t, "stream"))
				if m.now.Sub(m.lastAt[id]) > modelLife {
					t.Skip("its caller has left")
				}
				g := m.draw(t)
				got, ok := m.lookup(t, g, id)
				if !ok {
					return
				}
				if got != m.begun[id] {
					t.Fatalf("stream %d begun at %v is taken up at %v", id, m.begun[id], got)
				}
				if _, serves := m.serving[got]; serves {
					m.record(t, g, id, got)
				}
			},
			"servers come or go": func(t *rapid.T) {
				changed := v()
				if came, ok := m.serving[changed]; !ok {
					m.come(changed)
				} else if m.now.Sub(came) > minPresence && !m.lost[changed] {
					m.leave(changed)
				}
			},
			"out of step": func(t *rapid.T) {
				g := m.draw(t)
				g.outOfStep, g.deaf = true, rapid.Bool().Draw(t, "deaf")
			},
			"in step": func(t *rapid.T) {
				g := m.draw(t)
				if !g.outOfStep {
					t.Skip("in step")
				}
				m.resume(t, g)
			},
			"a version comes and goes beside gateways that are out of step": func(t *rapid.T) {
				changed := v()
				if _, ok := m.serving[changed]; ok {
					t.Skip("serves")
				}
				for _, name := range slices.Sorted(maps.Keys(m.gateways)) {
					g := m.gateways[name]
					g.outOfStep = g.outOfStep || rapid.Bool().Draw(t, "out of step")
					g.deaf = g.deaf || g.outOfStep && rapid.Bool().Draw(t, "deaf")
				}
				m.come(changed)
				m.pass(minPresence + time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms"))*time.Millisecond)
				g := m.draw(t)
				m.begin(t, g, changed)
				m.leave(changed)
				g.records = streamversion.NewRecords()
				for _, name := range slices.Sorted(maps.Keys(m.gateways)) {
					if g := m.gateways[name]; g.outOfStep && rapid.Bool().Draw(t, "in step again") {
						m.resume(t, g)
					}
				}
			},
			"store returns": func(*rapid.T) {
				m.storeReturns()
			},
			"a version comes and is lost by the store": func(t *rapid.T) {
				changed := v()
				if _, ok := m.serving[changed]; ok {
					t.Skip("serves")
				}
				out := m.draw(t)
				out.outOfStep = rapid.Bool().Draw(t, "out of step")
				m.come(changed)
				m.pass(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
				name := rapid.SampledFrom(slices.Sorted(maps.Keys(m.gateways))).Draw(t, "begins")
				m.begin(t, m.gateways[name], changed)
				m.storeReturns()
				if rapid.Bool().Draw(t, "killed") {
					m.start(name)
				}
			},
			"servers write again": func(*rapid.T) {
				m.rewrite()
			},
			"kill": func(t *rapid.T) {
				name := rapid.SampledFrom(slices.Sorted(maps.Keys(m.gateways))).Draw(t, "killed")
				m.start(name)
			},
			"join": func(*rapid.T) {
				m.starts++
				m.start(fmt.Sprintf("j%d", m.starts))
			},
			"leave": func(t *rapid.T) {
				if len(m.gateways) < 3 {
					t.Skip("few gateways")
				}
				delete(m.gateways, rapid.SampledFrom(slices.Sorted(maps.Keys(m.gateways))).Draw(t, "left"))
			},
			"time": func(t *rapid.T) {
				m.pass(time.Duration(rapid.IntRange(1, 6_000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}
