package peers

import (
	"testing"
	"time"
)

// A gateway stands still for three seconds while others go on telling it that
// the configuration is the newest. Then it takes in what waited in its socket,
// oldest first. Each of these was fresh when it was sent; believed to be so now,
// routes that were added meanwhile are denied.
func TestDatagramsThatWaitedShowTheirDelay(t *testing.T) {
	d := newDelays()
	const ahead = 7 * time.Hour // The sender's VM runs for longer.
	if got := d.of(1, ahead, 5*time.Millisecond); got != 0 {
		t.Errorf("first datagram: delay %v", got)
	}
	if got := d.of(1, ahead+time.Second, time.Second+2*time.Millisecond); got != 0 {
		t.Errorf("a faster one: delay %v", got)
	}
	for n := range 3 {
		sent := time.Duration(n+2) * time.Second
		want := 5*time.Second - sent
		if got := d.of(1, ahead+sent, 5*time.Second+2*time.Millisecond); got != want {
			t.Errorf("sent at %v, taken in at 5 s: delay %v, want %v", sent, got, want)
		}
	}
}

// A gateway's VM restarts, and its clock begins anew. Measured by its earlier
// start, all it says would seem hours old and nobody would believe it again.
func TestEachStartOfASenderHasItsOwnClock(t *testing.T) {
	d := newDelays()
	d.of(1, 7*time.Hour, time.Second)
	if got := d.of(2, time.Second, 2*time.Second); got != 0 {
		t.Errorf("first datagram of a new start: delay %v", got)
	}
}

func TestDelaysForgetSendersThatAreSilent(t *testing.T) {
	d := newDelays()
	for start := range uint64(1_000) {
		d.of(start+1, 0, time.Duration(start))
	}
	if len(d.least) > maxTimed {
		t.Errorf("%d senders are kept, want %d at most", len(d.least), maxTimed)
	}
	if _, ok := d.least[1_000]; !ok {
		t.Error("the last sender is forgotten")
	}
}
