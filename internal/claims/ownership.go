package claims

import (
	"time"

	"github.com/apex/log"

	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// recordRead handles a read of the record of a slot that is wanted but not owned.
func (s *Slot) recordRead(now time.Time, ev GetDone) {
	s.retryAt = now.Add(s.backoff.Next(s.random))
	if ev.Err != nil || ev.Object.Version < s.version || !s.wanted() {
		return
	}
	found := Record{}
	if ev.Object.Version > 0 {
		parsed, err := ParseRecord(ev.Object.Value)
		if err != nil {
			s.reportCorrupt(ev.Object.Version, err)
			return
		}
		found = parsed
	}
	s.observeEpoch(found.Epoch)
	if ev.Object.Version != s.version {
		s.version = ev.Object.Version
		s.versionSince = now
	}
	s.record = found
	if s.mayAcquire(now) {
		s.beginAcquire(now)
	}
}

// reportCorrupt reports a record that cannot be parsed, once per version. The
// record is never overwritten, as that would lose its claims: the slot stays
// without an owner until an operator has repaired the object.
func (s *Slot) reportCorrupt(version uint64, err error) {
	if version == s.corruptVersion {
		return
	}
	s.corruptVersion = version
	s.metrics.corrupt.Inc(1)
	log.WithError(err).WithField("object", s.name()).Error("cannot parse claim record; its slot stays without an owner until the object is repaired")
}

// mayAcquire reports whether the slot whose record was just read can be acquired.
func (s *Slot) mayAcquire(now time.Time) bool {
	r := s.record
	switch {
	case s.plan.Version < r.PlanVersion:
		// The owner follows a later plan. Two sidecars with different plans
		// would otherwise take the slot from each other endlessly.
		return false
	case s.version == 0 || r.Released:
		return true
	case r.Owner == s.config.Owner && !s.hasOwned:
		// The record is from an earlier start of this sidecar, which has ended:
		// this process holds its port. If this process has owned the slot
		// before, the record may be from a later start on a VM that replaces
		// this one, and the two would take the slot from each other.
		return true
	default:
		return now.Sub(s.versionSince) >= s.config.TakeoverAfter ||
			now.Sub(s.wantedSince) >= s.config.TakeoverMax
	}
}

func (s *Slot) beginAcquire(now time.Time) {
	if s.version != 0 && !s.record.Released {
		s.metrics.takeovers.Inc(1)
	}
	s.clockAtAcquire = s.record.Clock
	s.acquiredAt = now
	next := s.record.clone()
	next.Epoch++
	next.Owner = s.config.Owner
	next.Incarnation = s.config.Incarnation
	next.Released = false
	s.retryAt = now
	s.startWrite(now, acquire, next)
}

func (s *Slot) acquired() {
	s.owned = true
	s.hasOwned = true
	s.emit(Ownership{Owned: true, Epoch: s.record.Epoch})
}

func (s *Slot) beginRelease(now time.Time) {
	next := s.record.clone()
	next.Released = true
	s.startWrite(now, release, next)
}

// startWrite completes and encodes next; advance sends it.
func (s *Slot) startWrite(now time.Time, p purpose, next Record) {
	next.WriteID = s.writeID()
	next.PlanVersion = max(next.PlanVersion, s.plan.Version)
	next.Clock = s.recordClock(now)
	value, err := next.Encode()
	if err != nil {
		log.WithError(err).WithField("object", s.name()).Error("cannot encode claim record")
		return
	}
	invariant.Check(len(value) <= next.sizeBound() && len(value) <= sharedstate.MaxValue, "claim records are bounded",
		"%s has %d bytes, estimated at most %d", s.name(), len(value), next.sizeBound())
	s.purpose = p
	s.pending = next
	s.write = sharedstate.NewWrite(s.name(), s.version, value, next.WriteID)
}

// recordClock returns the Record.Clock for now. Time without an owner does not
// count, so results are stored for at least their retention.
func (s *Slot) recordClock(now time.Time) int64 {
	return s.clockAtAcquire + now.Sub(s.acquiredAt).Milliseconds()
}
