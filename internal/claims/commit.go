package claims

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/invariant"
)

// A full record is shrunk to shrinkToQuarters/quarters of the maximum size, so
// that the commits after it do not all have to shrink it again.
const (
	shrinkToQuarters = 3
	quarters         = 4
)

// beginCommit starts a write of the record with all unrecorded results and all
// queued claims.
func (s *Slot) beginCommit(now time.Time) {
	next := s.record.clone()
	next.Clock = s.recordClock(now)
	next.expire(s.config.Retention)
	s.recording = s.unrecorded
	s.unrecorded = nil
	s.applyUnrecorded(next)
	claimed := s.addClaims(next)
	if claimed == 0 && len(s.recording) == 0 {
		return
	}
	s.startWrite(now, commit, next)
}

// applyUnrecorded adds the unrecorded results to next and removes the claims
// whose calls did not run.
func (s *Slot) applyUnrecorded(next Record) {
	for _, name := range s.recording {
		k := s.keys[name]
		if k == nil {
			continue
		}
		switch k.state {
		case keyFinished:
			c := next.Claims[name]
			result := k.result
			c.Result = &result
			c.RecordedAt = next.Clock
			c.RequestID = ""
			next.set(name, c)
		case keyCancelled, keyQueued:
			delete(next.Claims, name)
		}
	}
}

// addClaims adds the queued claims to next, as long as there is room for them
// and their results, and returns how many it added. It rejects the others.
func (s *Slot) addClaims(next Record) int {
	claimed := 0
	used := next.sizeBound() + s.reservedBytes()
	for _, name := range s.queue {
		k := s.keys[name]
		c := Claim{BodyDigest: k.request.BodyDigest, Epoch: next.Epoch, RequestID: k.request.RequestID}
		need := claimSizeBound(name, c) + s.config.ResultBytes
		if used+need > s.config.MaxBytes {
			next.shrink(s.config.MaxBytes * shrinkToQuarters / quarters)
			used = next.sizeBound() + s.reservedBytes()
		}
		if used+need > s.config.MaxBytes {
			s.metrics.rejectedFull.Inc(1)
			s.reply(k.token, Answer{Kind: Unavailable, Reason: "too many keys are kept", RetryAfter: retryFull})
			s.cancelQueued(name, k)
			continue
		}
		used += need
		claimed++
		_, before := next.Claims[name]
		invariant.Check(!before, "a key runs at most once",
			"%s: key %q claimed a second time, now for request %s", s.name(), name, k.request.RequestID)
		next.set(name, c)
		k.state = keyCommitting
	}
	s.queue = nil
	return claimed
}

// reservedBytes returns the room reserved for the results of running calls.
func (s *Slot) reservedBytes() int {
	return s.Running() * s.config.ResultBytes
}

// committed handles a commit that has taken effect.
func (s *Slot) committed(now time.Time) {
	recorded := s.recording
	s.recording = nil
	for _, name := range recorded {
		s.keyRecorded(name)
	}
	for _, name := range s.keysIn(keyCommitting) {
		s.claimRecorded(now, name, s.keys[name])
	}
}

// keyRecorded drops the in-memory state of a key that the record now reflects.
func (s *Slot) keyRecorded(name string) {
	k := s.keys[name]
	if k == nil {
		return
	}
	switch k.state {
	case keyFinished, keyCancelled:
		delete(s.keys, name)
	case keyQueued:
		k.replacesCancelled = false
	}
}

// claimRecorded grants the recorded claim of a key if a request still waits for
// it, and cancels the claim otherwise.
func (s *Slot) claimRecorded(now time.Time, name string, k *key) {
	c := s.record.Claims[name]
	invariant.Check(c.RequestID == k.request.RequestID && c.Epoch == s.record.Epoch && c.Result == nil,
		"a key runs at most once", "%s: key %q granted to request %s, but claimed for request %s",
		s.name(), name, k.request.RequestID, c.RequestID)
	if k.token == 0 {
		k.state = keyCancelled
		s.markUnrecorded(now, name)
		return
	}
	s.metrics.claims.Inc(1)
	k.state = keyRunning
	s.reply(k.token, Answer{Kind: Granted})
}
