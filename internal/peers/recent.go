package peers

import (
	"net/netip"
	"time"
)

// listRetention is how long a gateway is known after the last list that had it. Lists are
// stale reads, which may return an older list than the one before.
const listRetention = 30 * time.Second

// recentLists merges the lists of gateways of the last listRetention.
type recentLists struct {
	addresses map[string]netip.AddrPort
	// listedAt is when a list last had each gateway, in time since boot.
	listedAt map[string]time.Duration
}

func newRecentLists() *recentLists {
	return &recentLists{addresses: make(map[string]netip.AddrPort), listedAt: make(map[string]time.Duration)}
}

// refresh records that a gateway is known at an address.
func (r *recentLists) refresh(now time.Duration, name string, address netip.AddrPort) {
	r.addresses[name], r.listedAt[name] = address, now
}

// add adds a list and returns the gateways that any recent list had, with their latest
// addresses.
func (r *recentLists) add(now time.Duration, list map[string]netip.AddrPort) map[string]netip.AddrPort {
	for name, address := range list {
		r.refresh(now, name, address)
	}
	merged := make(map[string]netip.AddrPort, len(r.addresses))
	for name, address := range r.addresses {
		if now-r.listedAt[name] >= listRetention {
			delete(r.addresses, name)
			delete(r.listedAt, name)
			continue
		}
		merged[name] = address
	}
	return merged
}
