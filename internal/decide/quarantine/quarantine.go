// Package quarantine decides which requests are no longer sent to any backend server
// because servers terminated while running them (List), and which prompts because they have
// segments under which servers crashed (Segments).
//
// It guards against a query of death: a request that crashes every server that runs it
// and is retried under another id and at any gateway. Forwarded each time, it takes down
// the servers of a service one after the other, with all requests that run there.
// Symptom: servers terminate seconds apart while none is under load.
//
// All requests that ran at a terminated server are suspected, all but one of them
// wrongly. A request is therefore quarantined only after several servers terminated
// while running it, each in an attempt that began after the previous termination or, with
// more of them, at different times, and is cleared when it completes. Servers that are lost
// together are no evidence against a request that many callers send to all of them.
//
// Evidence is a set that merges in any order and tolerates duplicates, so that gateways
// need no agreement. The package does no I/O; the caller passes the time.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/request"
)

const (
	// TerminationThreshold is the number of terminations from which a request is
	// quarantined.
	TerminationThreshold = 3
	// minGap is the time within which terminations count once: a server that crashes hands its
	// requests to others, of which the next crashes for the same reason.
	minGap = 100 * time.Millisecond
	// OverlapThreshold is the number of terminations at least overlapGap apart from which a
	// request is quarantined though the attempts overlapped. The objects of servers that are
	// lost together expire within less time.
	OverlapThreshold = 4
	overlapGap       = 500 * time.Millisecond
	// evidenceTTL is how long evidence counts. After that, a fixed version of the server
	// may be able to run the request.
	evidenceTTL = 10 * time.Minute
	// maxRequests bounds the recorded requests, and maxInstances the terminations that are
	// recorded for each.
	maxRequests  = 2_048
	maxInstances = 8
	// sentAtTolerance is how much later than known an attempt must have been sent to count as
	// a later attempt: times of other gateways are estimates, and evidence travels over many.
	sentAtTolerance = 50 * time.Millisecond
	// announceFor is how long evidence is announced repeatedly, to make up for lost
	// messages. Lasting evidence is announced for as long as it counts.
	announceFor = 3 * time.Second
	// repeatInterval is the least pause between two repeats of evidence that is announced for
	// as long as it counts.
	repeatInterval = 2 * time.Second
)

// Evidence records that an instance terminated while it ran a request, or, with a zero
// Instance, that the request completed.
type Evidence struct {
	Request  request.Fingerprint
	Instance backend.Instance
	// SentAt is when the request was sent to the instance, ObservedAt when the termination
	// or the completion was observed.
	SentAt, ObservedAt time.Time
}

// completed reports whether the evidence clears the request.
func (e Evidence) completed() bool { return e.Instance == backend.Instance{} }

// Status is the quarantine status of a request.
type Status struct {
	// Terminations are the terminations that count against the request, oldest first.
	Terminations []Evidence
	// Quarantined says that the request must not be sent to any server for RetryAfter.
	Quarantined bool
	RetryAfter  time.Duration
}

// Suspected reports whether a server terminated while running the request.
func (s Status) Suspected() bool { return len(s.Terminations) > 0 }

// List holds the evidence that one gateway knows. It is not safe for concurrent use.
type List struct {
	records map[request.Fingerprint]*record
	// version changes with the lasting evidence.
	version uint64
}

// record holds the evidence on one request.
type record struct {
	request      request.Fingerprint
	terminations []Evidence
	// clearedAt is when the request last completed.
	clearedAt time.Time
	// repeatedAt is when the evidence was last repeated.
	repeatedAt time.Time
}

// New returns an empty List.
func New() *List { return &List{records: make(map[request.Fingerprint]*record)} }

// Len returns the number of requests with evidence.
func (l *List) Len() int { return len(l.records) }

// Add merges evidence and reports whether it was new.
func (l *List) Add(now time.Time, e Evidence) bool {
	if now.Sub(e.ObservedAt) >= evidenceTTL {
		return false
	}
	r, ok := l.records[e.Request]
	if !ok {
		l.evictLeastSuspected(now)
		r = &record{request: e.Request}
		l.records[e.Request] = r
	}
	lasting := r.lasting()
	changed := r.merge(e)
	if changed && (lasting || r.lasting()) {
		l.version++
	}
	return changed
}

func (r *record) merge(e Evidence) bool {
	if e.completed() {
		return r.clear(e)
	}
	return r.add(e)
}

func (r *record) clear(e Evidence) bool {
	if !e.ObservedAt.After(r.clearedAt) {
		return false
	}
	r.clearedAt = e.ObservedAt
	r.terminations = slices.DeleteFunc(r.terminations, func(o Evidence) bool { return !o.ObservedAt.After(e.ObservedAt) })
	return true
}

func (r *record) add(e Evidence) bool {
	i := slices.IndexFunc(r.terminations, func(o Evidence) bool { return o.Instance == e.Instance })
	switch {
	case i >= 0:
		// Of several attempts at an instance, the latest counts.
		if e.SentAt.Sub(r.terminations[i].SentAt) <= sentAtTolerance {
			return false
		}
		r.terminations[i].SentAt = e.SentAt
		return true
	case !e.ObservedAt.After(r.clearedAt):
		return false
	}
	r.terminations = append(r.terminations, e)
	slices.SortFunc(r.terminations, func(a, b Evidence) int {
		return cmp.Or(a.ObservedAt.Compare(b.ObservedAt), cmp.Compare(a.Instance.ID, b.Instance.ID))
	})
	return r.trim() != e.Instance
}

// trim drops one termination if there are more than maxInstances and returns its
// instance. It drops the first one that does not count, or the oldest if all count.
func (r *record) trim() backend.Instance {
	if len(r.terminations) <= maxInstances {
		return backend.Instance{}
	}
	counted := append(r.sequential(), r.spaced()...)
	i := slices.IndexFunc(r.terminations, func(e Evidence) bool { return !slices.Contains(counted, e) })
	dropped := r.terminations[max(0, i)].Instance
	r.terminations = slices.Delete(r.terminations, max(0, i), max(0, i)+1)
	return dropped
}

// Status returns the quarantine status of a request.
func (l *List) Status(now time.Time, f request.Fingerprint) Status {
	r, ok := l.records[f]
	if !ok {
		return Status{}
	}
	r.expire(now)
	if len(r.terminations) == 0 {
		return Status{}
	}
	s := Status{Terminations: r.sequential()}
	s.quarantine(now, TerminationThreshold)
	if s.Quarantined {
		return s
	}
	if spaced := r.spaced(); len(spaced) >= OverlapThreshold {
		s.Terminations = spaced
		s.quarantine(now, OverlapThreshold)
	}
	return s
}

// quarantine quarantines the request while at least threshold of its terminations count.
func (s *Status) quarantine(now time.Time, threshold int) {
	if len(s.Terminations) < threshold {
		return
	}
	s.Quarantined = true
	// The request is admitted again once fewer than threshold count.
	s.RetryAfter = s.Terminations[len(s.Terminations)-threshold].ObservedAt.Add(evidenceTTL).Sub(now)
}

// sequential returns the terminations that count: those of attempts that each began
// after the previous termination that counts, and at least minGap after it.
func (r *record) sequential() []Evidence {
	var counted []Evidence
	var last time.Time
	for _, e := range r.terminations {
		if e.SentAt.After(last) && e.ObservedAt.Sub(last) >= minGap {
			counted = append(counted, e)
			last = e.ObservedAt
		}
	}
	return counted
}

// spaced returns terminations that are at least overlapGap apart.
func (r *record) spaced() []Evidence {
	var counted []Evidence
	for _, e := range r.terminations {
		if len(counted) == 0 || e.ObservedAt.Sub(counted[len(counted)-1].ObservedAt) >= overlapGap {
			counted = append(counted, e)
		}
	}
	return counted
}

func (r *record) expire(now time.Time) {
	r.terminations = slices.DeleteFunc(r.terminations, func(e Evidence) bool { return now.Sub(e.ObservedAt) >= evidenceTTL })
}

// PendingAnnouncements returns up to limit pieces of evidence that other gateways may not
// know yet, starting with the requests whose evidence was repeated the longest ago, and among
// these with those that have the most terminations.
func (l *List) PendingAnnouncements(now time.Time, limit int) []Evidence {
	var records []*record
	for f, r := range l.records {
		r.expire(now)
		switch {
		case r.expired(now):
			delete(l.records, f)
		case r.pending(now):
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b *record) int {
		return cmp.Or(a.repeatedAt.Compare(b.repeatedAt), cmp.Compare(len(b.terminations), len(a.terminations)), b.lastObserved().Compare(a.lastObserved()))
	})
	var all []Evidence
	for _, r := range records {
		r.repeatedAt = now
		all = append(all, r.terminations...)
		if len(r.terminations) == 0 {
			all = append(all, Evidence{Request: r.request, ObservedAt: r.clearedAt})
		}
		if len(all) >= limit {
			return all[:limit]
		}
	}
	return all
}

// expired reports whether no evidence of the record counts any more.
func (r *record) expired(now time.Time) bool {
	return len(r.terminations) == 0 && now.Sub(r.clearedAt) >= evidenceTTL
}

// pending reports whether the record is still to be announced.
func (r *record) pending(now time.Time) bool {
	if now.Sub(r.lastObserved()) < announceFor {
		return true
	}
	return r.lasting() && now.Sub(r.repeatedAt) >= repeatInterval
}

// lastObserved returns when the last termination, or else the completion, was observed.
func (r *record) lastObserved() time.Time {
	if len(r.terminations) == 0 {
		return r.clearedAt
	}
	return r.terminations[len(r.terminations)-1].ObservedAt
}

// evictLeastSuspected drops the request with the fewest terminations if there are
// maxRequests, among equals the one with the oldest observation.
func (l *List) evictLeastSuspected(now time.Time) {
	if len(l.records) < maxRequests {
		return
	}
	var evicted request.Fingerprint
	var fewest *record
	for f, r := range l.records {
		r.expire(now)
		if fewest == nil || cmp.Or(cmp.Compare(len(r.terminations), len(fewest.terminations)), r.lastObserved().Compare(fewest.lastObserved())) < 0 {
			evicted, fewest = f, r
		}
	}
	delete(l.records, evicted)
}
