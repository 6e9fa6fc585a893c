package sidecar

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"pistachioroad.dev/pistachioroad/internal/daemon"
	"pistachioroad.dev/pistachioroad/internal/link"
	"pistachioroad.dev/pistachioroad/internal/member"
	"pistachioroad.dev/pistachioroad/internal/ring"
	"pistachioroad.dev/pistachioroad/internal/settings"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	controlInbox = 1024
	// controlOutboxSize is the maximum number of control frames queued for one
	// entry. If it is exceeded, the entry has stalled and its connection is
	// closed.
	controlOutboxSize = 256
	// heartbeatsPerVersions is the number of heartbeats per Versions frame.
	heartbeatsPerVersions = 5
)

// Messages to the control duty.
type (
	peerJoined struct{ peer *peer }
	peerLeft   struct{ peer *peer }
	peerFrame  struct {
		peer  *peer
		frame *wire.Frame
	}
	// broadcast is sent to all entries. The latest slots are also sent to those
	// that join later.
	broadcast    struct{ frame *wire.Frame }
	drainingSet  struct{ draining bool }
	controlQuery struct{ reply chan controlDump }
)

// peer is a connected entry with its control stream.
type peer struct {
	process string
	session *session
	outbox  *ring.Ring[*wire.Frame]
}

func (p *peer) send(f *wire.Frame) {
	if !p.outbox.Put(f) {
		_ = p.session.Close()
	}
}

// controlDuty exchanges heartbeats, loads, cache events and objects with entries.
type controlDuty struct {
	inbox  *ring.Ring[any]
	loads  *ring.Ring[*wire.Load]
	member *member.Member
	hello  *wire.Hello

	// The fields below are used by Serve only.
	peers    map[*peer]time.Time
	sequence uint64
	draining bool
	load     *wire.Load
	slots    *wire.Frame
}

func newControl(i do.Injector) (*controlDuty, error) {
	s := do.MustInvoke[settings.Settings](i)
	return &controlDuty{
		inbox:  ring.New[any]("control", controlInbox, ring.Reject),
		loads:  ring.New[*wire.Load]("control.load", 1, ring.DropOldest),
		member: do.MustInvoke[*member.Member](i),
		hello: &wire.Hello{
			Process:       s.Process.Name,
			Incarnation:   do.MustInvoke[daemon.Incarnation](i).String(),
			BackendServer: s.Process.Name,
			DataCentre:    s.Process.DataCentre,
		},
		peers: map[*peer]time.Time{},
		load:  &wire.Load{},
	}, nil
}

// String names the duty.
func (d *controlDuty) String() string { return "control" }

// setLoad sets the latest load, replacing one that is not sent yet.
func (d *controlDuty) setLoad(load *wire.Load) { d.loads.Put(load) }

// announce sends a frame to all entries, unless the inbox is full. Versions are
// sent again periodically, and a missing cache event shows as a gap.
func (d *controlDuty) announce(f *wire.Frame) { d.inbox.Put(broadcast{frame: f}) }

// setDraining announces whether this backend server is draining.
func (d *controlDuty) setDraining(ctx context.Context, draining bool) {
	_ = d.inbox.PutWait(ctx, drainingSet{draining: draining})
}

// serve handles the control stream of an entry until it is closed.
func (d *controlDuty) serve(ctx context.Context, s *session, conn *wire.Conn, hello *wire.Hello) {
	p := &peer{
		process: hello.GetProcess(),
		session: s,
		outbox:  ring.New[*wire.Frame]("control.peer", controlOutboxSize, ring.Reject),
	}
	closed := make(chan struct{})
	defer close(closed)
	go p.write(conn, closed)
	if d.inbox.PutWait(ctx, peerJoined{peer: p}) != nil {
		return
	}
	for {
		frame, err := s.receive(conn)
		if err != nil {
			break
		}
		if d.inbox.PutWait(ctx, peerFrame{peer: p, frame: frame}) != nil {
			break
		}
	}
	_ = d.inbox.PutWait(ctx, peerLeft{peer: p})
}

// write sends the queued control frames to the entry. If sending fails, it closes
// the whole connection, which cannot carry requests either.
func (p *peer) write(conn *wire.Conn, closed <-chan struct{}) {
	for {
		select {
		case f := <-p.outbox.C():
			if conn.Send(f) != nil {
				_ = p.session.Close()
				return
			}
		case <-closed:
			return
		}
	}
}

// Serve runs the duty until ctx is done.
func (d *controlDuty) Serve(ctx context.Context) error {
	ticker := time.NewTicker(link.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-d.inbox.C():
			d.handle(time.Now(), m)
		case load := <-d.loads.C():
			d.publishLoad(load)
		case <-ticker.C:
			d.sendHeartbeat()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *controlDuty) handle(now time.Time, m any) {
	switch m := m.(type) {
	case peerJoined:
		d.join(now, m.peer)
	case peerLeft:
		delete(d.peers, m.peer)
	case peerFrame:
		d.receive(m.peer, m.frame)
	case broadcast:
		if m.frame.GetSlots() != nil {
			d.slots = m.frame
		}
		d.sendToAll(m.frame)
	case drainingSet:
		d.draining = m.draining
		d.sendHeartbeat()
	case controlQuery:
		m.reply <- d.dump()
	}
}

// join sends an entry all that it needs to route to this sidecar.
func (d *controlDuty) join(now time.Time, p *peer) {
	d.peers[p] = now
	hello := &wire.Hello{
		Process:       d.hello.GetProcess(),
		Incarnation:   d.hello.GetIncarnation(),
		BackendServer: d.hello.GetBackendServer(),
		DataCentre:    d.hello.GetDataCentre(),
		ClockUs:       clock().Microseconds(),
	}
	p.send(&wire.Frame{Body: &wire.Frame_Hello{Hello: hello}})
	p.send(d.heartbeat())
	p.send(loadFrame(d.load))
	p.send(d.versions())
	if d.slots != nil {
		p.send(d.slots)
	}
}

func (d *controlDuty) receive(p *peer, f *wire.Frame) {
	switch body := f.GetBody().(type) {
	case *wire.Frame_Versions:
		d.member.SetPeerVersions(p.process, body.Versions)
		for _, o := range d.member.Snapshot().Newer(body.Versions) {
			p.send(&wire.Frame{Body: &wire.Frame_Object{Object: o}})
		}
	case *wire.Frame_Object:
		o := body.Object
		d.member.Offer(sharedstate.Object{Name: o.GetName(), Version: o.GetVersion(), Value: o.GetValue()})
	}
}

// publishLoad sends the load to all entries if it has changed.
func (d *controlDuty) publishLoad(load *wire.Load) {
	load.Sequence = d.load.GetSequence()
	if proto.Equal(load, d.load) {
		return
	}
	load.Sequence++
	d.load = load
	d.sendToAll(loadFrame(load))
}

// sendHeartbeat sends a heartbeat, the load and, periodically, the active object
// versions, from which a peer detects changes that it missed.
func (d *controlDuty) sendHeartbeat() {
	d.sequence++
	d.sendToAll(d.heartbeat())
	d.sendToAll(loadFrame(d.load))
	if d.sequence%heartbeatsPerVersions == 0 {
		d.sendToAll(d.versions())
	}
}

func (d *controlDuty) heartbeat() *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{
		Sequence: d.sequence,
		Draining: d.draining,
		ClockUs:  clock().Microseconds(),
	}}}
}

func (d *controlDuty) versions() *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Versions{Versions: d.member.Snapshot().Versions()}}
}

func (d *controlDuty) sendToAll(f *wire.Frame) {
	for p := range d.peers {
		p.send(f)
	}
}

// controlDump is the state of the duty for operators.
type controlDump struct {
	Draining bool              `json:"draining"`
	Peers    []peerDump        `json:"peers"`
	Versions map[string]uint64 `json:"versions"`
}

type peerDump struct {
	Process string `json:"process"`
	// Since is when its control stream was opened.
	Since  time.Time `json:"since"`
	Queued int       `json:"queued"`
}

func (d *controlDuty) dump() controlDump {
	dump := controlDump{Draining: d.draining, Versions: d.member.Snapshot().Versions().GetVersions()}
	dump.Peers = lo.Map(slices.Collect(maps.Keys(d.peers)), func(p *peer, _ int) peerDump {
		return peerDump{Process: p.process, Since: d.peers[p], Queued: p.outbox.Len()}
	})
	slices.SortFunc(dump.Peers, func(a, b peerDump) int { return cmp.Compare(a.Process, b.Process) })
	return dump
}

// Dump returns the state of the duty.
func (d *controlDuty) Dump(ctx context.Context) any {
	return query(ctx, d.inbox, func(reply chan controlDump) any { return controlQuery{reply: reply} })
}
