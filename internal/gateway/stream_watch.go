package gateway

import (
	"io"
	"time"
)

const (
	// sameEvent is the time within which pieces of an answer count as one event.
	sameEvent = 2 * time.Millisecond
	// watchEvery spaces the times between events that are taken from one stream:
	// engines that make thousands of events a second are known by fewer.
	watchEvery = 100 * time.Millisecond
)

// streamWatch tells when events of a stream come.
type streamWatch struct {
	io.Reader
	// first is called at the first bytes, next with the time between two events.
	first func()
	next  func(gap time.Duration)
	// last is when the last event came, told when one was told last.
	last, told time.Time
	// events counts them.
	events int
}

// Read implements io.Reader.
func (w *streamWatch) Read(p []byte) (int, error) {
	n, err := w.Reader.Read(p)
	if n > 0 {
		w.came(time.Now())
	}
	return n, err
}

func (w *streamWatch) came(now time.Time) {
	if w.last.IsZero() {
		w.first()
		w.last, w.events = now, 1
		return
	}
	gap := now.Sub(w.last)
	if gap < sameEvent {
		return
	}
	w.last = now
	w.events++
	if now.Sub(w.told) < watchEvery {
		return
	}
	w.told = now
	w.next(gap)
}
