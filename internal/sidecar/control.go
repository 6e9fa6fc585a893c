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
	// controlQueue is how many control frames may wait for one entry. An entry
	// that takes fewer has stalled, and its connection is closed.
	controlQueue = 256
	// versionsEvery is how many heartbeats pass between two Versions.
	versionsEvery = 5
)

// The messages to the control duty.
type (
	peerJoined struct{ peer *peer }
	peerLeft   struct{ peer *peer }
	peerFrame  struct {
		peer  *peer
		frame *wire.Frame
	}
	// broadcast goes to all entries; the newest load and slots also to those
	// that join later.
	broadcast   struct{ frame *wire.Frame }
	drainingSet struct{ draining bool }
	controlAsk  struct{ reply chan controlDump }
)

// peer is an entry on its control stream.
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

// controlDuty exchanges heartbeats, reports and objects with the entries.
type controlDuty struct {
	inbox  *ring.Ring[any]
	loads  *ring.Ring[*wire.Load]
	member *member.Member
	hello  *wire.Hello

	// The rest belongs to Serve.
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

// setLoad gives the newest load.
func (d *controlDuty) setLoad(load *wire.Load) { d.loads.Put(load) }

// announce sends a frame to all entries. A full inbox drops it: what it tells
// is told again.
func (d *controlDuty) announce(f *wire.Frame) { d.inbox.Put(broadcast{frame: f}) }

// setDraining tells the entries whether this backend server is leaving.
func (d *controlDuty) setDraining(ctx context.Context, draining bool) {
	_ = d.inbox.PutWait(ctx, drainingSet{draining: draining})
}

// serve serves the control stream of an entry until it ends.
func (d *controlDuty) serve(ctx context.Context, s *session, conn *wire.Conn, hello *wire.Hello) {
	p := &peer{
		process: hello.GetProcess(),
		session: s,
		outbox:  ring.New[*wire.Frame]("control.peer", controlQueue, ring.Reject),
	}
	ended := make(chan struct{})
	defer close(ended)
	go p.write(conn, ended)
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

// write sends the control frames of one entry. A connection that cannot take
// them is of no use for work either.
func (p *peer) write(conn *wire.Conn, ended <-chan struct{}) {
	for {
		select {
		case f := <-p.outbox.C():
			if conn.Send(f) != nil {
				_ = p.session.Close()
				return
			}
		case <-ended:
			return
		}
	}
}

// Serve runs the control streams until ctx ends.
func (d *controlDuty) Serve(ctx context.Context) error {
	ticker := time.NewTicker(link.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-d.inbox.C():
			d.take(time.Now(), m)
		case load := <-d.loads.C():
			d.newLoad(load)
		case <-ticker.C:
			d.beat()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *controlDuty) take(now time.Time, m any) {
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
		d.toAll(m.frame)
	case drainingSet:
		d.draining = m.draining
		d.beat()
	case controlAsk:
		m.reply <- d.dump()
	}
}

// join greets an entry with all that it needs to route to this sidecar.
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

// newLoad sends the load if it says something new.
func (d *controlDuty) newLoad(load *wire.Load) {
	load.Sequence = d.load.GetSequence()
	if proto.Equal(load, d.load) {
		return
	}
	load.Sequence++
	d.load = load
	d.toAll(loadFrame(load))
}

// beat sends a heartbeat, the load and, now and then, the versions in force: a peer that
// missed a change asks for it.
func (d *controlDuty) beat() {
	d.sequence++
	d.toAll(d.heartbeat())
	d.toAll(loadFrame(d.load))
	if d.sequence%versionsEvery == 0 {
		d.toAll(d.versions())
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

func (d *controlDuty) toAll(f *wire.Frame) {
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
	// Since is when its control stream began.
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
	return ask(ctx, d.inbox, func(reply chan controlDump) any { return controlAsk{reply: reply} })
}
