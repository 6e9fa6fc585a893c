package peers

import (
	"net/netip"
	"time"
)

// listRetention is how long a gateway is known after the last list that had it, or after it
// has announced itself. Lists are stale reads, which may return an older list than the one
// before.
const listRetention = 30 * time.Second

// recentLists merges the lists and the announcements of gateways of the last listRetention.
type recentLists struct {
	addresses map[string]netip.AddrPort
	// knownAt is when a list last had each gateway, or it last announced itself, in time since
	// boot.
	knownAt map[string]time.Duration
}

func newRecentLists() *recentLists {
	return &recentLists{addresses: make(map[string]netip.AddrPort), knownAt: make(map[string]time.Duration)}
}

// refresh records that a gateway is known at an address.
func (r *recentLists) refresh(now time.Duration, name string, address netip.AddrPort) {
	r.addresses[name], r.knownAt[name] = address, now
}

// add adds a list and returns the gateways that are known lately, with their latest addresses.
func (r *recentLists) add(now time.Duration, list map[string]netip.AddrPort) map[string]netip.AddrPort {
	for name, address := range list {
		r.refresh(now, name, address)
	}
	merged := make(map[string]netip.AddrPort, len(r.addresses))
	for name, address := range r.addresses {
		if now-r.knownAt[name] >= listRetention {
			delete(r.addresses, name)
			delete(r.knownAt, name)
			continue
		}
		merged[name] = address
	}
	return merged
}
