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
	// helloTimeout bounds the wait for the other end's Hello.
	helloTimeout = time.Second
	// controlQueue is how many control frames may wait to be sent. Objects
	// are few; a queue that fills up belongs to a silent connection.
	controlQueue = 64
)

// Conn is one connection to a sidecar whose Hello has arrived. Any goroutine
// may use it.
type Conn struct {
	session     *link.Session
	control     *wire.Conn
	outbox      *ring.Ring[*wire.Frame]
	incarnation string

	// clockOffset is the sidecar's clock minus this process's, at most.
	clockOffset atomic.Int64

	silence sync.Once
	silent  chan struct{}
}

// started is the origin of this process's clock.
var started = time.Now()

// clock returns this process's monotonic clock in microseconds, never 0.
func clock() int64 { return time.Since(started).Microseconds() + 1 }

// connect dials address and exchanges Hello.
func connect(ctx context.Context, address string, self *wire.Hello) (*Conn, error) {
	session, err := link.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	self = proto.Clone(self).(*wire.Hello)
	self.ClockUs = clock()
	hello, control, err := exchangeHello(ctx, session, self)
	if err != nil {
		_ = session.Close()
		return nil, err
	}
	conn := &Conn{
		session:     session,
		control:     control,
		outbox:      ring.New[*wire.Frame]("link.control", controlQueue, ring.Reject),
		incarnation: hello.GetIncarnation(),
		silent:      make(chan struct{}),
	}
	conn.clockOffset.Store(math.MinInt64)
	conn.heardClock(hello.GetClockUs())
	return conn, nil
}

// heardClock takes in what the sidecar's clock showed when it sent a frame.
func (c *Conn) heardClock(us int64) {
	if us == 0 {
		return
	}
	offset := us - clock()
	for {
		before := c.clockOffset.Load()
		if offset <= before || c.clockOffset.CompareAndSwap(before, offset) {
			return
		}
	}
}

// PeerClock returns what the sidecar's clock shows now, at most; 0 when that
// is not known.
func (c *Conn) PeerClock() int64 {
	offset := c.clockOffset.Load()
	if offset == math.MinInt64 {
		return 0
	}
	return max(1, clock()+offset)
}

func exchangeHello(ctx context.Context, session *link.Session, self *wire.Hello) (*wire.Hello, *wire.Conn, error) {
	// A process that is paused still accepts connections through its kernel.
	// Closing the session is what ends the wait for its Hello.
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

// Incarnation identifies the start of the sidecar's process.
func (c *Conn) Incarnation() string { return c.incarnation }

// Open opens a stream for an attempt or a Resolve.
func (c *Conn) Open() (*wire.Conn, error) { return c.session.Open() }

// Silent is closed once the connection has been silent for link.SilentAfter or
// has ended.
func (c *Conn) Silent() <-chan struct{} { return c.silent }

func (c *Conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// busy reports whether a stream besides the control stream is open.
func (c *Conn) busy() bool { return c.session.Streams() > 1 }

func (c *Conn) markSilent() { c.silence.Do(func() { close(c.silent) }) }

// close ends the connection and all of its streams.
func (c *Conn) close() {
	c.markSilent()
	_ = c.session.Close()
}

// send queues a control frame. A full queue drops it: heartbeats and versions
// are repeated.
func (c *Conn) send(f *wire.Frame) { c.outbox.Put(f) }

// write sends the queued control frames until the connection ends. It has a
// goroutine of its own because a silent connection blocks the writer.
func (c *Conn) write() {
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

// read passes control frames to inbox until the connection ends, then a nil
// frame.
func (c *Conn) read(ctx context.Context, inbox chan<- inbound) {
	for {
		frame, err := c.control.Receive()
		if err != nil {
			frame = nil
		}
		select {
		case inbox <- inbound{conn: c, frame: frame}:
		case <-ctx.Done():
			return
		}
		if frame == nil {
			return
		}
	}
}

type inbound struct {
	conn *Conn
	// frame is nil when the connection has ended.
	frame *wire.Frame
}
