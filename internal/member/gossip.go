package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"pistachioroad.dev/pistachioroad/internal/link"
	"pistachioroad.dev/pistachioroad/internal/ring"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// The timing and bounds of links between entries.
const (
	// peerSilenceTimeout closes a link without a message for this long: two messages
	// missed. A connection that silently drops packets would otherwise stay open
	// indefinitely, although a new one would work.
	peerSilenceTimeout = 2*GossipInterval + GossipInterval/2
	// dialInterval is how often an entry checks which peers to dial.
	dialInterval = time.Second
	// outboxSize bounds the frames queued for a peer. Versions are announced
	// periodically, so that the oldest frames can be dropped.
	outboxSize = 32
)

// peerConns holds the outboxes of the links to peers that are up.
type peerConns struct {
	lastID atomic.Uint64

	mu       sync.Mutex
	outboxes map[PeerID]*ring.Ring[*wire.Frame]
}

func newPeerConns() *peerConns { return &peerConns{outboxes: map[PeerID]*ring.Ring[*wire.Frame]{}} }

// add returns the id and outbox of a new connection; false if there are maxPeers.
func (c *peerConns) add() (PeerID, *ring.Ring[*wire.Frame], bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.outboxes) >= maxPeers {
		return 0, nil, false
	}
	id := PeerID(c.lastID.Add(1))
	out := ring.New[*wire.Frame]("member.peer", outboxSize, ring.DropOldest)
	c.outboxes[id] = out
	return id, out, true
}

func (c *peerConns) remove(id PeerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.outboxes, id)
}

func (c *peerConns) send(id PeerID, f *wire.Frame) {
	c.mu.Lock()
	out := c.outboxes[id]
	c.mu.Unlock()
	if out != nil {
		out.Put(f)
	}
}

func (c *peerConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.outboxes)
}

// dialer keeps links to the selected peers open.
type dialer struct {
	member *Member
	random *rand.Rand
}

// Serve dials until ctx ends.
func (d *dialer) Serve(ctx context.Context) error {
	m := d.member
	dialled := map[string]context.CancelFunc{}
	ended := make(chan string, maxPeers)
	var running sync.WaitGroup
	defer running.Wait()
	for {
		d.closeUnselected(dialled)
		for _, vm := range Peers(m.Snapshot().VMs, m.config.Process) {
			if dialled[vm.Name] != nil || vm.LinkAddress == "" || len(dialled) >= maxPeers {
				continue
			}
			peer, cancel := context.WithCancel(ctx)
			dialled[vm.Name] = cancel
			running.Go(func() {
				m.dial(peer, vm)
				ended <- vm.Name
			})
		}
		if !d.collectEnded(ctx, ended, dialled) {
			return ctx.Err()
		}
	}
}

// closeUnselected closes the links to entries that are no longer selected.
func (d *dialer) closeUnselected(dialled map[string]context.CancelFunc) {
	selected := map[string]bool{}
	for _, vm := range Peers(d.member.Snapshot().VMs, d.member.config.Process) {
		selected[vm.Name] = true
	}
	for name, cancel := range dialled {
		if !selected[name] {
			cancel()
		}
	}
}

// collectEnded removes links that have ended from dialled until the next check is due.
// It returns false when ctx ends.
func (d *dialer) collectEnded(ctx context.Context, ended <-chan string, dialled map[string]context.CancelFunc) bool {
	timer := time.NewTimer(jitter(dialInterval, d.random))
	defer timer.Stop()
	for {
		select {
		case name := <-ended:
			dialled[name]()
			delete(dialled, name)
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// dial opens one link and runs it until it ends.
func (m *Member) dial(ctx context.Context, vm sharedstate.VM) {
	session, err := link.Dial(ctx, vm.LinkAddress)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	defer func() { _ = session.Close() }()
	conn, err := session.Open()
	if err != nil {
		return
	}
	m.runPeer(conn, session)
}

// acceptor accepts the links of other entries.
type acceptor struct{ member *Member }

// Serve accepts until ctx ends.
func (a *acceptor) Serve(ctx context.Context) error {
	listener := a.member.config.PeerListener
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return eris.Wrap(err, "accept peer")
		}
		session, err := link.Accept(conn)
		if err != nil {
			continue
		}
		running.Go(func() { a.member.accept(ctx, session) })
	}
}

func (m *Member) accept(ctx context.Context, session *link.Session) {
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	defer func() { _ = session.Close() }()
	silent := time.AfterFunc(peerSilenceTimeout, func() { _ = session.Close() })
	conn, err := session.AcceptStream()
	silent.Stop()
	if err != nil {
		return
	}
	m.runPeer(conn, session)
}

// runPeer exchanges frames with a peer until the link ends or peerSilenceTimeout passes
// without one.
func (m *Member) runPeer(conn *wire.Conn, session *link.Session) {
	id, out, ok := m.conns.add()
	if !ok {
		return
	}
	defer m.conns.remove(id)
	m.metrics.peers.Update(int64(m.conns.count()))
	silent := time.AfterFunc(peerSilenceTimeout, func() { _ = session.Close() })
	defer silent.Stop()

	hello := &wire.Hello{
		Process:     m.config.Process,
		Incarnation: m.config.Incarnation,
		DataCentre:  m.config.DataCentre,
	}
	if err := m.write(conn, &wire.Frame{Body: &wire.Frame_Hello{Hello: hello}}); err != nil {
		return
	}
	f, err := m.read(conn)
	if err != nil || f.GetHello() == nil {
		return
	}
	process := f.GetHello().GetProcess()
	log.WithField("peer", process).Info("peer connected")
	var writing sync.WaitGroup
	writing.Go(func() { m.writeAll(conn, out, session) })
	defer writing.Wait()
	defer func() { _ = session.Close() }()

	m.inbox.Put(PeerUp{Peer: id, Process: process})
	defer m.inbox.Put(PeerDown{Peer: id})
	for {
		f, err := m.read(conn)
		if err != nil {
			log.WithField("peer", process).Info("peer disconnected")
			return
		}
		silent.Reset(peerSilenceTimeout)
		m.handleFrame(id, process, f)
	}
}

// handleFrame turns a frame from a peer into an event.
func (m *Member) handleFrame(id PeerID, process string, f *wire.Frame) {
	switch body := f.GetBody().(type) {
	case *wire.Frame_Versions:
		m.inbox.Put(PeerVersions{
			Peer:      id,
			Process:   process,
			Versions:  body.Versions.GetVersions(),
			WantsList: body.Versions.GetWantsList(),
		})
	case *wire.Frame_Vms:
		vms, age := listFromWire(body.Vms)
		m.inbox.Put(PeerVMList{VMs: vms, Age: age})
	case *wire.Frame_Object:
		m.inbox.Put(ObjectReceived{Peer: id, Object: sharedstate.Object{
			Name:    body.Object.GetName(),
			Version: body.Object.GetVersion(),
			Value:   body.Object.GetValue(),
		}})
	case *wire.Frame_Accounts:
		m.accounts.Put(PeerUsage{Process: process, Accounts: body.Accounts})
	}
}

// writeAll sends the frames of the outbox until the link ends.
func (m *Member) writeAll(conn *wire.Conn, out *ring.Ring[*wire.Frame], session *link.Session) {
	for {
		select {
		case f := <-out.C():
			if err := m.write(conn, f); err != nil {
				_ = session.Close()
				return
			}
		case <-session.Done():
			return
		}
	}
}

func (m *Member) write(conn *wire.Conn, f *wire.Frame) error {
	m.metrics.messagesOut.Inc(1)
	m.metrics.bytesOut.Inc(int64(proto.Size(f)))
	return conn.Send(f)
}

func (m *Member) read(conn *wire.Conn) (*wire.Frame, error) {
	f, err := conn.Receive()
	if err != nil {
		return nil, err
	}
	m.metrics.messagesIn.Inc(1)
	m.metrics.bytesIn.Inc(int64(proto.Size(f)))
	return f, nil
}
