package gateway

import (
	"testing"
	"time"
)

// An event comes in two pieces, and the engine makes the next one long after.
// Taken for two events, the engine would seem many times as fast as it is.
func TestPiecesOfAnEventCountOnce(t *testing.T) {
	var gaps []time.Duration
	firsts := 0
	w := &streamWatch{first: func() { firsts++ }, next: func(gap time.Duration) { gaps = append(gaps, gap) }}
	begin := time.Unix(1_000, 0)
	for _, ms := range []int{0, 1, 150, 151, 300} {
		w.came(begin.Add(time.Duration(ms) * time.Millisecond))
	}
	if firsts != 1 || w.events != 3 {
		t.Errorf("%d first events and %d in all, want 1 and 3", firsts, w.events)
	}
	if len(gaps) != 2 || gaps[0] != 150*time.Millisecond || gaps[1] != 150*time.Millisecond {
		t.Errorf("times between events %v, want twice 150ms", gaps)
	}
}

// An engine makes a thousand events a second. Learning from each would take a
// small VM's processor from callers.
func TestFastStreamsTeachNowAndThen(t *testing.T) {
	told := 0
	w := &streamWatch{first: func() {}, next: func(time.Duration) { told++ }}
	begin := time.Unix(1_000, 0)
	for ms := range 1_000 {
		w.came(begin.Add(time.Duration(ms) * time.Millisecond))
	}
	if most := int(time.Second/watchEvery) + 1; told > most {
		t.Errorf("told %d times in a second, want %d at most", told, most)
	}
}
