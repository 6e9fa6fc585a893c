package peers

import (
	"testing"
	"time"
)

// Guards against denying routes that were added recently: a gateway is suspended for
// three seconds while others confirm the configuration, and then handles the datagrams
// queued in its socket as if they were recent.
func TestDatagramsThatWaitedShowTheirDelay(t *testing.T) {
	d := newDelayEstimator()
	const ahead = 7 * time.Hour // The sender's VM has been running for longer.
	if got := d.estimate(1, ahead, 5*time.Millisecond); got != 0 {
		t.Errorf("first datagram: delay %v", got)
	}
	if got := d.estimate(1, ahead+time.Second, time.Second+2*time.Millisecond); got != 0 {
		t.Errorf("datagram with less latency: delay %v", got)
	}
	for n := range 3 {
		sent := time.Duration(n+2) * time.Second
		want := 5*time.Second - sent
		if got := d.estimate(1, ahead+sent, 5*time.Second+2*time.Millisecond); got != want {
			t.Errorf("sent at %v, received at 5 s: delay %v, want %v", sent, got, want)
		}
	}
}

// Guards against ignoring a gateway after its VM has restarted: its clock starts again,
// and compared with the earlier start its datagrams would seem hours old.
func TestEachStartOfASenderHasItsOwnClock(t *testing.T) {
	d := newDelayEstimator()
	d.estimate(1, 7*time.Hour, time.Second)
	if got := d.estimate(2, time.Second, 2*time.Second); got != 0 {
		t.Errorf("first datagram of a new start: delay %v", got)
	}
}

func TestDelaysForgetSendersThatAreSilent(t *testing.T) {
	d := newDelayEstimator()
	for start := range uint64(1_000) {
		d.estimate(start+1, 0, time.Duration(start))
	}
	if len(d.senders) > maxSenders {
		t.Errorf("%d senders are tracked, want %d at most", len(d.senders), maxSenders)
	}
	if _, ok := d.senders[1_000]; !ok {
		t.Error("the last sender was evicted")
	}
}
