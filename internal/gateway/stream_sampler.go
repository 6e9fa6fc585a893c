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
	// maxAwayFraction limits the part of an interval that was not spent reading, for a sample:
	// the caller may have blocked, and the interval says nothing about the engine.
	maxAwayFraction = 2
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
	// away is the time since the last event that was not spent reading, and returnedAt when
	// the last read returned. Events that arrive while nobody reads are noticed late.
	away       time.Duration
	returnedAt time.Time
}

// Read implements io.Reader.
func (s *streamSampler) Read(p []byte) (int, error) {
	if !s.returnedAt.IsZero() {
		s.away += time.Since(s.returnedAt)
	}
	n, err := s.Reader.Read(p)
	s.returnedAt = time.Now()
	if n > 0 {
		s.observe(s.returnedAt)
	}
	return n, err
}

// observe records that data arrived.
func (s *streamSampler) observe(now time.Time) {
	if s.lastEventAt.IsZero() {
		s.onFirst()
		s.lastEventAt, s.events, s.away = now, 1, 0
		return
	}
	interval := now.Sub(s.lastEventAt)
	if interval < sameEventWindow {
		return
	}
	away := s.away
	s.lastEventAt, s.away = now, 0
	s.events++
	if now.Sub(s.lastSampleAt) < sampleInterval || away > interval/maxAwayFraction {
		return
	}
	s.lastSampleAt = now
	s.onInterval(interval)
}
