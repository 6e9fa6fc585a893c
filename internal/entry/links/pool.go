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
	// connWait is how long an attempt waits for a link that is being opened.
	connWait = time.Second
	// connPoll is how often it looks.
	connPoll = 5 * time.Millisecond
	// idleAfter is how long a link opened on demand stays without use.
	idleAfter = 30 * time.Second
	// maxOnDemand bounds the links beyond the subset.
	maxOnDemand = 64
	wantedQueue = 256
)

// ErrNoLink says that there is no connection to the backend server.
var ErrNoLink = eris.New("no link to the backend server")

// Config sets a Pool.
type Config struct {
	// Self is the Hello of this process.
	Self *wire.Hello
	// Region and DataCentre of this process; links go there first.
	Region, DataCentre string
	// Links is how many sidecars of each service get a standing link; 0: all.
	LinksPerService int
}

// Pool is the duty that decides which links exist. Conn may be called from any
// goroutine.
type Pool struct {
	config     Config
	views      view.Source
	objects    Objects
	reports    *ring.Ring[Report]
	supervisor *suture.Supervisor
	wanted     *ring.Ring[string]
	published  atomic.Pointer[map[string]*Link]

	// The rest belongs to Serve.
	links map[string]*pooledLink
}

// pooledLink is a link in the pool.
type pooledLink struct {
	link     *Link
	server   Server
	token    suture.ServiceToken
	standing bool
	usedAt   time.Time
}

// NewPool returns a Pool whose links run under supervisor.
func NewPool(config Config, views view.Source, objects Objects, reports *ring.Ring[Report], supervisor *suture.Supervisor) *Pool {
	p := &Pool{
		config:     config,
		views:      views,
		objects:    objects,
		reports:    reports,
		supervisor: supervisor,
		wanted:     ring.New[string]("links.wanted", wantedQueue, ring.DropOldest),
		links:      map[string]*pooledLink{},
	}
	p.publish()
	return p
}

// String names the duty.
func (p *Pool) String() string { return "links" }

// Conn returns the connection for new work to a backend server, opening a link
// to it if there is none.
func (p *Pool) Conn(ctx context.Context, server string) (*Conn, error) {
	if conn := p.lookUp(server); conn != nil {
		return conn, nil
	}
	p.wanted.Put(server)
	ctx, cancel := context.WithTimeout(ctx, connWait)
	defer cancel()
	ticker := time.NewTicker(connPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, eris.Wrap(ErrNoLink, server)
		case <-ticker.C:
			if conn := p.lookUp(server); conn != nil {
				return conn, nil
			}
		}
	}
}

// lookUp returns the connection if it is not silent.
func (p *Pool) lookUp(server string) *Conn {
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

// Serve keeps the set of links until ctx ends.
func (p *Pool) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	p.update(time.Now())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case server := <-p.wanted.C():
			p.want(time.Now(), server)
		case now := <-ticker.C:
			p.update(now)
		}
	}
}

// want opens a link on demand.
func (p *Pool) want(now time.Time, server string) {
	if m, ok := p.links[server]; ok {
		m.usedAt = now
		return
	}
	if len(p.links) >= p.standing()+maxOnDemand {
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

func (p *Pool) standing() int {
	n := 0
	for _, m := range p.links {
		if m.standing {
			n++
		}
	}
	return n
}

// update follows the VM list.
func (p *Pool) update(now time.Time) {
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
		m.standing = chosen[name]
		server, ok := listed[name]
		if !ok || server.Address != m.server.Address {
			p.closeUnused(m)
			continue
		}
		if !m.standing && now.Sub(m.usedAt) > idleAfter {
			p.closeUnused(m)
		}
	}
	p.publish()
}

func (p *Pool) open(now time.Time, server Server, standing bool) {
	l := NewLink(server, p.config.Self, p.objects, p.reports)
	p.links[server.Name] = &pooledLink{
		link:     l,
		server:   server,
		token:    p.supervisor.Add(l),
		standing: standing,
		usedAt:   now,
	}
}

// closeUnused closes a link that carries no request. One that does is looked
// at again with the next tick: its backend server has left the VM list, but
// the requests that it finishes must not be cut.
func (p *Pool) closeUnused(m *pooledLink) {
	if conn := m.link.Conn(); conn != nil && conn.busy() {
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

// Peer returns what the sidecar of a backend server last said of itself; false
// without a link to it.
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

// LinkDump is one link in the dump of a Pool.
type LinkDump struct {
	Connected   bool   `json:"connected"`
	Silent      bool   `json:"silent"`
	Incarnation string `json:"incarnation,omitempty"`
	// HeardAt is when the sidecar last sent a frame.
	HeardAt time.Time `json:"heard_at"`
	// Versions are the object versions in force there.
	Versions map[string]uint64 `json:"versions,omitempty"`
}

// Dump returns the state of each link.
func (p *Pool) Dump(context.Context) any {
	dump := map[string]LinkDump{}
	for name, l := range *p.published.Load() {
		peer := l.Peer()
		d := LinkDump{HeardAt: peer.LastFrameAt, Versions: peer.Versions}
		if conn := l.Conn(); conn != nil {
			d.Connected, d.Silent, d.Incarnation = true, conn.isSilent(), conn.incarnation
		}
		dump[name] = d
	}
	return dump
}
