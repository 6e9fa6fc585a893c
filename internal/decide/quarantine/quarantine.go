// Package quarantine decides which requests are kept from all backend servers,
// because servers ended while they ran them.
//
// It answers a request that crashes each server which runs it and comes again, under
// another id and at any gateway. Sent on each time, it takes the servers of a service
// away one after the other, with all that runs there; one notices by servers that end
// seconds apart while none is under load. All that ran at a server that ended is under
// suspicion, and all but one of it wrongly: a request is refused only once several
// servers have ended under it, each under a try that began after the end before, and is
// free of suspicion once it has ended well. Servers that are lost together are no
// evidence against what many callers send to all of them.
//
// What is known is a set of evidence that merges in any order and however often it is
// told, so that gateways need no agreement. It is pure code; time is passed in.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/request"
)

const (
	// Limit is how many servers may end under a request.
	TerminationThreshold = 3
	// keptFor is how long evidence counts: a mended version of the server may run the
	// request by then.
	keptFor = 10 * time.Minute
	// mostRequests bounds the requests under suspicion, and mostInstances the servers
	// that are noted for one.
	mostRequests  = 2_048
	mostInstances = 8
	// tellFor is how long evidence is told again and again, so that lost messages are
	// made up for; of requests that more than one server ended under, for as long as
	// it counts.
	tellFor = 3 * time.Second
)

// Evidence says that an instance ended while it ran a request. Of the zero Instance it
// says that the request ended well.
type Evidence struct {
	Request  request.Fingerprint
	Instance backend.Instance
	// Began is when the request was sent there, At when its end was seen.
	SentAt, ObservedAt time.Time
}

// endedWell reports whether it clears the request.
func (e Evidence) endedWell() bool { return e.Instance == backend.Instance{} }

// Standing is what the evidence says of a request.
type Status struct {
	// Ended are the instances that ended under it, the first one first.
	Terminations []Evidence
	// Refuse says that it is not to be sent to any server, for RetryAfter from now.
	Quarantined bool
	RetryAfter  time.Duration
}

// Suspect reports whether a server has ended under it.
func (s Status) Suspected() bool { return len(s.Terminations) > 0 }

// List is the evidence that one gateway knows. Its methods are for one goroutine at a
// time.
type List struct {
	records map[request.Fingerprint]*record
}

// record is the evidence on one request.
type record struct {
	request request.Fingerprint
	ended   []Evidence
	// clearedAt is when it last ended well.
	clearedAt time.Time
}

// New returns a List without evidence.
func New() *List { return &List{records: make(map[request.Fingerprint]*record)} }

// Len returns how many requests there is evidence on.
func (l *List) Len() int { return len(l.records) }

// Add takes in evidence and reports whether it was new.
func (l *List) Add(now time.Time, e Evidence) bool {
	if now.Sub(e.ObservedAt) >= keptFor {
		return false
	}
	r, ok := l.records[e.Request]
	if !ok {
		l.makeRoom(now)
		r = &record{request: e.Request}
		l.records[e.Request] = r
	}
	if e.endedWell() {
		return r.clear(e)
	}
	return r.add(e)
}

func (r *record) clear(e Evidence) bool {
	if !e.ObservedAt.After(r.clearedAt) {
		return false
	}
	r.clearedAt = e.ObservedAt
	r.ended = slices.DeleteFunc(r.ended, func(o Evidence) bool { return !o.ObservedAt.After(e.ObservedAt) })
	return true
}

func (r *record) add(e Evidence) bool {
	i := slices.IndexFunc(r.ended, func(o Evidence) bool { return o.Instance == e.Instance })
	switch {
	case i >= 0:
		// Of several tries there, the last one to begin counts.
		if !e.SentAt.After(r.ended[i].SentAt) {
			return false
		}
		r.ended[i].SentAt = e.SentAt
		return true
	case !e.ObservedAt.After(r.clearedAt):
		return false
	}
	r.ended = append(r.ended, e)
	slices.SortFunc(r.ended, func(a, b Evidence) int {
		return cmp.Or(a.ObservedAt.Compare(b.ObservedAt), cmp.Compare(a.Instance.ID, b.Instance.ID))
	})
	return r.bound() != e.Instance
}

// bound drops one end if there are too many, and returns its instance: the first one
// that does not count, the oldest if all do.
func (r *record) bound() backend.Instance {
	if len(r.ended) <= mostInstances {
		return backend.Instance{}
	}
	counted := r.inSequence()
	i := slices.IndexFunc(r.ended, func(e Evidence) bool { return !slices.Contains(counted, e) })
	dropped := r.ended[max(0, i)].Instance
	r.ended = slices.Delete(r.ended, max(0, i), max(0, i)+1)
	return dropped
}

// Standing returns what is known of a request.
func (l *List) Status(now time.Time, f request.Fingerprint) Status {
	r, ok := l.records[f]
	if !ok {
		return Status{}
	}
	r.expire(now)
	if len(r.ended) == 0 {
		return Status{}
	}
	s := Status{Terminations: r.inSequence()}
	if len(s.Terminations) >= TerminationThreshold {
		s.Quarantined = true
		// It is let in again once fewer than Limit count.
		s.RetryAfter = s.Terminations[len(s.Terminations)-TerminationThreshold].ObservedAt.Add(keptFor).Sub(now)
	}
	return s
}

// inSequence returns the evidence of tries that each began after the end before.
func (r *record) inSequence() []Evidence {
	var counted []Evidence
	var last time.Time
	for _, e := range r.ended {
		if e.SentAt.After(last) {
			counted = append(counted, e)
			last = e.ObservedAt
		}
	}
	return counted
}

func (r *record) expire(now time.Time) {
	r.ended = slices.DeleteFunc(r.ended, func(e Evidence) bool { return now.Sub(e.ObservedAt) >= keptFor })
}

// ToTell returns up to most pieces of evidence that others may not know yet, those on
// the requests with the most ended servers first.
func (l *List) PendingAnnouncements(now time.Time, most int) []Evidence {
	var records []*record
	for f, r := range l.records {
		r.expire(now)
		switch {
		case r.idle(now):
			delete(l.records, f)
		case r.isToTell(now):
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b *record) int {
		return cmp.Or(cmp.Compare(len(b.ended), len(a.ended)), b.last().Compare(a.last()))
	})
	var all []Evidence
	for _, r := range records {
		all = append(all, r.ended...)
		if len(r.ended) == 0 {
			all = append(all, Evidence{Request: r.request, ObservedAt: r.clearedAt})
		}
		if len(all) >= most {
			return all[:most]
		}
	}
	return all
}

// idle reports whether nothing that the record says counts any more.
func (r *record) idle(now time.Time) bool {
	return len(r.ended) == 0 && now.Sub(r.clearedAt) >= keptFor
}

func (r *record) isToTell(now time.Time) bool {
	return len(r.ended) > 1 || now.Sub(r.last()) < tellFor
}

// last is when something was last seen of the request.
func (r *record) last() time.Time {
	if len(r.ended) == 0 {
		return r.clearedAt
	}
	return r.ended[len(r.ended)-1].ObservedAt
}

// makeRoom drops the request that is under the least suspicion, the one seen longest
// ago among equals, if there are too many.
func (l *List) makeRoom(now time.Time) {
	if len(l.records) < mostRequests {
		return
	}
	var least request.Fingerprint
	var found *record
	for f, r := range l.records {
		r.expire(now)
		if found == nil || cmp.Or(cmp.Compare(len(r.ended), len(found.ended)), r.last().Compare(found.last())) < 0 {
			least, found = f, r
		}
	}
	delete(l.records, least)
}
