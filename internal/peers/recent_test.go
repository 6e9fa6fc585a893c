package peers

import (
	"maps"
	"net/netip"
	"testing"
	"time"
)

// Guards against gateways that divide limits, or choose who may send, by a list that lacks
// others which serve: a stale read returns an older list.
func TestOlderListDoesNotRemoveGateways(t *testing.T) {
	list := func(names ...string) map[string]netip.AddrPort {
		m := make(map[string]netip.AddrPort)
		for n, name := range names {
			m[name] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(1 + n)}), 80)
		}
		return m
	}
	r := newRecentLists()
	for _, step := range []struct {
		at        time.Duration
		listed    []string
		wantNames []string
	}{
		{0, []string{"a", "b", "c"}, []string{"a", "b", "c"}},
		{3 * time.Second, []string{"a"}, []string{"a", "b", "c"}},
		{6 * time.Second, []string{"a", "b", "c", "d"}, []string{"a", "b", "c", "d"}},
		{35 * time.Second, []string{"a", "b"}, []string{"a", "b", "c", "d"}},
		{37 * time.Second, []string{"a", "b"}, []string{"a", "b"}},
	} {
		if got := r.add(step.at, list(step.listed...)); !maps.Equal(got, list(step.wantNames...)) {
			t.Errorf("after %v: gateways %v, want %v", step.at, got, step.wantNames)
		}
	}
}
