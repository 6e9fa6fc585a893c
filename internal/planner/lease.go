package planner

import (
	"encoding/json"
	"time"

	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

const (
	// renewInterval is how often the holder renews the lease, and how often
	// the other candidates read it.
	renewInterval = 3 * time.Second
	// leaseTerm is how long a lease that is not renewed keeps the others off.
	leaseTerm = 10 * time.Second
)

// leaseName returns the name of the lease object of a region.
func leaseName(region string) string { return "lease/planner/" + region }

// leaseValue is the lease object. It holds no time: the clocks of two VMs are
// never compared. A candidate waits until the version has stood still for
// leaseTerm by its own clock.
type leaseValue struct {
	Holder  string `json:"holder"`
	Term    uint64 `json:"term"`
	Renewal uint64 `json:"renewal"`
	WriteID string `json:"write_id"`
}

// lease saves work: it keeps two entries from planning at the same time. What
// is safe never rests on it, for it can lapse while its holder is paused.
type lease struct {
	self string

	seen   sharedstate.Object
	value  leaseValue
	seenAt time.Time
	// heldUntil is when this process stops planning unless it renews.
	heldUntil time.Time
}

func newLease(self string) *lease { return &lease{self: self} }

// observe takes the object as it was read at the time given.
func (l *lease) observe(now time.Time, o sharedstate.Object) {
	if o.Version == l.seen.Version && !l.seenAt.IsZero() {
		return
	}
	l.seen, l.seenAt = o, now
	l.value = leaseValue{}
	if o.Version > 0 && json.Unmarshal(o.Value, &l.value) != nil {
		l.value = leaseValue{}
	}
	if l.value.Holder != l.self {
		l.heldUntil = time.Time{}
	}
}

// next returns the value to write over the version seen, if this process may
// renew or take the lease.
func (l *lease) next(now time.Time, writeID string) (leaseValue, bool) {
	switch {
	case l.seenAt.IsZero():
		return leaseValue{}, false
	case l.value.Holder == l.self:
		next := l.value
		next.Renewal++
		next.WriteID = writeID
		return next, true
	case l.value.Holder == "" || now.Sub(l.seenAt) >= leaseTerm:
		return leaseValue{Holder: l.self, Term: l.value.Term + 1, WriteID: writeID}, true
	default:
		return leaseValue{}, false
	}
}

// written reports a write that took effect; asked is when it was sent. The
// term counts from then, for the others may have seen it at once.
func (l *lease) written(asked time.Time, o sharedstate.Object, v leaseValue) {
	l.seen, l.value, l.seenAt = o, v, asked
	l.heldUntil = asked.Add(leaseTerm - renewInterval)
}

// held reports whether this process plans now.
func (l *lease) held(now time.Time) bool { return now.Before(l.heldUntil) }
