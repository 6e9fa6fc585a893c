// Package logsink writes log lines asynchronously, so that logging never blocks.
//
// Otherwise a slow reader of the process's standard output would delay requests,
// because each write waits for the one before. Lines that do not fit into the
// bounded queue are dropped and counted by the queue's metric.
package logsink

import (
	"bufio"
	"io"

	"pistachioroad.dev/pistachioroad/internal/ring"
)

// maxQueuedLines bounds the queue: about 1 MB, or a few seconds of log lines of a
// busy process.
const maxQueuedLines = 2_048

// Writer is an io.Writer that takes one whole line per call of Write.
type Writer struct {
	lines *ring.Ring[[]byte]
	done  chan struct{}
}

// New returns a Writer that writes to w in its own goroutine, which Close ends.
func New(w io.Writer) *Writer {
	s := &Writer{lines: ring.New[[]byte]("log", maxQueuedLines, ring.Reject), done: make(chan struct{})}
	go s.drain(w)
	return s
}

// Write queues one line, or drops it if the queue is full. It never fails and
// never blocks.
func (s *Writer) Write(line []byte) (int, error) {
	s.lines.Put(append([]byte(nil), line...))
	return len(line), nil
}

// Close writes the queued lines and stops the goroutine.
func (s *Writer) Close() {
	s.lines.Put(nil)
	<-s.done
}

func (s *Writer) drain(w io.Writer) {
	defer close(s.done)
	out := bufio.NewWriter(w)
	for line := range s.lines.C() {
		if line == nil {
			break
		}
		if _, err := out.Write(line); err != nil {
			return
		}
		if s.lines.Len() == 0 && out.Flush() != nil {
			return
		}
	}
	// An error is ignored: there is nowhere to report a failure of the log itself.
	_ = out.Flush()
}
