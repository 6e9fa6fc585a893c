package sidecar

import (
	"pistachioroad.dev/pistachioroad/internal/ring"
	"pistachioroad.dev/pistachioroad/internal/sidecar/requests"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// streamQueue is how many frames may wait to be sent on a stream, beyond what
// its window holds: twice the pieces of the largest answer of a plain service.
// An entry that takes fewer has stalled; its stream ends, and it can ask for
// the outcome.
const streamQueue = 2 * maxAnswer / answerPiece

// stream is one stream of an attempt or a Resolve. Its frames are sent by a
// goroutine of its own, because a silent connection blocks the sender and must
// not hold up other streams.
type stream struct {
	number requests.Stream
	conn   *wire.Conn
	outbox *ring.Ring[requests.Send]
	done   chan struct{}
}

func newStream(number requests.Stream, conn *wire.Conn) *stream {
	return &stream{
		number: number,
		conn:   conn,
		outbox: ring.New[requests.Send]("stream", streamQueue, ring.Reject),
		done:   make(chan struct{}),
	}
}

// send queues a frame. It never blocks; on a stream that stalls it ends it.
func (s *stream) send(e requests.Send) {
	if !s.outbox.Put(e) {
		_ = s.conn.Close()
	}
}

// write sends the queued frames up to the last one, or until end is closed.
func (s *stream) write(end <-chan struct{}) {
	defer close(s.done)
	defer s.conn.Close()
	for {
		select {
		case e := <-s.outbox.C():
			if s.conn.Send(e.Frame) != nil || e.Last {
				return
			}
		case <-end:
			return
		}
	}
}
