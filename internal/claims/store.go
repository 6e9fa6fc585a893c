package claims

import (
	"errors"
	"time"

	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// advance makes the next call of the store, if one is due.
func (s *Slot) advance(now time.Time) {
	if s.calling {
		return
	}
	if s.write == nil {
		s.begin(now)
	}
	if s.calling || s.write == nil {
		return
	}
	if now.Before(s.retryAt) {
		s.emit(Wake{At: s.retryAt})
		return
	}
	s.call(s.write.Next())
}

func (s *Slot) call(c sharedstate.Call) {
	s.calling = true
	e := StoreCall{Call: c, Name: s.name()}
	if c == sharedstate.CallPut {
		e.Version = s.write.Base
		e.Value = s.write.Value
	}
	s.emit(e)
}

// begin decides on the next write or read.
func (s *Slot) begin(now time.Time) {
	switch {
	case !s.owned && !s.wanted():
	case now.Before(s.retryAt):
		s.emit(Wake{At: s.retryAt})
	case !s.owned:
		s.call(sharedstate.CallGet)
	case len(s.queue) > 0:
		s.beginCommit(now)
	case len(s.unsettled) > 0 && (!s.wanted() || !now.Before(s.owedSince.Add(resultLinger))):
		s.beginCommit(now)
	case len(s.unsettled) > 0:
		s.emit(Wake{At: s.owedSince.Add(resultLinger)})
	case !s.wanted() && s.Running() == 0:
		s.beginRelease(now)
	}
}

func (s *Slot) getDone(now time.Time, ev GetDone) {
	s.calling = false
	if s.write == nil {
		s.seen(now, ev)
		return
	}
	s.write.GetDone(ev.Object, ev.Err)
	if ev.Err != nil {
		s.storeFailed(now)
	}
	s.written(now, nil)
}

func (s *Slot) putDone(now time.Time, ev PutDone) {
	s.calling = false
	if s.write == nil {
		return
	}
	s.write.PutDone(ev.Version, ev.Err)
	// A conflict while in doubt means that the next look is conclusive.
	if errors.Is(ev.Err, sharedstate.ErrNotSent) {
		s.storeFailed(now)
	}
	s.written(now, ev.Err)
}

// storeFailed pauses, and frees the callers whose claim cannot be settled: they
// are told "not run", which is true because a claim without a caller is never
// granted.
func (s *Slot) storeFailed(now time.Time) {
	s.retryAt = now.Add(s.pauses.Next(s.random))
	s.storeDown = true
	for _, name := range s.in(keyCommitting) {
		k := s.keys[name]
		s.reply(k.token, down)
		k.token = 0
	}
	s.refuseQueued(down)
}

// written takes the outcome of the write under way, if it is certain.
func (s *Slot) written(now time.Time, err error) {
	if s.write.Next() != sharedstate.CallNone {
		return
	}
	w := s.write
	s.write = nil
	switch {
	case w.Outcome() == sharedstate.Applied:
		s.applied(now, w.Object().Version)
	case w.Outcome() == sharedstate.NotApplied && !errors.Is(err, sharedstate.ErrConflict):
		s.notWritten(now)
	default:
		s.lostSlot(now)
	}
}

// applied makes the pending record the one in force.
func (s *Slot) applied(now time.Time, version uint64) {
	s.metrics.commits.Inc(1)
	s.pauses.Reset()
	s.retryAt = now
	s.storeDown = false
	before := s.record
	s.record = s.pending
	s.version = version
	s.sawEpoch(s.record.Epoch)
	invariant.Check(s.record.Owner == s.config.Owner && s.record.Incarnation == s.config.Incarnation,
		"a slot has one owner", "%s of %s written by %s", s.name(), s.record.Owner, s.config.Owner)
	switch s.purpose {
	case acquire:
		s.acquired()
	case commit:
		invariant.Check(before.Epoch == s.record.Epoch, "a slot has one owner",
			"%s went from epoch %d to %d in one commit", s.name(), before.Epoch, s.record.Epoch)
		s.committed(now)
	case release:
		s.refuseQueued(notOwner)
		s.owned = false
		s.keys = map[string]*key{}
		s.emit(Ownership{Owned: false, Epoch: s.record.Epoch})
	}
}

// notWritten undoes a write that certainly did not happen.
func (s *Slot) notWritten(now time.Time) {
	for _, name := range s.in(keyCommitting) {
		k := s.keys[name]
		s.reply(k.token, down)
		s.forgetQueued(name, k)
	}
	s.rebuildUnsettled(now)
}

// rebuildUnsettled lists anew what the record does not say yet.
func (s *Slot) rebuildUnsettled(now time.Time) {
	s.unsettled = nil
	s.settling = nil
	for _, name := range s.in(keyOwed, keyDropped) {
		s.changed(now, name)
	}
}

// lostSlot ends the ownership after another sidecar wrote the record. Calls
// that were granted go on; nothing waits for their results any more.
func (s *Slot) lostSlot(now time.Time) {
	for _, name := range s.in(keyQueued, keyCommitting) {
		s.reply(s.keys[name].token, notOwner)
	}
	if s.owned {
		s.metrics.lostSlots.Inc(1)
		s.wantedAt = now
		s.seenAt = now
		s.emit(Ownership{Owned: false, Epoch: s.record.Epoch})
	}
	s.owned = false
	s.keys = map[string]*key{}
	s.queue = nil
	s.unsettled = nil
	s.settling = nil
	s.retryAt = now.Add(s.pauses.Next(s.random))
}

func (s *Slot) sawEpoch(epoch uint64) {
	invariant.Check(epoch >= s.epochMax, "epochs only rise",
		"%s went from epoch %d to %d", s.name(), s.epochMax, epoch)
	s.epochMax = max(s.epochMax, epoch)
}
