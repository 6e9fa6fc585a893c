package claims

import (
	"slices"
	"time"

	"pistachioroad.dev/pistachioroad/internal/invariant"
)

// keyState is how far a key has come in this process.
type keyState uint8

const (
	// keyQueued waits for the next commit, keyCommitting for the one under way.
	keyQueued keyState = iota
	keyCommitting
	// keyRunning is granted, keyOwed has a result that is not recorded yet.
	keyRunning
	keyOwed
	// keyLost may have run; its result is lost.
	keyLost
	// keyDropped is recorded but did not run; the next commit removes it.
	keyDropped
)

type key struct {
	state   keyState
	request Request
	// token is that of the request that waits, 0 if none does.
	token  uint64
	result Result
	// replaces says that the record holds a claim of this key and epoch that
	// did not run.
	replaces bool
}

// refuseQueued answers the requests that are not part of a write yet.
func (s *Slot) refuseQueued(a Answer) {
	for _, name := range s.queue {
		k := s.keys[name]
		s.reply(k.token, a)
		s.forgetQueued(name, k)
	}
	s.queue = nil
}

// forgetQueued undoes a queued claim that nothing was written of.
func (s *Slot) forgetQueued(name string, k *key) {
	if k.replaces {
		k.state = keyDropped
		k.token = 0
		return
	}
	delete(s.keys, name)
}

func (s *Slot) asked(now time.Time, ev ClaimRequested) {
	answer, decided := s.lookUp(now, ev.Request)
	if decided {
		s.reply(ev.Token, answer)
		return
	}
	if len(s.queue) >= maxQueue {
		s.reply(ev.Token, Answer{Kind: Unavailable, Reason: "too many claims wait", RetryAfter: retryStore})
		return
	}
	_, replaces := s.keys[ev.Request.Key]
	s.keys[ev.Request.Key] = &key{
		state: keyQueued, request: ev.Request, token: ev.Token, replaces: replaces,
	}
	s.queue = append(s.queue, ev.Request.Key)
}

// lookUp answers what needs no new claim.
func (s *Slot) lookUp(now time.Time, r Request) (Answer, bool) {
	if len(r.Key) == 0 || len(r.Key) > MaxKey {
		return Answer{Kind: Unavailable, Reason: "the key is empty or too long"}, true
	}
	if !s.owned && !s.wanted() {
		return notOwner, true
	}
	if !s.owned {
		return Answer{Kind: Unavailable, Reason: "the key's slot is being taken over", RetryAfter: retryStore}, true
	}
	if k, ok := s.keys[r.Key]; ok && k.state != keyDropped {
		return s.lookUpLive(k, r), true
	}
	if c, ok := s.record.Claims[r.Key]; ok && s.keys[r.Key] == nil {
		return s.lookUpRecorded(c, r), true
	}
	switch {
	case !s.wanted():
		return notOwner, true
	case s.storeDown && (s.write != nil || now.Before(s.retryAt)):
		return down, true
	default:
		return Answer{}, false
	}
}

func (s *Slot) lookUpLive(k *key, r Request) Answer {
	if k.request.BodyDigest != r.BodyDigest {
		return Answer{Kind: OtherBody}
	}
	switch {
	case k.state == keyOwed:
		return Answer{Kind: Replay, Result: k.result}
	case k.state == keyLost:
		return Answer{Kind: MayHaveRun}
	case k.state == keyCommitting && k.token == 0:
		// Nobody runs it any more, but whether it is recorded is not known.
		return down
	default:
		return Answer{Kind: InProgress, RetryAfter: retryInProgress}
	}
}

func (s *Slot) lookUpRecorded(c Claim, r Request) Answer {
	switch {
	case c.BodyDigest != r.BodyDigest:
		return Answer{Kind: OtherBody}
	case c.Result != nil:
		return Answer{Kind: Replay, Result: *c.Result}
	default:
		invariant.Check(c.Epoch < s.record.Epoch, "live claims are known",
			"%s: key %q of epoch %d is not known to its owner", s.name(), r.Key, c.Epoch)
		return Answer{Kind: MayHaveRun}
	}
}

func (s *Slot) abandoned(now time.Time, ev Abandoned) {
	k := s.keys[ev.Key]
	if k == nil || k.token != ev.Token {
		return
	}
	switch k.state {
	case keyQueued:
		s.queue = without(s.queue, ev.Key)
		s.forgetQueued(ev.Key, k)
	case keyCommitting:
		k.token = 0
	case keyRunning:
		s.notStarted(now, k.request)
	}
}

// granted returns the key of r if its call was granted and has not ended.
func (s *Slot) granted(r Request) *key {
	k := s.keys[r.Key]
	if k == nil || k.state != keyRunning || k.request.RequestID != r.RequestID {
		return nil
	}
	return k
}

func (s *Slot) finished(now time.Time, ev Finished) {
	k := s.granted(ev.Request)
	if k == nil {
		return
	}
	k.state = keyOwed
	k.result = ev.Result.bounded(s.config.ResultBytes)
	s.changed(now, ev.Request.Key)
}

// notStarted takes back a claim of this very process, which alone can know
// that its call did not run.
func (s *Slot) notStarted(now time.Time, r Request) {
	k := s.granted(r)
	if k == nil {
		return
	}
	k.state = keyDropped
	k.token = 0
	s.changed(now, r.Key)
}

func (s *Slot) lostResult(r Request) {
	if k := s.granted(r); k != nil {
		k.state = keyLost
	}
}

// changed notes that the record no longer says what is known of a key.
func (s *Slot) changed(now time.Time, name string) {
	if len(s.unsettled) == 0 {
		s.owedSince = now
	}
	s.unsettled = append(s.unsettled, name)
}

// in returns the keys in one of the states, in order, so that equal seeds give
// equal runs.
func (s *Slot) in(states ...keyState) []string {
	names := []string{}
	for name, k := range s.keys {
		if slices.Contains(states, k.state) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func without(names []string, name string) []string {
	kept := names[:0]
	for _, n := range names {
		if n != name {
			kept = append(kept, n)
		}
	}
	return kept
}
