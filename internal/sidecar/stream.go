package sidecar

import (
	"pistachioroad.dev/pistachioroad/internal/ring"
	"pistachioroad.dev/pistachioroad/internal/sidecar/requests"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// streamOutboxSize is the maximum number of frames queued on a stream, beyond its
// flow-control window: twice the chunks of the largest answer of a plain service.
// If it is exceeded, the entry has stalled and its stream is closed; the entry
// can send a Resolve for the outcome.
const streamOutboxSize = 2 * maxAnswerBytes / answerChunkBytes

// stream is the stream of one attempt or Resolve. A separate goroutine sends its
// frames, because an unresponsive connection blocks the sender and must not delay
// other streams.
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
		outbox: ring.New[requests.Send]("stream", streamOutboxSize, ring.Reject),
		done:   make(chan struct{}),
	}
}

// send queues a frame without blocking. It closes the stream if the queue is
// full.
func (s *stream) send(e requests.Send) {
	if !s.outbox.Put(e) {
		_ = s.conn.Close()
	}
}

// write sends queued frames until the last one is sent, sending fails or end is
// closed.
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
