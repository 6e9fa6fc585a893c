package directory

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/store"
)

const (
	eraModelStep  = 100 * time.Millisecond
	eraModelSteps = 400
	// eraModelBound is how long a confirmed change may take to be in force.
	eraModelBound = 2 * time.Second
	// maxRewrite is how long after a return the operator and the server write again at most.
	maxRewrite = 4 * time.Second
	// maxCopyAge is the age of copies at most.
	maxCopyAge = 6 * time.Second
	// maxDelay is how long an answer or a message is in flight at most.
	maxDelay = 900 * time.Millisecond
	// listEvery is the time between two lists of a gateway that reaches the store.
	listEvery = 500 * time.Millisecond
)

// modelState is what the store of the model holds.
type modelState struct {
	at             time.Duration
	revision       int64
	config, server store.Object
	version        int
}

// eraModel is a store that comes back from copies, and some gateways. The first two watch the
// store for all, the last one does not reach it.
type eraModel struct {
	random *rand.Rand
	now    time.Duration
	era    store.Era
	modelState
	copies   []modelState
	gateways []*Directory
	// inFlight are answers and messages that arrive later.
	inFlight []arrival
	// newest is the operator's newest version, confirmedAt when each was first confirmed.
	newest      int
	confirmedAt []time.Duration
	leaving     bool
	// knewLeaving has the gateways that have known that the server leaves.
	knewLeaving map[*Directory]bool
}

type arrival struct {
	at time.Duration
	do func()
}

func newEraModel(seed uint64) *eraModel {
	m := &eraModel{random: rand.New(rand.NewPCG(seed, 3)), era: 1, knewLeaving: map[*Directory]bool{}}
	m.revision = 100
	m.writeServer("x")
	m.writeConfig(true)
	for range 5 {
		m.gateways = append(m.gateways, newModelGateway())
	}
	return m
}

func newModelGateway() *Directory {
	return New(nil, plainDecoder{}, Kinds{Config: "config", ConfigName: "main", Servers: "servers"})
}

func (m *eraModel) writeConfig(next bool) {
	if next {
		m.newest++
		m.confirmedAt = append(m.confirmedAt, m.now)
	}
	m.revision++
	m.version, m.config = m.newest, object("main", m.revision, strconv.Itoa(m.newest))
}

func (m *eraModel) writeServer(spec string) {
	m.revision++
	m.server = object("a", m.revision, spec)
}

// restore makes the store come back from a random copy. What was lost is written again later,
// while other changes may go on.
func (m *eraModel) restore() {
	m.modelState = m.copies[m.random.IntN(len(m.copies))]
	m.copies = nil
	m.era++
	era := m.era
	m.later(maxRewrite, func() {
		if m.era == era && m.version < m.newest {
			m.writeConfig(false)
		}
	})
	m.later(maxRewrite, func() {
		if m.era == era && m.leaving {
			m.writeServer("leaving")
		}
	})
}

func (m *eraModel) later(most time.Duration, do func()) {
	m.inFlight = append(m.inFlight, arrival{at: m.now + time.Duration(m.random.Int64N(int64(most))), do: do})
}

// list makes a gateway read the store. The answer is of the moment at which the store gets the
// call, and arrives later.
func (m *eraModel) list(d *Directory) {
	sent := m.now
	m.later(maxDelay/2, func() {
		answer := func(o store.Object) store.Listing {
			o.Era = m.era
			return store.Listing{Objects: []store.Object{o}, Revision: m.revision, Era: m.era}
		}
		config, servers := answer(m.config), answer(m.server)
		m.later(maxDelay/2, func() {
			d.locked(func() {
				if !d.enterEra(at(m.now), config.Era, "store") {
					return
				}
				d.applyConfigList(config)
				d.state.confirmConfig(at(sent))
				d.state.confirmServers(moment{clock: at(sent)})
				d.applyServerList(at(m.now), servers)
				d.publish(true)
			})
		})
	})
}

// announce makes a gateway send what it knows to all others; some messages are lost.
func (m *eraModel) announce(from *Directory) {
	c, ok := from.Confirmation(at(m.now))
	if !ok {
		return
	}
	sent := m.now
	for _, to := range m.gateways {
		if to == from || m.random.IntN(5) == 0 {
			continue
		}
		m.later(maxDelay, func() {
			received := c
			received.Age += m.now - sent
			to.RemoteConfirmation(at(m.now), received)
		})
	}
}

// handOver gives a gateway that is out of date the configuration of another one.
func (m *eraModel) handOver(d *Directory) {
	if !d.View().OutOfDate() {
		return
	}
	if s, ok := m.gateways[m.random.IntN(len(m.gateways))].Snapshot(); ok {
		m.later(maxDelay, func() { d.AdoptConfig(s.Config) })
	}
}

func (m *eraModel) step(n int) {
	m.now += eraModelStep
	due := m.inFlight
	m.inFlight = nil
	for _, a := range due {
		if a.at > m.now {
			m.inFlight = append(m.inFlight, a)
			continue
		}
		a.do()
	}
	m.at = m.now
	m.copies = slices.DeleteFunc(append(m.copies, m.modelState), func(c modelState) bool { return m.now-c.at > maxCopyAge })
	switch m.random.IntN(60) {
	case 0, 1, 2:
		m.writeConfig(true)
	case 3:
		m.leaving = true
		m.writeServer("leaving")
	case 4:
		// One that starts knows nothing.
		i := m.random.IntN(len(m.gateways))
		m.gateways[i] = newModelGateway()
	case 5:
		m.restore()
	}
	for i, d := range m.gateways {
		cut := i == len(m.gateways)-1
		if !cut && (n+i)%int(listEvery/eraModelStep) == 0 {
			m.list(d)
		}
		if n%3 == 0 && (i < 2 || d.MustAnnounce(at(m.now))) {
			m.announce(d)
		}
		if n%2 == 0 {
			m.handOver(d)
		}
	}
}

// check checks the guarantees of a gateway, whose version before the step is given.
func (m *eraModel) check(d *Directory, before int64) {
	v := d.View()
	if v.Table == nil {
		return
	}
	Expect(v.Table.Version).To(BeNumerically(">=", before), "went back")
	if newer := v.Table.Version; int(newer) < m.newest && v.Current(at(m.now), eraModelBound) {
		Expect(m.now-m.confirmedAt[newer]).To(BeNumerically("<=", eraModelBound), "version %d counts as the newest, %d was confirmed", newer, newer+1)
	}
	server, ok := v.Servers["a"]
	if m.knewLeaving[d] && ok {
		Expect(server.Draining).To(BeTrue(), "a leaving server is used again")
	}
	m.knewLeaving[d] = m.knewLeaving[d] || (ok && server.Draining)
}

var _ = Describe("gateways of a store that comes back from copies", func() {
	// Guards against gateways that go back to an older configuration, deny what a confirmed
	// change has added, or use a server that leaves, with changes, returns from copies in a row,
	// gateways that start and one that does not reach the store in any order.
	It("never go back, and count no configuration as the newest that is not, in random runs", func() {
		log.SetLevel(log.FatalLevel)
		DeferCleanup(log.SetLevel, log.InfoLevel)
		current := 0
		for seed := range uint64(300) {
			m := newEraModel(seed)
			for n := range eraModelSteps {
				before := make(map[*Directory]int64)
				for _, d := range m.gateways {
					before[d] = d.View().Config().Version
				}
				m.step(n)
				for _, d := range m.gateways {
					m.check(d, before[d])
					if d.View().Table != nil && d.View().Current(at(m.now), eraModelBound) {
						current++
					}
				}
			}
		}
		Expect(current).To(BeNumerically(">", 100_000))
	})
})
