package member

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/thejerf/suture/v4"

	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/plan"
	"pistachioroad.dev/pistachioroad/internal/ring"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	// inboxSize bounds the events queued for a Member. Their sources repeat all of
	// them, so that the oldest can be dropped.
	inboxSize = 1024
	// accountsSize bounds the usage announcements of peers queued for admission
	// control.
	accountsSize = 256
	// tickInterval is how often State gets a Tick.
	tickInterval = 100 * time.Millisecond
	// defaultListInterval is how often the VM list is read by default.
	defaultListInterval = time.Second
)

// Config is the configuration of a Member.
type Config struct {
	// Process is the name of the process's VM; Incarnation identifies this run of it.
	Process     string
	Incarnation string
	Region      string
	DataCentre  string
	// Entry is set for entries, which watch the store and gossip with each other;
	// other processes get the objects from entries, over their links.
	Entry bool
	// PeerListener accepts the links of other entries; nil to accept none.
	PeerListener net.Listener
	// ListInterval is how often the VM list is read; zero means each second.
	ListInterval time.Duration
	// SkipVMList disables reading the VM list. Sidecars do not need it, and hundreds of
	// them would use up the platform's call rate.
	SkipVMList bool
	// Random adds jitter to calls; nil means a random seed.
	Random *rand.Rand
}

// PeerUsage is the usage of a peer's heaviest client accounts, as it announced it.
type PeerUsage struct {
	Process  string
	Accounts *wire.Accounts
}

// Member keeps a process's view of the fleet. It is run by its Services.
type Member struct {
	config   Config
	store    sharedstate.Store
	list     sharedstate.VMList
	inbox    *ring.Ring[Event]
	accounts *ring.Ring[PeerUsage]
	snapshot atomic.Pointer[Snapshot]
	changed  atomic.Pointer[chan struct{}]
	conns    *peerConns
	metrics  memberMetrics
}

type memberMetrics struct {
	listFailed, listEmpty, messagesOut, messagesIn, bytesOut, bytesIn metrics.Counter
	configVersion, planVersion, peers                                 metrics.Gauge
}

func newMemberMetrics() memberMetrics {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("member."+name, nil)
	}
	gauge := func(name string) metrics.Gauge {
		return metrics.GetOrRegisterGauge("member."+name, nil)
	}
	return memberMetrics{
		listFailed:    counter("list.failed"),
		listEmpty:     counter("list.empty"),
		messagesOut:   counter("gossip.messages.out"),
		messagesIn:    counter("gossip.messages.in"),
		bytesOut:      counter("gossip.bytes.out"),
		bytesIn:       counter("gossip.bytes.in"),
		configVersion: gauge("config.version"),
		planVersion:   gauge("plan.version"),
		peers:         gauge("gossip.peers"),
	}
}

// New returns a Member with an empty Snapshot.
func New(config Config, store sharedstate.Store, list sharedstate.VMList) *Member {
	if config.ListInterval <= 0 {
		config.ListInterval = defaultListInterval
	}
	if config.Random == nil {
		config.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	m := &Member{
		config:   config,
		store:    store,
		list:     list,
		inbox:    ring.New[Event]("member", inboxSize, ring.DropOldest),
		accounts: ring.New[PeerUsage]("member.accounts", accountsSize, ring.DropOldest),
		conns:    newPeerConns(),
		metrics:  newMemberMetrics(),
	}
	m.snapshot.Store(NewState(config.Region, time.Time{}).Snapshot())
	changed := make(chan struct{})
	m.changed.Store(&changed)
	return m
}

// Services returns the duties of m, to be added to a supervisor.
func (m *Member) Services() []suture.Service {
	services := []suture.Service{m}
	for _, name := range []string{fleetconfig.ObjectName, plan.ObjectName(m.config.Region)} {
		services = append(services, &watcher{member: m, name: name, random: m.newRandom()})
	}
	if !m.config.SkipVMList {
		services = append(services, &lister{member: m, random: m.newRandom()})
	}
	if m.config.Entry {
		services = append(services, &dialer{member: m, random: m.newRandom()})
	}
	if m.config.PeerListener != nil {
		services = append(services, &acceptor{member: m})
	}
	return services
}

// Snapshot returns the latest Snapshot.
func (m *Member) Snapshot() *Snapshot { return m.snapshot.Load() }

// Changed returns a channel that is closed when the next Snapshot is published. To miss
// no change, call Changed before Snapshot.
func (m *Member) Changed() <-chan struct{} { return *m.changed.Load() }

// Offer passes on an object that was received over another link, or that this process
// has just written.
func (m *Member) Offer(o sharedstate.Object) { m.inbox.Put(ObjectReceived{Object: o}) }

// SetPeerVersions passes on the versions that another process announced over a link. A
// new process waits for those of several processes.
func (m *Member) SetPeerVersions(process string, v *wire.Versions) {
	m.inbox.Put(PeerVersions{Process: process, Versions: v.GetVersions()})
}

// AnnounceUsage sets the usage of this entry's heaviest client accounts to announce to
// its peers. The value must not be changed afterwards.
func (m *Member) AnnounceUsage(accounts *wire.Accounts) {
	m.inbox.Put(UsageAnnounced{Accounts: accounts})
}

// PeerUsage returns the usage announced by peers. Only one goroutine may receive from it.
func (m *Member) PeerUsage() <-chan PeerUsage { return m.accounts.C() }

// Serve runs the state machine until ctx ends.
func (m *Member) Serve(ctx context.Context) error {
	state := NewState(m.config.Region, time.Now())
	m.restore(state)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var ev Event = Tick{}
		select {
		case ev = <-m.inbox.C():
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		m.execute(state.Step(time.Now(), ev))
		if _, ok := ev.(VMListRead); ok {
			m.snapshot.Store(state.Snapshot())
		}
	}
}

// restore loads a new State, after a panic, with the objects and the VM list that this
// process published before.
func (m *Member) restore(state *State) {
	held := m.snapshot.Load()
	for _, o := range held.objects.held {
		state.Step(time.Now(), ObjectReceived{Object: o})
	}
	if len(held.VMs) > 0 {
		state.Step(held.ListedAt, VMListRead{VMs: held.VMs})
	}
}

func (m *Member) execute(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			m.conns.send(e.Peer, e.Frame)
		case Publish:
			m.publish(e.Snapshot)
		}
	}
}

func (m *Member) publish(s *Snapshot) {
	m.snapshot.Store(s)
	m.metrics.configVersion.Update(int64(s.ConfigVersion))
	m.metrics.planVersion.Update(int64(s.PlanVersion))
	next := make(chan struct{})
	close(*m.changed.Swap(&next))
}

// newRandom returns a source of random numbers for one duty.
func (m *Member) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(m.config.Random.Uint64(), m.config.Random.Uint64()))
}

// jitter returns d lengthened or shortened by up to a quarter, so that processes that
// started together do not make their calls together.
func jitter(d time.Duration, random *rand.Rand) time.Duration {
	const quarter = 4
	return d - d/quarter + time.Duration(random.Int64N(int64(d/(quarter/2))+1))
}
