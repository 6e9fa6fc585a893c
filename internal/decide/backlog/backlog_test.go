package backlog_test

import (
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/backlog"
)

// Guards against giving up answers whose callers still read, and against keeping the memory of
// those whose callers do not.
func TestDecide(t *testing.T) {
	const stallTimeout = time.Second
	for s, want := range map[backlog.State]backlog.Action{
		{Room: true, Stalled: time.Hour}:        backlog.Read,
		{CallerWaits: true, Stalled: time.Hour}: backlog.Return,
		{Stalled: stallTimeout - 1}:             backlog.Wait,
		{Stalled: stallTimeout}:                 backlog.Abort,
	} {
		if got := backlog.Decide(s, stallTimeout); got != want {
			t.Errorf("%+v: %v, want %v", s, got, want)
		}
	}
}
