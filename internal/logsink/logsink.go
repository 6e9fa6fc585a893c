// Package logsink writes log lines asynchronously, so that logging never blocks.
//
// Otherwise a slow reader of the process's standard output would delay requests,
// because each write waits for the one before. Lines that do not fit into the
// bounded queue are dropped and counted by the queue's metric.
package logsink

import (
	"bufio"
	"io"
	"time"

	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/ring"
)

// maxQueuedLines bounds the queue: about 1 MB, or a few seconds of log lines of a
// busy process.
const maxQueuedLines = 2_048

var failures = metrics.GetOrRegisterCounter("log.writes_failed", nil)

// closeTimeout limits the time to write what is queued when the process ends.
const closeTimeout = 300 * time.Millisecond

// Writer is an io.Writer that takes one whole line per call of Write.
type Writer struct {
	lines *ring.Ring[[]byte]
	// closing is closed when the queued lines are to be written, and done after that.
	closing, done chan struct{}
}

// New returns a Writer that writes to w in its own goroutine, which Close ends.
func New(w io.Writer) *Writer {
	s := &Writer{
		lines: ring.New[[]byte]("log", maxQueuedLines, ring.Reject), closing: make(chan struct{}), done: make(chan struct{}),
	}
	go s.drain(w)
	return s
}

// Write queues one line, or drops it if the queue is full. It never fails and
// never blocks.
func (s *Writer) Write(line []byte) (int, error) {
	s.lines.Put(append([]byte(nil), line...))
	return len(line), nil
}

// Close writes the queued lines and stops the goroutine. If that takes longer than closeTimeout,
// because nobody reads the output, it leaves the rest.
func (s *Writer) Close() {
	close(s.closing)
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}

func (s *Writer) drain(w io.Writer) {
	defer close(s.done)
	out := bufio.NewWriter(w)
	for {
		select {
		case line := <-s.lines.C():
			s.write(out, w, line)
		case <-s.closing:
			for s.lines.Len() > 0 {
				s.write(out, w, <-s.lines.C())
			}
			return
		}
	}
}

// write writes a line, at the latest once no further one is queued. What cannot be written is
// dropped and counted, since the next write may succeed.
func (s *Writer) write(out *bufio.Writer, w io.Writer, line []byte) {
	_, err := out.Write(line)
	if err == nil && s.lines.Len() == 0 {
		err = out.Flush()
	}
	if err != nil {
		failures.Inc(1)
		out.Reset(w)
	}
}
