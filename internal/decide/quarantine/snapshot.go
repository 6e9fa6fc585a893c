package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/request"
)

const (
	// lastingTerminations is the number of terminations from which the evidence on a request
	// is announced for as long as it counts, and is part of a Snapshot.
	lastingTerminations = 2
	// maxSnapshotRequests bounds the requests of a Snapshot.
	maxSnapshotRequests = 64
)

// Snapshot is the lasting evidence of a List and of Segments, for processes that start later.
type Snapshot struct {
	Requests []RequestSnapshot `json:"requests"`
	Crashes  []CrashSnapshot   `json:"crashes"`
}

// RequestSnapshot is the evidence on one request, oldest first.
type RequestSnapshot struct {
	// Fingerprint is that of the request, in hexadecimal.
	Fingerprint  string                `json:"fingerprint"`
	Terminations []TerminationSnapshot `json:"terminations"`
}

// TerminationSnapshot is one termination. Its times are times of day of the writer, in
// milliseconds since the start of 1970.
type TerminationSnapshot struct {
	Server      string `json:"server"`
	Incarnation int64  `json:"incarnation"`
	SentMS      int64  `json:"sent_ms"`
	ObservedMS  int64  `json:"observed_ms"`
}

// lasting reports whether the evidence is kept beyond the process.
func (r *record) lasting() bool { return len(r.terminations) >= lastingTerminations }

// Version returns a number that changes whenever the Snapshot may have changed other than by
// the passage of time. It is 0 while there has been no lasting evidence.
func (l *List) Version() uint64 { return l.version }

// Snapshot returns the lasting evidence on the requests with the most terminations.
func (l *List) Snapshot(now time.Time) Snapshot {
	var records []*record
	for _, r := range l.records {
		r.expire(now)
		if r.lasting() {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b *record) int {
		return cmp.Or(cmp.Compare(len(b.terminations), len(a.terminations)), cmp.Compare(a.request, b.request))
	})
	s := Snapshot{Requests: []RequestSnapshot{}}
	for _, r := range records[:min(maxSnapshotRequests, len(records))] {
		s.Requests = append(s.Requests, r.snapshot())
	}
	return s
}

func (r *record) snapshot() RequestSnapshot {
	s := RequestSnapshot{Fingerprint: r.request.String()}
	for _, e := range r.terminations {
		s.Terminations = append(s.Terminations, TerminationSnapshot{
			Server: e.Instance.ID, Incarnation: e.Instance.Incarnation, SentMS: e.SentAt.UnixMilli(), ObservedMS: e.ObservedAt.UnixMilli(),
		})
	}
	return s
}

// Restore merges a Snapshot that was written before now. It returns how many requests it skipped
// because their fingerprints are invalid.
func (l *List) Restore(now time.Time, s Snapshot) (skipped int) {
	var latest int64
	for _, r := range s.Requests {
		for _, t := range r.Terminations {
			latest = max(latest, t.ObservedMS)
		}
	}
	ahead := clockAhead(now, latest)
	for _, r := range s.Requests {
		f, err := strconv.ParseUint(r.Fingerprint, 16, 64)
		if err != nil {
			skipped++
			continue
		}
		for _, t := range r.Terminations {
			l.Add(now, t.evidence(ahead, request.Fingerprint(f)))
		}
	}
	return skipped
}

// clockAhead returns by how much the writer's clock is at least ahead of this one, if its latest
// time, in milliseconds since the start of 1970, is later than now.
func clockAhead(now time.Time, latest int64) time.Duration {
	return max(0, time.UnixMilli(latest).Sub(now))
}

// evidence returns the termination as evidence, for a writer's clock that is ahead.
func (t TerminationSnapshot) evidence(ahead time.Duration, f request.Fingerprint) Evidence {
	return Evidence{
		Request: f, Instance: backend.Instance{ID: t.Server, Incarnation: t.Incarnation},
		SentAt: time.UnixMilli(t.SentMS).Add(-ahead), ObservedAt: time.UnixMilli(t.ObservedMS).Add(-ahead),
	}
}

// CrashSnapshot is one crash with the segments that count in others too. Segments are in
// hexadecimal; ObservedMS is like that of TerminationSnapshot.
type CrashSnapshot struct {
	Server      string   `json:"server"`
	Incarnation int64    `json:"incarnation"`
	ObservedMS  int64    `json:"observed_ms"`
	Fresh       []string `json:"fresh"`
	Reused      []string `json:"reused"`
}

// Snapshot returns the crashes that have segments in common, with these.
func (s *Segments) Snapshot(now time.Time) []CrashSnapshot {
	s.expire(now)
	count := make(map[Segment]int)
	for _, r := range s.crashes {
		for id := range r.segments {
			if s.counts(r, id) {
				count[id]++
			}
		}
	}
	var all []CrashSnapshot
	for _, r := range s.crashes {
		c := s.announcement(r)
		once := func(id Segment) bool { return count[id] < lastingTerminations }
		fresh, reused := slices.DeleteFunc(c.Fresh, once), slices.DeleteFunc(c.Reused, once)
		if len(fresh)+len(reused) == 0 {
			continue
		}
		all = append(all, CrashSnapshot{
			Server: r.instance.ID, Incarnation: r.instance.Incarnation, ObservedMS: r.observedAt.UnixMilli(), Fresh: hex(fresh), Reused: hex(reused),
		})
	}
	slices.SortFunc(all, func(a, b CrashSnapshot) int {
		return cmp.Or(cmp.Compare(a.ObservedMS, b.ObservedMS), cmp.Compare(a.Server, b.Server))
	})
	return all
}

// Restore merges crashes of a Snapshot that was written before now. It returns how many segments
// it skipped because they are invalid.
func (s *Segments) Restore(now time.Time, crashes []CrashSnapshot) (skipped int) {
	var latest int64
	for _, c := range crashes {
		latest = max(latest, c.ObservedMS)
	}
	ahead := clockAhead(now, latest)
	for _, c := range crashes {
		fresh, reused := unhex(c.Fresh), unhex(c.Reused)
		skipped += len(c.Fresh) + len(c.Reused) - len(fresh) - len(reused)
		s.addCrash(now, Crash{
			Instance: backend.Instance{ID: c.Server, Incarnation: c.Incarnation}, ObservedAt: time.UnixMilli(c.ObservedMS).Add(-ahead),
			Fresh: fresh, Reused: reused,
		}, true)
	}
	return skipped
}

func hex(segments []Segment) []string {
	names := make([]string, 0, len(segments))
	for _, s := range segments {
		names = append(names, strconv.FormatUint(s, 16))
	}
	return names
}

// unhex returns the segments whose names are valid.
func unhex(names []string) []Segment {
	var segments []Segment
	for _, name := range names {
		if id, err := strconv.ParseUint(name, 16, 64); err == nil {
			segments = append(segments, id)
		}
	}
	return segments
}
