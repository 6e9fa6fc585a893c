package claims

import (
	"time"

	"github.com/apex/log"

	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// seen takes the record of a slot that is wanted and not owned.
func (s *Slot) seen(now time.Time, ev GetDone) {
	s.retryAt = now.Add(s.pauses.Next(s.random))
	if ev.Err != nil || ev.Object.Version < s.version || !s.wanted() {
		return
	}
	found := Record{}
	if ev.Object.Version > 0 {
		parsed, err := ParseRecord(ev.Object.Value)
		if err != nil {
			s.corrupt(ev.Object.Version, err)
			return
		}
		found = parsed
	}
	s.sawEpoch(found.Epoch)
	if ev.Object.Version != s.version {
		s.version = ev.Object.Version
		s.seenAt = now
	}
	s.record = found
	if s.mayTake(now) {
		s.beginAcquire(now)
	}
}

// corrupt leaves a record that cannot be read alone: writing over it would
// forget its claims. The slot stays closed until somebody has mended the object.
func (s *Slot) corrupt(version uint64, err error) {
	if version == s.corruptVersion {
		return
	}
	s.corruptVersion = version
	s.metrics.corrupt.Inc(1)
	log.WithError(err).WithField("object", s.name()).Error("claim record cannot be read")
}

// mayTake reports whether the slot that was just read can be taken.
func (s *Slot) mayTake(now time.Time) bool {
	r := s.record
	switch {
	case s.plan.Version < r.PlanVersion:
		// The owner acts on a later plan. Two sidecars with different plans
		// would go on taking the slot from each other.
		return false
	case s.version == 0 || r.Released:
		return true
	case r.Owner == s.config.Owner && !s.hasOwned:
		// An earlier start of this very sidecar, whose port this one holds. A
		// process that has owned the slot would meet a later start, on a VM
		// that replaces its own, and the two would take it from each other.
		return true
	default:
		return now.Sub(s.seenAt) >= s.config.TakeoverAfter ||
			now.Sub(s.wantedAt) >= s.config.TakeoverMax
	}
}

func (s *Slot) beginAcquire(now time.Time) {
	if s.version != 0 && !s.record.Released {
		s.metrics.takeovers.Inc(1)
	}
	s.clockAt = s.record.Clock
	s.takenAt = now
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

// startWrite stamps and encodes next; advance sends it.
func (s *Slot) startWrite(now time.Time, p purpose, next Record) {
	next.WriteID = s.writeID()
	next.PlanVersion = max(next.PlanVersion, s.plan.Version)
	next.Clock = s.clock(now)
	value, err := next.Encode()
	if err != nil {
		log.WithError(err).WithField("object", s.name()).Error("claim record cannot be written")
		return
	}
	invariant.Check(len(value) <= next.bytes() && len(value) <= sharedstate.MaxValue, "claim records are bounded",
		"%s has %d bytes, expected %d", s.name(), len(value), next.bytes())
	s.purpose = p
	s.pending = next
	s.write = sharedstate.NewWrite(s.name(), s.version, value, next.WriteID)
}

// clock returns Record.Clock of now. Time without an owner does not count, so
// that results are kept for their retention at least.
func (s *Slot) clock(now time.Time) int64 {
	return s.clockAt + now.Sub(s.takenAt).Milliseconds()
}
