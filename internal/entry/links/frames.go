package links

import (
	"context"
	"maps"
	"time"

	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

func (l *Link) versionsFrame() *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Versions{Versions: l.objects.Versions()}}
}

func (l *Link) handleInbound(ctx context.Context, now time.Time, in inboundFrame) {
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
	l.lastFrameAt = now
	l.peer.Store(&Peer{LastFrameAt: now, Versions: l.Peer().Versions})
	l.handleFrame(in.conn, in.frame)
}

// handleFrame processes a control frame. There is none for key slots: the plan
// assigns their owners, and a sidecar rejects requests for a slot that it does not
// own yet.
func (l *Link) handleFrame(conn *Conn, frame *wire.Frame) {
	switch body := frame.GetBody().(type) {
	case *wire.Frame_Heartbeat:
		conn.observePeerClock(body.Heartbeat.GetClockUs())
		l.setState(stateOf(body.Heartbeat))
	case *wire.Frame_Load:
		l.report(Report{Load: body.Load})
	case *wire.Frame_CacheEvents:
		l.report(Report{Events: body.CacheEvents})
	case *wire.Frame_Versions:
		// Objects that it still lacks were lost in transit and are sent again.
		clear(l.sentVersions)
		l.peer.Store(&Peer{LastFrameAt: l.lastFrameAt, Versions: body.Versions.GetVersions()})
		l.objects.SetPeerVersions(l.server.Name, body.Versions)
		l.pushObjects()
	case *wire.Frame_Object:
		o := body.Object
		l.objects.Offer(sharedstate.Object{Name: o.GetName(), Version: o.GetVersion(), Value: o.GetValue()})
	}
}

// pushObjects sends the objects that the sidecar lacks. It does not wait for the
// sidecar's next Versions, because a change has to be active within seconds.
func (l *Link) pushObjects() {
	conn := l.current.Load()
	if conn == nil {
		return
	}
	reported := l.Peer().Versions
	if reported == nil {
		// The sidecar sends its first Versions after its Hello.
		return
	}
	known := maps.Clone(reported)
	for name, version := range l.sentVersions {
		known[name] = max(known[name], version)
	}
	for _, o := range l.objects.Newer(&wire.Versions{Versions: known}) {
		conn.send(&wire.Frame{Body: &wire.Frame_Object{Object: o}})
		l.sentVersions[o.GetName()] = o.GetVersion()
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
