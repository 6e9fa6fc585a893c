package claims

import (
	"errors"
	"time"

	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// advance emits the next store call, if one is due.
func (s *Slot) advance(now time.Time) {
	if s.callInFlight {
		return
	}
	if s.write == nil {
		s.startNext(now)
	}
	if s.callInFlight || s.write == nil {
		return
	}
	if now.Before(s.retryAt) {
		s.emit(Wake{At: s.retryAt})
		return
	}
	s.callStore(s.write.NextCall())
}

func (s *Slot) callStore(c sharedstate.Call) {
	s.callInFlight = true
	e := StoreCall{Call: c, Name: s.name()}
	if c == sharedstate.CallPut {
		e.Version = s.write.BaseVersion
		e.Value = s.write.Value
	}
	s.emit(e)
}

// startNext starts the next write or read, or requests a Wake for it.
func (s *Slot) startNext(now time.Time) {
	switch {
	case !s.owned && !s.wanted():
	case now.Before(s.retryAt):
		s.emit(Wake{At: s.retryAt})
	case !s.owned:
		s.callStore(sharedstate.CallGet)
	case len(s.queue) > 0:
		s.beginCommit(now)
	case len(s.unrecorded) > 0 && (!s.wanted() || !now.Before(s.unrecordedSince.Add(maxResultDelay))):
		s.beginCommit(now)
	case len(s.unrecorded) > 0:
		s.emit(Wake{At: s.unrecordedSince.Add(maxResultDelay)})
	case !s.wanted() && s.Running() == 0:
		s.beginRelease(now)
	}
}

func (s *Slot) getDone(now time.Time, ev GetDone) {
	s.callInFlight = false
	if s.write == nil {
		s.recordRead(now, ev)
		return
	}
	s.write.GetDone(ev.Object, ev.Err)
	if ev.Err != nil {
		s.storeFailed(now)
	}
	s.finishWrite(now, nil)
}

func (s *Slot) putDone(now time.Time, ev PutDone) {
	s.callInFlight = false
	if s.write == nil {
		return
	}
	s.write.PutDone(ev.Version, ev.Err)
	// A conflict is not a failure of the store: while the write is in doubt, it
	// makes the next read conclusive.
	if errors.Is(ev.Err, sharedstate.ErrNotSent) {
		s.storeFailed(now)
	}
	s.finishWrite(now, ev.Err)
}

// storeFailed delays the next attempt and rejects the requests whose claims
// cannot be confirmed. Their callers get "not run", which holds because a claim
// without a waiting request is never granted.
func (s *Slot) storeFailed(now time.Time) {
	s.retryAt = now.Add(s.backoff.Next(s.random))
	s.storeDown = true
	for _, name := range s.keysIn(keyCommitting) {
		k := s.keys[name]
		s.reply(k.token, storeUnavailable)
		k.token = 0
	}
	s.rejectQueued(storeUnavailable)
}

// finishWrite handles the outcome of the write in flight once it is certain.
func (s *Slot) finishWrite(now time.Time, err error) {
	if s.write.NextCall() != sharedstate.CallNone {
		return
	}
	w := s.write
	s.write = nil
	switch {
	case w.Outcome() == sharedstate.Applied:
		s.writeApplied(now, w.Object().Version)
	case w.Outcome() == sharedstate.NotApplied && !errors.Is(err, sharedstate.ErrConflict):
		s.writeNotApplied(now)
	default:
		s.ownershipLost(now)
	}
}

// writeApplied makes the pending record the current one.
func (s *Slot) writeApplied(now time.Time, version uint64) {
	s.metrics.commits.Inc(1)
	s.backoff.Reset()
	s.retryAt = now
	s.storeDown = false
	before := s.record
	s.record = s.pending
	s.version = version
	s.observeEpoch(s.record.Epoch)
	invariant.Check(s.record.Owner == s.config.Owner && s.record.Incarnation == s.config.Incarnation,
		"a slot has one owner", "%s: record of owner %s written by %s", s.name(), s.record.Owner, s.config.Owner)
	switch s.purpose {
	case acquire:
		s.acquired()
	case commit:
		invariant.Check(before.Epoch == s.record.Epoch, "a slot has one owner",
			"%s: epoch changed from %d to %d within a commit", s.name(), before.Epoch, s.record.Epoch)
		s.committed(now)
	case release:
		s.rejectQueued(notOwner)
		s.owned = false
		s.keys = map[string]*key{}
		s.emit(Ownership{Owned: false, Epoch: s.record.Epoch})
	}
}

// writeNotApplied reverts a write that certainly did not take effect.
func (s *Slot) writeNotApplied(now time.Time) {
	for _, name := range s.keysIn(keyCommitting) {
		k := s.keys[name]
		s.reply(k.token, storeUnavailable)
		s.cancelQueued(name, k)
	}
	s.rebuildUnrecorded(now)
}

// rebuildUnrecorded recomputes the list of unrecorded keys.
func (s *Slot) rebuildUnrecorded(now time.Time) {
	s.unrecorded = nil
	s.recording = nil
	for _, name := range s.keysIn(keyFinished, keyCancelled) {
		s.markUnrecorded(now, name)
	}
}

// ownershipLost ends the ownership after another sidecar wrote the record.
// Granted calls continue, but their results are no longer recorded.
func (s *Slot) ownershipLost(now time.Time) {
	for _, name := range s.keysIn(keyQueued, keyCommitting) {
		s.reply(s.keys[name].token, notOwner)
	}
	if s.owned {
		s.metrics.lostSlots.Inc(1)
		s.wantedSince = now
		s.versionSince = now
		s.emit(Ownership{Owned: false, Epoch: s.record.Epoch})
	}
	s.owned = false
	s.keys = map[string]*key{}
	s.queue = nil
	s.unrecorded = nil
	s.recording = nil
	s.retryAt = now.Add(s.backoff.Next(s.random))
}

func (s *Slot) observeEpoch(epoch uint64) {
	invariant.Check(epoch >= s.maxEpoch, "epochs only rise",
		"%s: epoch went from %d to %d", s.name(), s.maxEpoch, epoch)
	s.maxEpoch = max(s.maxEpoch, epoch)
}
