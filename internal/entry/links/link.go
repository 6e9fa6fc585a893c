// Package links keeps one link to each sidecar: it dials, exchanges heartbeats
// and objects, notices silence and opens a second connection beside a silent
// one.
package links

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/link"
	"pistachioroad.dev/pistachioroad/internal/ring"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	// tick is how often a link looks at its timers.
	tick = 250 * time.Millisecond
	// versionsEvery is how many heartbeats pass between two Versions.
	versionsEvery = 5
	// oldLinger is how long a silent connection is kept beside its successor,
	// so that an answer that was only delayed can still arrive.
	oldLinger = 2 * link.SilentAfter
	// backoffMin and backoffMax bound the wait before the next dial.
	backoffMin = 50 * time.Millisecond
	backoffMax = 2 * time.Second
	inboxSize  = 64
)

// Objects is the part of the membership that travels over links.
type Objects interface {
	// Versions returns the versions in force here.
	Versions() *wire.Versions
	// Newer returns the objects that are newer here than at the peer.
	Newer(peer *wire.Versions) []*wire.Object
	// Offer takes an object that the peer holds.
	Offer(o sharedstate.Object)
	// Heard takes the versions in force at a peer.
	SetPeerVersions(process string, v *wire.Versions)
	// Changed returns a channel that is closed when the versions here change.
	Changed() <-chan struct{}
}

// Link is the duty that keeps the connection to one sidecar. Serve runs it;
// Conn may be called from any goroutine.
type Link struct {
	server  Server
	self    *wire.Hello
	objects Objects
	reports *ring.Ring[Report]
	current atomic.Pointer[Conn]
	peer    atomic.Pointer[Peer]

	// The rest belongs to Serve.
	inbox    chan inbound
	dialled  chan dialResult
	dialling bool
	retryAt  time.Time
	backoff  time.Duration
	old      *oldConn
	heard    time.Time
	beatAt   time.Time
	sequence uint64
	state    State
	// sent are the versions sent on the connection since the sidecar last told
	// its own. What is in force there is only what it tells itself.
	sent map[string]uint64
}

// Peer is what a sidecar last said of itself. It is never changed.
type Peer struct {
	LastFrameAt time.Time
	Versions    map[string]uint64
}

// oldConn is a silent connection beside its successor.
type oldConn struct {
	conn    *Conn
	closeAt time.Time
}

type dialResult struct {
	conn *Conn
	err  error
}

var secondConnections = metrics.GetOrRegisterCounter("link.second_connections", nil)

// NewLink returns the Link to server. It sends self as its Hello and puts what
// it learns into reports.
func NewLink(server Server, self *wire.Hello, objects Objects, reports *ring.Ring[Report]) *Link {
	l := &Link{server: server, self: self, objects: objects, reports: reports}
	l.peer.Store(&Peer{})
	return l
}

// Conn returns the connection for new work, or nil if there is none.
func (l *Link) Conn() *Conn { return l.current.Load() }

// Peer returns what the sidecar last said of itself.
func (l *Link) Peer() Peer { return *l.peer.Load() }

// String names the duty.
func (l *Link) String() string { return "link to " + l.server.Name }

// Serve keeps the connection until ctx ends.
func (l *Link) Serve(ctx context.Context) error {
	l.inbox = make(chan inbound, inboxSize)
	l.dialled = make(chan dialResult, 1)
	l.dialling, l.retryAt, l.backoff = false, time.Time{}, 0
	defer l.closeAll()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	l.dial(ctx)
	changed := l.objects.Changed()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
			changed = l.objects.Changed()
			l.push()
		case in := <-l.inbox:
			l.receive(ctx, time.Now(), in)
		case result := <-l.dialled:
			l.dialDone(ctx, time.Now(), result)
		case now := <-ticker.C:
			l.tick(ctx, now)
		}
	}
}

func (l *Link) dial(ctx context.Context) {
	if l.dialling {
		return
	}
	l.dialling = true
	go func() {
		conn, err := connect(ctx, l.server.Address, l.self)
		l.dialled <- dialResult{conn: conn, err: err}
	}()
}

func (l *Link) dialDone(ctx context.Context, now time.Time, result dialResult) {
	l.dialling = false
	if result.err != nil {
		l.backoff = min(max(2*l.backoff, backoffMin), backoffMax)
		// The jitter keeps the entries of a fleet from dialling a sidecar that
		// came back all at once.
		l.retryAt = now.Add(l.backoff/2 + rand.N(l.backoff))
		log.WithField("backend_server", l.server.Name).WithError(result.err).Debug("dial failed")
		return
	}
	l.backoff = 0
	l.adopt(ctx, now, result.conn)
}

// adopt makes conn the connection for new work.
func (l *Link) adopt(ctx context.Context, now time.Time, conn *Conn) {
	if before := l.current.Swap(conn); before != nil {
		l.retire(now, before)
	}
	l.heard, l.beatAt = now, now
	l.sent = map[string]uint64{}
	l.peer.Store(&Peer{LastFrameAt: now})
	go conn.write()
	go conn.read(ctx, l.inbox)
	conn.send(l.versions())
	l.setState(Up)
	log.WithField("backend_server", l.server.Name).WithField("incarnation", conn.incarnation).Info("link up")
}

func (l *Link) retire(now time.Time, conn *Conn) {
	if l.old != nil {
		l.old.conn.close()
	}
	conn.markSilent()
	l.old = &oldConn{conn: conn, closeAt: now.Add(oldLinger)}
}

func (l *Link) tick(ctx context.Context, now time.Time) {
	if l.old != nil && !now.Before(l.old.closeAt) {
		l.old.conn.close()
		l.old = nil
	}
	conn := l.current.Load()
	if conn == nil {
		if !now.Before(l.retryAt) {
			l.dial(ctx)
		}
		return
	}
	l.beat(now, conn)
	// A connection once marked silent is replaced even if it is heard again:
	// its requests have been told, and those to come would be told at once.
	silent := conn.isSilent() || now.Sub(l.heard) >= link.SilentAfter
	if silent && !now.Before(l.retryAt) {
		l.goneSilent(ctx, now, conn)
	}
}

// goneSilent opens a second connection beside a silent one.
//
// A connection that something between the two ends has lost track of neither
// fails nor delivers. Requests on it would wait for their whole deadline while
// the sidecar answers new connections at once; one notices by a link without
// heartbeats to a sidecar whose other links are fine. Waiting for TCP to give
// up takes minutes.
func (l *Link) goneSilent(ctx context.Context, now time.Time, conn *Conn) {
	if !conn.isSilent() {
		secondConnections.Inc(1)
		log.WithField("backend_server", l.server.Name).
			WithField("silent_for", now.Sub(l.heard).String()).Warn("link silent, opening a second connection")
	}
	conn.markSilent()
	l.setState(Down)
	l.dial(ctx)
}

func (l *Link) beat(now time.Time, conn *Conn) {
	if now.Sub(l.beatAt) < link.HeartbeatInterval {
		return
	}
	l.beatAt = now
	l.sequence++
	conn.send(&wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{
		Sequence: l.sequence,
		ClockUs:  clock(),
	}}})
	if l.sequence%versionsEvery == 0 {
		conn.send(l.versions())
	}
}

func (l *Link) closeAll() {
	if conn := l.current.Swap(nil); conn != nil {
		conn.close()
	}
	if l.old != nil {
		l.old.conn.close()
		l.old = nil
	}
	l.setState(Down)
	// A dial that is still under way must not leave its connection behind.
	if l.dialling {
		go func(dialled <-chan dialResult) {
			if r := <-dialled; r.conn != nil {
				r.conn.close()
			}
		}(l.dialled)
	}
}
