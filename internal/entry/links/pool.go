package links

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"pistachioroad.dev/pistachioroad/internal/entry/view"
	"pistachioroad.dev/pistachioroad/internal/ring"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	// connTimeout bounds how long Conn waits for a link that is being opened, and
	// connPollInterval is how often it checks.
	connTimeout      = time.Second
	connPollInterval = 5 * time.Millisecond
	// onDemandIdleTimeout is how long an on-demand link stays open after Conn last
	// requested it. Then it is closed once no request runs on it.
	onDemandIdleTimeout = 30 * time.Second
	// maxOnDemandLinks bounds the links in addition to the persistent ones.
	maxOnDemandLinks = 64
	wantedQueueSize  = 256
)

// ErrNoLink is returned if there is no live connection to the backend server.
var ErrNoLink = eris.New("no link to the backend server")

// Config configures a Pool.
type Config struct {
	// Self is the Hello of this process.
	Self *wire.Hello
	// Region and DataCentre are the location of this process. Sidecars there are
	// preferred.
	Region, DataCentre string
	// LinksPerService is the number of sidecars of each service that get a
	// persistent link; 0 means all.
	LinksPerService int
}

// Pool is the duty that opens and closes links: persistent ones to a subset of
// the sidecars, others on demand. Conn, Peer and Dump are safe for concurrent use.
type Pool struct {
	config     Config
	views      view.Source
	objects    Objects
	reports    *ring.Ring[Report]
	supervisor *suture.Supervisor
	wanted     *ring.Ring[string]
	published  atomic.Pointer[map[string]*Link]

	// links is accessed by the goroutine of Serve only.
	links map[string]*pooledLink
}

// pooledLink is a link of a Pool.
type pooledLink struct {
	link       *Link
	server     Server
	token      suture.ServiceToken
	persistent bool
	usedAt     time.Time
}

// NewPool returns a Pool whose links run under supervisor.
func NewPool(config Config, views view.Source, objects Objects, reports *ring.Ring[Report], supervisor *suture.Supervisor) *Pool {
	p := &Pool{
		config:     config,
		views:      views,
		objects:    objects,
		reports:    reports,
		supervisor: supervisor,
		wanted:     ring.New[string]("links.wanted", wantedQueueSize, ring.DropOldest),
		links:      map[string]*pooledLink{},
	}
	p.publish()
	return p
}

// String returns the name of the duty.
func (p *Pool) String() string { return "links" }

// Conn returns a live connection to a backend server for new requests. Without a
// link it requests one and waits for up to connTimeout.
func (p *Pool) Conn(ctx context.Context, server string) (*Conn, error) {
	if conn := p.liveConn(server); conn != nil {
		return conn, nil
	}
	p.wanted.Put(server)
	ctx, cancel := context.WithTimeout(ctx, connTimeout)
	defer cancel()
	ticker := time.NewTicker(connPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, eris.Wrap(ErrNoLink, server)
		case <-ticker.C:
			if conn := p.liveConn(server); conn != nil {
				return conn, nil
			}
		}
	}
}

// liveConn returns the connection to a backend server, or nil if there is none
// or it is silent.
func (p *Pool) liveConn(server string) *Conn {
	l, ok := (*p.published.Load())[server]
	if !ok {
		return nil
	}
	conn := l.Conn()
	if conn == nil || conn.isSilent() {
		return nil
	}
	return conn
}

// Serve maintains the set of links until ctx ends.
func (p *Pool) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	p.reconcile(time.Now())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case server := <-p.wanted.C():
			p.openOnDemand(time.Now(), server)
		case now := <-ticker.C:
			p.reconcile(now)
		}
	}
}

// openOnDemand opens a link that Conn has requested, unless the limit is reached.
// For an existing link it restarts the idle timeout.
func (p *Pool) openOnDemand(now time.Time, server string) {
	if m, ok := p.links[server]; ok {
		m.usedAt = now
		return
	}
	if len(p.links) >= p.persistentLinks()+maxOnDemandLinks {
		return
	}
	for _, vm := range p.views.View().Backends() {
		if vm.Name == server {
			p.open(now, serverOf(vm), false)
			p.publish()
			return
		}
	}
}

// persistentLinks returns the number of persistent links.
func (p *Pool) persistentLinks() int {
	n := 0
	for _, m := range p.links {
		if m.persistent {
			n++
		}
	}
	return n
}

// reconcile opens and closes links to match the VM list.
func (p *Pool) reconcile(now time.Time) {
	backends := p.views.View().Backends()
	listed := make(map[string]Server, len(backends))
	for _, vm := range backends {
		listed[vm.Name] = serverOf(vm)
	}
	chosen := subset(backends, p.config)
	for name := range chosen {
		if _, ok := p.links[name]; !ok {
			p.open(now, listed[name], true)
		}
	}
	for name, m := range p.links {
		m.persistent = chosen[name]
		server, ok := listed[name]
		if !ok || server.Address != m.server.Address {
			p.closeUnused(m)
			continue
		}
		if !m.persistent && now.Sub(m.usedAt) > onDemandIdleTimeout {
			p.closeUnused(m)
		}
	}
	p.publish()
}

func (p *Pool) open(now time.Time, server Server, persistent bool) {
	l := NewLink(server, p.config.Self, p.objects, p.reports)
	p.links[server.Name] = &pooledLink{
		link:       l,
		server:     server,
		token:      p.supervisor.Add(l),
		persistent: persistent,
		usedAt:     now,
	}
}

// closeUnused closes a link unless requests run on it. Then it is checked again
// at the next tick: a backend server that has left the VM list still finishes its
// requests, and their streams must not be cut.
func (p *Pool) closeUnused(m *pooledLink) {
	if conn := m.link.Conn(); conn != nil && conn.hasOpenStreams() {
		return
	}
	_ = p.supervisor.Remove(m.token)
	delete(p.links, m.server.Name)
}

func (p *Pool) publish() {
	published := make(map[string]*Link, len(p.links))
	for name, m := range p.links {
		published[name] = m.link
	}
	p.published.Store(&published)
}

// Peer returns the last known state of a backend server's sidecar, or false if
// there is no link to it.
func (p *Pool) Peer(server string) (Peer, bool) {
	l, ok := (*p.published.Load())[server]
	if !ok {
		return Peer{}, false
	}
	return l.Peer(), true
}

func serverOf(vm sharedstate.VM) Server {
	return Server{Name: vm.Name, Address: vm.LinkAddress}
}

// LinkDump is the state of one link in the dump of a Pool.
type LinkDump struct {
	Connected   bool   `json:"connected"`
	Silent      bool   `json:"silent"`
	Incarnation string `json:"incarnation,omitempty"`
	// LastFrameAt is when the sidecar last sent a frame.
	LastFrameAt time.Time `json:"heard_at"`
	// Versions holds the object versions that are active at the sidecar.
	Versions map[string]uint64 `json:"versions,omitempty"`
}

// Dump returns the state of each link as a LinkDump, by backend server.
func (p *Pool) Dump(context.Context) any {
	dump := map[string]LinkDump{}
	for name, l := range *p.published.Load() {
		peer := l.Peer()
		d := LinkDump{LastFrameAt: peer.LastFrameAt, Versions: peer.Versions}
		if conn := l.Conn(); conn != nil {
			d.Connected, d.Silent, d.Incarnation = true, conn.isSilent(), conn.incarnation
		}
		dump[name] = d
	}
	return dump
}
