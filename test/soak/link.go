package soak

import (
	"time"

	"google.golang.org/protobuf/proto"

	"pistachioroad.dev/pistachioroad/internal/link"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// conn is a connection between an entry and a sidecar.
type conn struct {
	sim     *simulation
	entry   *entry
	sidecar *sidecar
	// entryStartID and sidecarStartID identify the starts of the two processes.
	entryStartID, sidecarStartID string
	closed                       bool
	// silentUntil is the time until which frames are held back, as TCP does while
	// packets are lost.
	silentUntil   time.Time
	lastToSidecar time.Time
	lastToEntry   time.Time
	streams       map[uint64]*stream
}

// stream is one attempt, or one Resolve, on a connection.
type stream struct {
	conn *conn
	id   uint64
	// call and attempt are set for an attempt, onResolution for a Resolve.
	call         *entryCall
	attempt      uint32
	onResolution func(*wire.Frame)
}

const (
	minLatency = 300 * time.Microsecond
	maxLatency = 3 * time.Millisecond
)

// arrivalDelay returns the time until a frame sent now arrives, which is never
// before an earlier frame in the same direction.
func (c *conn) arrivalDelay(last *time.Time) time.Duration {
	at := c.sim.now.Add(c.sim.randomDuration(minLatency, maxLatency))
	if at.Before(c.silentUntil) {
		at = c.silentUntil
	}
	if at.Before(*last) {
		at = *last
	}
	*last = at
	return at.Sub(c.sim.now)
}

// sendToSidecar runs f in the sidecar when a frame sent now arrives.
func (c *conn) sendToSidecar(f func()) {
	if c.closed {
		return
	}
	c.sim.runOn(&c.sidecar.process, c.arrivalDelay(&c.lastToSidecar), f)
}

// sendToEntry runs f in the entry when a frame sent now arrives.
func (c *conn) sendToEntry(f func()) {
	if c.closed {
		return
	}
	c.sim.runOn(&c.entry.process, c.arrivalDelay(&c.lastToEntry), f)
}

// silence holds back the frames sent from now on for d. After
// link.SilenceTimeout, more than two missed heartbeats, the entry stops using the
// connection. Frames held back arrive at the end of d; half of the connections are
// then closed.
func (c *conn) silence(d time.Duration) {
	c.silentUntil = c.sim.now.Add(d)
	c.sim.runOn(&c.entry.process, link.SilenceTimeout, func() {
		if c.closed || !c.sim.now.Before(c.silentUntil) {
			return
		}
		c.entry.replaceSilentConn(c)
	})
	if c.sim.chance(0.5) {
		c.sim.after(d, c.cut)
	}
}

// cut closes the connection at both ends. Frames in flight may still be received,
// as from a receive buffer.
func (c *conn) cut() {
	if c.closed {
		return
	}
	c.closed = true
	c.entry.connClosed(c)
	if c.sidecar.startID() == c.sidecarStartID {
		for _, s := range sortedStreams(c.streams) {
			c.sim.runOn(&c.sidecar.process, maxLatency, func() { c.sidecar.streamClosed(s) })
		}
	}
}

// send sends a frame to the entry. With frameFaults, frames are sometimes
// repeated, lost, or delivered to another request, which the network cannot do
// within a stream, but a defect in a process can.
func (s *stream) send(f *wire.Frame) {
	sim := s.conn.sim
	sim.Frames++
	if s.onResolution != nil {
		s.conn.sendToEntry(func() { s.onResolution(f) })
		return
	}
	if sim.frameFaults && sim.chance(0.005) {
		if other := s.conn.entry.randomCall(); other != nil && other != s.call {
			sim.Faults["frame crossed"]++
			s.conn.sendToEntry(func() { other.frameReceived(other.machine.Attempt(), proto.CloneOf(f)) })
			return
		}
	}
	copies := 1
	if sim.frameFaults && sim.chance(0.01) {
		copies = 2 * sim.rng.IntN(2)
		sim.Faults["frame repeated or lost"]++
	}
	for range copies {
		s.conn.sendToEntry(func() { s.call.frameReceived(s.attempt, f) })
	}
}
