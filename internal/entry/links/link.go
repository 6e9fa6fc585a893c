// Package links maintains one link to each of a set of sidecars: it dials,
// exchanges heartbeats and objects, detects silent connections and opens a second
// connection when one is silent.
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
	// tickInterval is how often links check their timers and the pool its links.
	tickInterval = 250 * time.Millisecond
	// heartbeatsPerVersions is the number of heartbeats per Versions frame.
	heartbeatsPerVersions = 5
	// retiredLinger is how long a silent connection stays open after it has been
	// replaced, so that an answer that was only delayed can still arrive.
	retiredLinger = 2 * link.SilenceTimeout
	// backoffMin and backoffMax bound the delay after a failed dial.
	backoffMin = 50 * time.Millisecond
	backoffMax = 2 * time.Second
	inboxSize  = 64
)

// Objects gives access to the shared objects that are synchronised over links.
type Objects interface {
	// Versions returns the active versions of this process.
	Versions() *wire.Versions
	// Newer returns the objects that are newer in this process than at the peer.
	Newer(peer *wire.Versions) []*wire.Object
	// Offer takes an object received from a peer.
	Offer(o sharedstate.Object)
	// SetPeerVersions records the active versions of a peer.
	SetPeerVersions(process string, v *wire.Versions)
	// Changed returns a channel that is closed when the versions of this process
	// change.
	Changed() <-chan struct{}
}

// Link is the duty that maintains the connection to one sidecar. Serve runs it;
// Conn and Peer are safe for concurrent use.
type Link struct {
	server  Server
	self    *wire.Hello
	objects Objects
	reports *ring.Ring[Report]
	current atomic.Pointer[Conn]
	peer    atomic.Pointer[Peer]

	// The fields below are accessed by the goroutine of Serve only.
	inbox             chan inboundFrame
	dialled           chan dialResult
	dialling          bool
	retryAt           time.Time
	backoff           time.Duration
	retired           *retiredConn
	lastFrameAt       time.Time
	lastHeartbeatAt   time.Time
	heartbeatSequence uint64
	state             State
	// sentVersions holds the versions sent on the connection since the sidecar's
	// last Versions. They count as active there only once the sidecar reports them.
	sentVersions map[string]uint64
}

// Peer is the last known state of a sidecar. It is immutable.
type Peer struct {
	LastFrameAt time.Time
	Versions    map[string]uint64
}

// retiredConn is a silent connection that has been replaced.
type retiredConn struct {
	conn    *Conn
	closeAt time.Time
}

type dialResult struct {
	conn *Conn
	err  error
}

var secondConnections = metrics.GetOrRegisterCounter("link.second_connections", nil)

// NewLink returns the Link to server. It sends self as its Hello and puts load
// reports, cache events and changes of its state into reports.
func NewLink(server Server, self *wire.Hello, objects Objects, reports *ring.Ring[Report]) *Link {
	l := &Link{server: server, self: self, objects: objects, reports: reports}
	l.peer.Store(&Peer{})
	return l
}

// Conn returns the connection for new requests, or nil if there is none. It may
// be silent.
func (l *Link) Conn() *Conn { return l.current.Load() }

// Peer returns the last known state of the sidecar.
func (l *Link) Peer() Peer { return *l.peer.Load() }

// String returns the name of the duty.
func (l *Link) String() string { return "link to " + l.server.Name }

// Serve maintains the connection until ctx ends.
func (l *Link) Serve(ctx context.Context) error {
	l.inbox = make(chan inboundFrame, inboxSize)
	l.dialled = make(chan dialResult, 1)
	l.dialling, l.retryAt, l.backoff = false, time.Time{}, 0
	defer l.closeAll()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	l.dial(ctx)
	changed := l.objects.Changed()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
			changed = l.objects.Changed()
			l.pushObjects()
		case in := <-l.inbox:
			l.handleInbound(ctx, time.Now(), in)
		case result := <-l.dialled:
			l.handleDialResult(ctx, time.Now(), result)
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

func (l *Link) handleDialResult(ctx context.Context, now time.Time, result dialResult) {
	l.dialling = false
	if result.err != nil {
		l.backoff = min(max(2*l.backoff, backoffMin), backoffMax)
		// The jitter keeps all entries from dialling a restarted sidecar at the
		// same moment.
		l.retryAt = now.Add(l.backoff/2 + rand.N(l.backoff))
		log.WithField("backend_server", l.server.Name).WithError(result.err).Debug("dial failed")
		return
	}
	l.backoff = 0
	l.setCurrent(ctx, now, result.conn)
}

// setCurrent makes conn the connection for new requests and retires the previous
// one.
func (l *Link) setCurrent(ctx context.Context, now time.Time, conn *Conn) {
	if before := l.current.Swap(conn); before != nil {
		l.retire(now, before)
	}
	l.lastFrameAt, l.lastHeartbeatAt = now, now
	l.sentVersions = map[string]uint64{}
	l.peer.Store(&Peer{LastFrameAt: now})
	go conn.writeLoop()
	go conn.readLoop(ctx, l.inbox)
	conn.send(l.versionsFrame())
	l.setState(Up)
	log.WithField("backend_server", l.server.Name).WithField("incarnation", conn.incarnation).Info("link up")
}

// retire marks a replaced connection silent and leaves it open for retiredLinger.
func (l *Link) retire(now time.Time, conn *Conn) {
	if l.retired != nil {
		l.retired.conn.close()
	}
	conn.markSilent()
	l.retired = &retiredConn{conn: conn, closeAt: now.Add(retiredLinger)}
}

func (l *Link) tick(ctx context.Context, now time.Time) {
	if l.retired != nil && !now.Before(l.retired.closeAt) {
		l.retired.conn.close()
		l.retired = nil
	}
	conn := l.current.Load()
	if conn == nil {
		if !now.Before(l.retryAt) {
			l.dial(ctx)
		}
		return
	}
	l.sendHeartbeat(now, conn)
	// A connection once marked silent is replaced even if frames arrive again:
	// Silent stays closed, so every new request would see a silent link immediately.
	silent := conn.isSilent() || now.Sub(l.lastFrameAt) >= link.SilenceTimeout
	if silent && !now.Before(l.retryAt) {
		l.replaceSilent(ctx, now, conn)
	}
}

// replaceSilent dials a second connection while the silent one is still open.
//
// If a middlebox loses the state of a connection, it neither fails nor delivers.
// Requests on it would wait until their deadlines although the sidecar answers on
// new connections immediately, and a TCP timeout takes minutes. Symptom: a link
// without heartbeats to a sidecar whose other links work.
func (l *Link) replaceSilent(ctx context.Context, now time.Time, conn *Conn) {
	if !conn.isSilent() {
		secondConnections.Inc(1)
		log.WithField("backend_server", l.server.Name).
			WithField("silent_for", now.Sub(l.lastFrameAt).String()).Warn("link silent, opening a second connection")
	}
	conn.markSilent()
	l.setState(Down)
	l.dial(ctx)
}

func (l *Link) sendHeartbeat(now time.Time, conn *Conn) {
	if now.Sub(l.lastHeartbeatAt) < link.HeartbeatInterval {
		return
	}
	l.lastHeartbeatAt = now
	l.heartbeatSequence++
	conn.send(&wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{
		Sequence: l.heartbeatSequence,
		ClockUs:  clockMicros(),
	}}})
	if l.heartbeatSequence%heartbeatsPerVersions == 0 {
		conn.send(l.versionsFrame())
	}
}

func (l *Link) closeAll() {
	if conn := l.current.Swap(nil); conn != nil {
		conn.close()
	}
	if l.retired != nil {
		l.retired.conn.close()
		l.retired = nil
	}
	l.setState(Down)
	// A pending dial must not leak its connection.
	if l.dialling {
		go func(dialled <-chan dialResult) {
			if r := <-dialled; r.conn != nil {
				r.conn.close()
			}
		}(l.dialled)
	}
}
