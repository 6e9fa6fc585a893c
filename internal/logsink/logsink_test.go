package logsink_test

import (
	"errors"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/logsink"
)

// output is a destination whose writes wait until it is released, and fail as often as failures.
type output struct {
	released chan struct{}
	mu       sync.Mutex
	written  strings.Builder
	failures int
}

func (o *output) Write(p []byte) (int, error) {
	<-o.released
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failures > 0 {
		o.failures--
		return 0, errors.New("no space left")
	}
	return o.written.Write(p)
}

func (o *output) lines() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Split(o.written.String(), "\n")
}

// fill queues more lines than the queue holds.
func fill(s *logsink.Writer) {
	for range 10_000 {
		_, _ = io.WriteString(s, "line\n")
	}
}

// closed reports whether Close returns within 5 s.
func closed(s *logsink.Writer) bool {
	done := make(chan struct{})
	go func() {
		s.Close()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-time.After(5 * time.Second):
		return false
	}
}

// Guards against a process that does not end because its log was full when it was to end.
func TestCloseWritesAFullQueueAndReturns(t *testing.T) {
	o := &output{released: make(chan struct{})}
	s := logsink.New(o)
	fill(s)
	time.AfterFunc(50*time.Millisecond, func() { close(o.released) })
	if !closed(s) {
		t.Fatal("Close does not return")
	}
	if n := len(o.lines()); n < 2_048 {
		t.Errorf("%d lines written", n)
	}
}

// Guards against a process that does not end because nobody reads its log.
func TestCloseReturnsIfNothingCanBeWritten(t *testing.T) {
	o := &output{released: make(chan struct{})}
	defer close(o.released)
	s := logsink.New(o)
	fill(s)
	if !closed(s) {
		t.Fatal("Close does not return")
	}
}

// Guards against a log that ends for ever at the first failed write.
func TestLinesAfterAFailedWriteAreWritten(t *testing.T) {
	o := &output{released: make(chan struct{}), failures: 1}
	close(o.released)
	s := logsink.New(o)
	_, _ = io.WriteString(s, "lost\n")
	time.Sleep(50 * time.Millisecond)
	_, _ = io.WriteString(s, "kept\n")
	if !closed(s) {
		t.Fatal("Close does not return")
	}
	if !slices.Contains(o.lines(), "kept") {
		t.Errorf("written: %q", o.lines())
	}
}
