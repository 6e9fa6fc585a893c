package admit

import (
	"maps"
	"slices"
	"time"
)

// remote is what other entries have gossiped about their heaviest accounts. An
// account that spreads its load over all entries would otherwise look light
// at each of them. Light accounts are not gossiped: they matter to no limit,
// and 9,600 rows a second would not fit a node's network allowance.
type remote struct {
	ttl              time.Duration
	entries, perEach int
	byEntry          map[string]remoteEntry
	totals           map[string]float64
}

type remoteEntry struct {
	usages  []Usage
	expires time.Time
}

func newRemote(cfg Config) *remote {
	return &remote{
		ttl:     cfg.RemoteTTL,
		entries: cfg.RemoteEntries,
		perEach: cfg.RemoteAccounts,
		byEntry: make(map[string]remoteEntry),
		totals:  make(map[string]float64),
	}
}

func (r *remote) merge(now time.Time, entry string, usages []Usage) {
	r.drop(entry)
	if len(r.byEntry) >= r.entries {
		return
	}
	kept := append([]Usage(nil), usages[:min(len(usages), r.perEach)]...)
	r.byEntry[entry] = remoteEntry{usages: kept, expires: now.Add(r.ttl)}
	for _, u := range kept {
		r.totals[u.Caller] += u.Rate
	}
}

func (r *remote) drop(entry string) {
	for _, u := range r.byEntry[entry].usages {
		r.totals[u.Caller] -= u.Rate
		if r.totals[u.Caller] < minRemoteRate {
			delete(r.totals, u.Caller)
		}
	}
	delete(r.byEntry, entry)
}

// minRemoteRate, in tokens a second, is what rounding may leave of nothing.
const minRemoteRate = 1e-6

func (r *remote) expire(now time.Time) {
	for _, entry := range slices.Sorted(maps.Keys(r.byEntry)) {
		if now.After(r.byEntry[entry].expires) {
			r.drop(entry)
		}
	}
}

func (r *remote) rate(caller string) float64 { return r.totals[caller] }
