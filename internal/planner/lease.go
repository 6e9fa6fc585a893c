package planner

import (
	"encoding/json"
	"time"

	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

const (
	// renewInterval is how often the holder renews the lease and the other
	// candidates read it.
	renewInterval = 3 * time.Second
	// leaseTerm is how long a lease that is not renewed keeps other candidates from
	// acquiring it. Its holder stops planning renewInterval earlier.
	leaseTerm = 10 * time.Second
)

// leaseName returns the name of the lease object of a region in the store.
func leaseName(region string) string { return "lease/planner/" + region }

// leaseValue is the value of the lease object. It contains no time, as the clocks of
// two VMs are never compared. A candidate may take the lease once its version has
// not changed for leaseTerm by the candidate's own clock.
type leaseValue struct {
	Holder  string `json:"holder"`
	Term    uint64 `json:"term"`
	Renewal uint64 `json:"renewal"`
	WriteID string `json:"write_id"`
}

// lease keeps two entries from planning at the same time. It only saves work: safety
// must not depend on it, as it can expire while its holder is paused.
type lease struct {
	self string

	// observed is the lease object as last read or written, value its content, and
	// changedAt when its version was first observed.
	observed  sharedstate.Object
	value     leaseValue
	changedAt time.Time
	// heldUntil is when this process stops planning unless it renews the lease.
	heldUntil time.Time
}

func newLease(self string) *lease { return &lease{self: self} }

// observe records the lease object as read at the given time.
func (l *lease) observe(now time.Time, o sharedstate.Object) {
	if o.Version == l.observed.Version && !l.changedAt.IsZero() {
		return
	}
	l.observed, l.changedAt = o, now
	l.value = leaseValue{}
	if o.Version > 0 && json.Unmarshal(o.Value, &l.value) != nil {
		l.value = leaseValue{}
	}
	if l.value.Holder != l.self {
		l.heldUntil = time.Time{}
	}
}

// next returns the value to write over the observed version, or false if this
// process may neither renew nor acquire the lease.
func (l *lease) next(now time.Time, writeID string) (leaseValue, bool) {
	switch {
	case l.changedAt.IsZero():
		return leaseValue{}, false
	case l.value.Holder == l.self:
		next := l.value
		next.Renewal++
		next.WriteID = writeID
		return next, true
	case l.value.Holder == "" || now.Sub(l.changedAt) >= leaseTerm:
		return leaseValue{Holder: l.self, Term: l.value.Term + 1, WriteID: writeID}, true
	default:
		return leaseValue{}, false
	}
}

// writeApplied records a successful write that was sent at sentAt. The term counts
// from then, because other candidates may have read the object immediately.
func (l *lease) writeApplied(sentAt time.Time, o sharedstate.Object, v leaseValue) {
	l.observed, l.value, l.changedAt = o, v, sentAt
	l.heldUntil = sentAt.Add(leaseTerm - renewInterval)
}

// held reports whether this process holds the lease and may plan.
func (l *lease) held(now time.Time) bool { return now.Before(l.heldUntil) }
