package admit

import (
	"maps"
	"slices"
	"time"
)

// remoteUsage holds the load of the heaviest accounts of other entries, as received by
// gossip. Without it, an account that spreads its load over all entries looks light at each
// of them. Light accounts are left out of gossip: no limit applies to them, and 9,600 rows
// per second would exceed a node's network allowance.
type remoteUsage struct {
	ttl                             time.Duration
	maxEntries, maxAccountsPerEntry int
	byEntry                         map[string]remoteEntry
	totals                          map[string]float64
}

type remoteEntry struct {
	usages  []Usage
	expires time.Time
}

func newRemoteUsage(cfg Config) *remoteUsage {
	return &remoteUsage{
		ttl:                 cfg.RemoteTTL,
		maxEntries:          cfg.MaxRemoteEntries,
		maxAccountsPerEntry: cfg.MaxRemoteAccounts,
		byEntry:             make(map[string]remoteEntry),
		totals:              make(map[string]float64),
	}
}

func (r *remoteUsage) set(now time.Time, entry string, usages []Usage) {
	r.drop(entry)
	if len(r.byEntry) >= r.maxEntries {
		return
	}
	accepted := append([]Usage(nil), usages[:min(len(usages), r.maxAccountsPerEntry)]...)
	r.byEntry[entry] = remoteEntry{usages: accepted, expires: now.Add(r.ttl)}
	for _, u := range accepted {
		r.totals[u.Caller] += u.Rate
	}
}

func (r *remoteUsage) drop(entry string) {
	for _, u := range r.byEntry[entry].usages {
		r.totals[u.Caller] -= u.Rate
		if r.totals[u.Caller] < minRemoteRate {
			delete(r.totals, u.Caller)
		}
	}
	delete(r.byEntry, entry)
}

// minRemoteRate, in cost tokens per second, is the threshold below which a total is a
// rounding error.
const minRemoteRate = 1e-6

func (r *remoteUsage) expire(now time.Time) {
	for _, entry := range slices.Sorted(maps.Keys(r.byEntry)) {
		if now.After(r.byEntry[entry].expires) {
			r.drop(entry)
		}
	}
}

func (r *remoteUsage) rate(caller string) float64 { return r.totals[caller] }
