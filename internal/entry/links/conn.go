package links

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"pistachioroad.dev/pistachioroad/internal/link"
	"pistachioroad.dev/pistachioroad/internal/ring"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	// helloTimeout bounds the wait for the sidecar's Hello.
	helloTimeout = time.Second
	// controlQueueSize bounds the queue of outgoing control frames. There are few
	// objects, so the queue fills up only on a silent connection.
	controlQueueSize = 64
)

// Conn is a connection to a sidecar on which the Hello exchange has completed.
// It is safe for concurrent use.
type Conn struct {
	session     *link.Session
	control     *wire.Conn
	outbox      *ring.Ring[*wire.Frame]
	incarnation string

	// clockOffset is the largest lower bound seen of the sidecar's clock minus
	// this process's, in microseconds; math.MinInt64 until one is known.
	clockOffset atomic.Int64

	silentOnce sync.Once
	silent     chan struct{}
}

// clockOrigin is the origin of this process's clock.
var clockOrigin = time.Now()

// clockMicros returns this process's monotonic clock in microseconds. It is never
// 0, which means "not set" on the wire.
func clockMicros() int64 { return time.Since(clockOrigin).Microseconds() + 1 }

// connect dials address and exchanges Hello.
func connect(ctx context.Context, address string, self *wire.Hello) (*Conn, error) {
	session, err := link.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	self = proto.Clone(self).(*wire.Hello)
	self.ClockUs = clockMicros()
	hello, control, err := exchangeHello(ctx, session, self)
	if err != nil {
		_ = session.Close()
		return nil, err
	}
	conn := &Conn{
		session:     session,
		control:     control,
		outbox:      ring.New[*wire.Frame]("link.control", controlQueueSize, ring.Reject),
		incarnation: hello.GetIncarnation(),
		silent:      make(chan struct{}),
	}
	conn.clockOffset.Store(math.MinInt64)
	conn.observePeerClock(hello.GetClockUs())
	return conn, nil
}

// observePeerClock updates clockOffset with the sidecar's clock at the time it
// sent a frame. The network latency makes the difference to the local clock a
// lower bound.
func (c *Conn) observePeerClock(us int64) {
	if us == 0 {
		return
	}
	offset := us - clockMicros()
	for {
		before := c.clockOffset.Load()
		if offset <= before || c.clockOffset.CompareAndSwap(before, offset) {
			return
		}
	}
}

// PeerClock returns a lower bound of the sidecar's current clock in microseconds,
// or 0 if it is not known.
func (c *Conn) PeerClock() int64 {
	offset := c.clockOffset.Load()
	if offset == math.MinInt64 {
		return 0
	}
	return max(1, clockMicros()+offset)
}

func exchangeHello(ctx context.Context, session *link.Session, self *wire.Hello) (*wire.Hello, *wire.Conn, error) {
	// The kernel of a paused process still accepts connections. Closing the
	// session on timeout unblocks the wait for its Hello.
	timeout, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	stop := context.AfterFunc(timeout, func() { _ = session.Close() })
	defer stop()

	control, err := session.Open()
	if err != nil {
		return nil, nil, err
	}
	if err := control.Send(&wire.Frame{Body: &wire.Frame_Hello{Hello: self}}); err != nil {
		return nil, nil, err
	}
	frame, err := control.Receive()
	if err != nil {
		return nil, nil, eris.Wrap(err, "receive hello")
	}
	if frame.GetHello() == nil {
		return nil, nil, eris.New("first frame of the sidecar is not hello")
	}
	return frame.GetHello(), control, nil
}

// Incarnation returns the id of the sidecar's process start. It changes with each
// restart.
func (c *Conn) Incarnation() string { return c.incarnation }

// Open opens a stream for an attempt or a Resolve.
func (c *Conn) Open() (*wire.Conn, error) { return c.session.Open() }

// Silent returns a channel that is closed once no frame has arrived for
// link.SilenceTimeout, or the connection has been replaced or closed.
func (c *Conn) Silent() <-chan struct{} { return c.silent }

func (c *Conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// hasOpenStreams reports whether a stream other than the control stream is open.
func (c *Conn) hasOpenStreams() bool { return c.session.Streams() > 1 }

func (c *Conn) markSilent() { c.silentOnce.Do(func() { close(c.silent) }) }

// close closes the connection and all of its streams.
func (c *Conn) close() {
	c.markSilent()
	_ = c.session.Close()
}

// send queues a control frame. If the queue is full the frame is dropped:
// heartbeats and versions are sent again periodically.
func (c *Conn) send(f *wire.Frame) { c.outbox.Put(f) }

// writeLoop sends the queued control frames until the connection ends. It runs in
// its own goroutine because a write to a silent connection may block.
func (c *Conn) writeLoop() {
	for {
		select {
		case <-c.session.Done():
			return
		case f := <-c.outbox.C():
			if c.control.Send(f) != nil {
				return
			}
		}
	}
}

// readLoop passes received control frames to inbox until the connection ends, and
// then a nil frame.
func (c *Conn) readLoop(ctx context.Context, inbox chan<- inboundFrame) {
	for {
		frame, err := c.control.Receive()
		if err != nil {
			frame = nil
		}
		select {
		case inbox <- inboundFrame{conn: c, frame: frame}:
		case <-ctx.Done():
			return
		}
		if frame == nil {
			return
		}
	}
}

// inboundFrame is a control frame received on conn.
type inboundFrame struct {
	conn *Conn
	// frame is nil when the connection has ended.
	frame *wire.Frame
}
