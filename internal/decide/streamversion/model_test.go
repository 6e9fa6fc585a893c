package streamversion_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pistachioroad.dev/pistachioroad/internal/decide/streamversion"
)

// modelGateway is a gateway of the model.
type modelGateway struct {
	records *streamversion.Records
	history *streamversion.History
}

// model has gateways that begin streams and take them up, datagrams that are lost, gateways
// that are killed and join, and servers of several versions that come and go.
type model struct {
	now      time.Time
	gateways map[string]*modelGateway
	// serving are the versions with servers.
	serving map[streamversion.Version]bool
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
)

func newModel() *model {
	m := &model{
		now: at(0), gateways: map[string]*modelGateway{}, serving: map[streamversion.Version]bool{version("llm", "v0"): true},
		begun: map[streamversion.StreamID]streamversion.Version{}, lastAt: map[streamversion.StreamID]time.Time{},
	}
	for n := range 4 {
		m.start(fmt.Sprintf("g%d", n))
	}
	m.now = at(0).Add(modelLife + time.Second)
	return m
}

func (m *model) start(name string) {
	g := &modelGateway{records: streamversion.NewRecords(), history: streamversion.NewHistory()}
	m.gateways[name] = g
	m.observe(g)
}

// observe gives a gateway the servers as the store has them.
func (m *model) observe(g *modelGateway) {
	g.history.Observe(m.now, slices.Collect(maps.Keys(m.serving)))
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
			replica.records.Add(m.now, id, v)
		}
	}
}

// lookup returns what a gateway takes for the version of a stream.
func (m *model) lookup(t *rapid.T, g *modelGateway, id streamversion.StreamID) (streamversion.Version, bool) {
	if v, ok := g.records.Lookup(id); ok {
		return v, true
	}
	service := version("llm", "").Service
	certain := map[streamversion.Version]bool{}
	for _, replica := range m.first(id, modelAsked) {
		if replica == g || rapid.Bool().Draw(t, "lost") {
			continue
		}
		if v, ok := replica.records.Lookup(id); ok {
			return v, true
		}
		if s := replica.history.Served(m.now, service, modelLife); s.Certain() {
			certain[s.Version] = true
		}
	}
	m.observe(g)
	s := g.history.Served(m.now, service, modelLife)
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
				if len(m.serving) == 0 {
					t.Skip("no servers")
				}
				at := rapid.SampledFrom(slices.SortedFunc(maps.Keys(m.serving), func(a, b streamversion.Version) int { return int(a.Software) - int(b.Software) })).Draw(t, "at")
				m.nextID++
				m.begun[m.nextID] = at
				m.record(t, m.draw(t), m.nextID, at)
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
				if m.serving[got] {
					m.record(t, g, id, got)
				}
			},
			"servers come or go": func(t *rapid.T) {
				changed := v()
				if m.serving[changed] {
					delete(m.serving, changed)
				} else {
					m.serving[changed] = true
				}
				for _, name := range slices.Sorted(maps.Keys(m.gateways)) {
					m.observe(m.gateways[name])
				}
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
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 6_000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}
