package directory

import (
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/store"
)

// Guards against a denied route that a confirmed change has added: Current must be
// false if such a change can be missing, since callers do not retry a denied route.
func TestViewIsCurrentOnlyIfNoConfirmedChangeCanBeMissing(t *testing.T) {
	const bound = 2 * time.Second
	for _, c := range []struct {
		name      string
		age       time.Duration
		announced int64
		want      bool
	}{
		{"confirmed just now", 0, 0, true},
		{"confirmed as long ago as a change may take", bound, 5, true},
		{"confirmed longer ago", bound + time.Millisecond, 5, false},
		{"older than another gateway's", 0, 6, false},
	} {
		v := &View{TableRevision: 5, Announced: ConfigID{Position: store.Position{Revision: c.announced}}, TableConfirmedAt: at(0)}
		if got := v.Current(at(c.age), bound); got != c.want {
			t.Errorf("%s: current is %v", c.name, got)
		}
	}
	if (&View{}).Current(at(0), bound) {
		t.Error("a view that was never confirmed is current")
	}
}
