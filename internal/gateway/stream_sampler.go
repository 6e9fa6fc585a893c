package gateway

import (
	"io"
	"time"
)

const (
	// sameEventWindow is the time within which several reads count as one event.
	sameEventWindow = 2 * time.Millisecond
	// sampleInterval is the minimum time between two samples of the inter-event time
	// of one stream. Fewer samples suffice for engines with thousands of events a second.
	sampleInterval = 100 * time.Millisecond
)

// streamSampler samples the times between the events of the stream that it reads.
type streamSampler struct {
	io.Reader
	// onFirst is called at the first data, onInterval with the time between two
	// consecutive events.
	onFirst    func()
	onInterval func(interval time.Duration)
	// lastEventAt is when the last event began, lastSampleAt when onInterval was
	// last called.
	lastEventAt, lastSampleAt time.Time
	// events counts the events of the stream.
	events int
}

// Read implements io.Reader.
func (s *streamSampler) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if n > 0 {
		s.observe(time.Now())
	}
	return n, err
}

// observe records that data arrived.
func (s *streamSampler) observe(now time.Time) {
	if s.lastEventAt.IsZero() {
		s.onFirst()
		s.lastEventAt, s.events = now, 1
		return
	}
	interval := now.Sub(s.lastEventAt)
	if interval < sameEventWindow {
		return
	}
	s.lastEventAt = now
	s.events++
	if now.Sub(s.lastSampleAt) < sampleInterval {
		return
	}
	s.lastSampleAt = now
	s.onInterval(interval)
}
