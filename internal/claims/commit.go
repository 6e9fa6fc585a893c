package claims

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/invariant"
)

// shrinkTo is the part of the largest size, in quarters, to which a full record
// is shrunk, so that not every commit has to.
const (
	shrinkTo = 3
	quarters = 4
)

// beginCommit writes one record with all results that are owed and all claims
// that wait.
func (s *Slot) beginCommit(now time.Time) {
	next := s.record.clone()
	next.Clock = s.clock(now)
	next.expire(s.config.Retention)
	s.settling = s.unsettled
	s.unsettled = nil
	s.settleKeys(next)
	claimed := s.addClaims(next)
	if claimed == 0 && len(s.settling) == 0 {
		return
	}
	s.startWrite(now, commit, next)
}

// settleKeys puts the results that are owed into next, and removes the claims
// that did not run.
func (s *Slot) settleKeys(next Record) {
	for _, name := range s.settling {
		k := s.keys[name]
		if k == nil {
			continue
		}
		switch k.state {
		case keyOwed:
			c := next.Claims[name]
			result := k.result
			c.Result = &result
			c.Done = next.Clock
			c.RequestID = ""
			next.set(name, c)
		case keyDropped, keyQueued:
			delete(next.Claims, name)
		}
	}
}

// addClaims puts the claims that wait into next, as far as there is room for
// them and their results, and returns how many.
func (s *Slot) addClaims(next Record) int {
	claimed := 0
	used := next.bytes() + s.reservedBytes()
	for _, name := range s.queue {
		k := s.keys[name]
		c := Claim{BodyDigest: k.request.BodyDigest, Epoch: next.Epoch, RequestID: k.request.RequestID}
		need := claimBytes(name, c) + s.config.ResultBytes
		if used+need > s.config.MaxBytes {
			next.shrink(s.config.MaxBytes * shrinkTo / quarters)
			used = next.bytes() + s.reservedBytes()
		}
		if used+need > s.config.MaxBytes {
			s.metrics.full.Inc(1)
			s.reply(k.token, Answer{Kind: Unavailable, Reason: "too many keys are kept", RetryAfter: retryFull})
			s.forgetQueued(name, k)
			continue
		}
		used += need
		claimed++
		_, before := next.Claims[name]
		invariant.Check(!before, "a key runs at most once",
			"%s: key %q is claimed twice, for %s now", s.name(), name, k.request.RequestID)
		next.set(name, c)
		k.state = keyCommitting
	}
	s.queue = nil
	return claimed
}

// reservedBytes is the room for the results of calls that still run.
func (s *Slot) reservedBytes() int {
	return s.Running() * s.config.ResultBytes
}

// committed takes a commit that is in force.
func (s *Slot) committed(now time.Time) {
	settled := s.settling
	s.settling = nil
	for _, name := range settled {
		s.settledKey(name)
	}
	for _, name := range s.in(keyCommitting) {
		s.claimed(now, name, s.keys[name])
	}
}

// settledKey forgets a key of which the record now says all.
func (s *Slot) settledKey(name string) {
	k := s.keys[name]
	if k == nil {
		return
	}
	switch k.state {
	case keyOwed, keyDropped:
		delete(s.keys, name)
	case keyQueued:
		k.replaces = false
	}
}

// claimed grants a key that is recorded, if somebody still waits for it.
func (s *Slot) claimed(now time.Time, name string, k *key) {
	c := s.record.Claims[name]
	invariant.Check(c.RequestID == k.request.RequestID && c.Epoch == s.record.Epoch && c.Result == nil,
		"a key runs at most once", "%s: key %q granted to %s, claimed for %s",
		s.name(), name, k.request.RequestID, c.RequestID)
	if k.token == 0 {
		k.state = keyDropped
		s.changed(now, name)
		return
	}
	s.metrics.claims.Inc(1)
	k.state = keyRunning
	s.reply(k.token, Answer{Kind: Granted})
}
