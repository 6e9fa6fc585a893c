package links

import (
	"context"
	"maps"
	"time"

	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

func (l *Link) versions() *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Versions{Versions: l.objects.Versions()}}
}

func (l *Link) receive(ctx context.Context, now time.Time, in inbound) {
	if in.conn != l.current.Load() {
		return
	}
	if in.frame == nil {
		l.current.Store(nil)
		in.conn.close()
		l.setState(Down)
		l.dial(ctx)
		return
	}
	l.heard = now
	l.peer.Store(&Peer{LastFrameAt: now, Versions: l.Peer().Versions})
	l.handle(in.conn, in.frame)
}

// handle takes a control frame. Slots are not among them: the plan says who
// owns a key slot, and a sidecar that does not own it yet refuses.
func (l *Link) handle(conn *Conn, frame *wire.Frame) {
	switch body := frame.GetBody().(type) {
	case *wire.Frame_Heartbeat:
		conn.heardClock(body.Heartbeat.GetClockUs())
		l.setState(stateOf(body.Heartbeat))
	case *wire.Frame_Load:
		l.report(Report{Load: body.Load})
	case *wire.Frame_CacheEvents:
		l.report(Report{Events: body.CacheEvents})
	case *wire.Frame_Versions:
		// What it does not have by now was lost on its way, and is sent again.
		clear(l.sent)
		l.peer.Store(&Peer{LastFrameAt: l.heard, Versions: body.Versions.GetVersions()})
		l.objects.SetPeerVersions(l.server.Name, body.Versions)
		l.push()
	case *wire.Frame_Object:
		o := body.Object
		l.objects.Offer(sharedstate.Object{Name: o.GetName(), Version: o.GetVersion(), Value: o.GetValue()})
	}
}

// push sends the objects that the sidecar lacks. It does not wait for the
// sidecar's next Versions: a change is to be in force within seconds.
func (l *Link) push() {
	conn := l.current.Load()
	if conn == nil {
		return
	}
	told := l.Peer().Versions
	if told == nil {
		// It has not said yet what it has; its Versions come after its Hello.
		return
	}
	known := maps.Clone(told)
	for name, version := range l.sent {
		known[name] = max(known[name], version)
	}
	for _, o := range l.objects.Newer(&wire.Versions{Versions: known}) {
		conn.send(&wire.Frame{Body: &wire.Frame_Object{Object: o}})
		l.sent[o.GetName()] = o.GetVersion()
	}
}

func stateOf(h *wire.Heartbeat) State {
	if h.GetDraining() {
		return Draining
	}
	return Up
}

func (l *Link) setState(s State) {
	if l.state == s {
		return
	}
	l.state = s
	l.report(Report{})
}

func (l *Link) report(r Report) {
	r.Server, r.State = l.server.Name, l.state
	l.reports.Put(r)
}
