package gateway

import (
	"testing"
	"time"
)

// Guards against overestimating an engine's speed: one event arrives in two reads and
// counts as two events.
func TestPiecesOfAnEventCountOnce(t *testing.T) {
	var intervals []time.Duration
	firsts := 0
	s := &streamSampler{onFirst: func() { firsts++ }, onInterval: func(interval time.Duration) { intervals = append(intervals, interval) }}
	begin := time.Unix(1_000, 0)
	for _, ms := range []int{0, 1, 150, 151, 300} {
		s.observe(begin.Add(time.Duration(ms) * time.Millisecond))
	}
	if firsts != 1 || s.events != 3 {
		t.Errorf("%d first events and %d in all, want 1 and 3", firsts, s.events)
	}
	if len(intervals) != 2 || intervals[0] != 150*time.Millisecond || intervals[1] != 150*time.Millisecond {
		t.Errorf("inter-event times %v, want 150ms twice", intervals)
	}
}

// Guards against sampling each of a thousand events a second of one engine. On a small
// VM, that would take CPU time away from callers' requests.
func TestFastStreamsAreSampled(t *testing.T) {
	samples := 0
	s := &streamSampler{onFirst: func() {}, onInterval: func(time.Duration) { samples++ }}
	begin := time.Unix(1_000, 0)
	for ms := range 1_000 {
		s.observe(begin.Add(time.Duration(ms) * time.Millisecond))
	}
	if limit := int(time.Second/sampleInterval) + 1; samples > limit {
		t.Errorf("%d samples in a second, want at most %d", samples, limit)
	}
}
