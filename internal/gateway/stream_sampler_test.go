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

// lateReader returns one byte for each read, after a pause that begins before the read if the
// caller blocked.
type lateReader struct{ waited time.Duration }

func (r lateReader) Read(p []byte) (int, error) {
	time.Sleep(r.waited)
	p[0] = 'x'
	return 1, nil
}

// Guards against learning the slowness of a caller as that of an engine: while the caller
// blocks, nobody notices that events arrive.
func TestIntervalsInWhichNobodyReadsAreNoSamples(t *testing.T) {
	for _, blocked := range []time.Duration{0, 150 * time.Millisecond} {
		samples := 0
		s := &streamSampler{Reader: lateReader{waited: 150*time.Millisecond - blocked}, onFirst: func() {}, onInterval: func(time.Duration) { samples++ }}
		for range 3 {
			_, _ = s.Read(make([]byte, 1))
			time.Sleep(blocked)
		}
		if s.events != 3 || (samples > 0) != (blocked == 0) {
			t.Errorf("blocked for %v: %d events, %d samples", blocked, s.events, samples)
		}
	}
}
