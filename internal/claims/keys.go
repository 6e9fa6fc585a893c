package claims

import (
	"slices"
	"time"

	"pistachioroad.dev/pistachioroad/internal/invariant"
)

// keyState is the progress of a key in this process.
type keyState uint8

const (
	// keyQueued waits for the next commit, keyCommitting for the one in flight.
	keyQueued keyState = iota
	keyCommitting
	// keyRunning was granted; keyFinished has a result that is not recorded yet.
	keyRunning
	keyFinished
	// keyResultLost may have run; its result is lost.
	keyResultLost
	// keyCancelled is recorded but did not run; the next commit removes it from
	// the record.
	keyCancelled
)

type key struct {
	state   keyState
	request Request
	// token identifies the request that waits for a Reply; 0 means none.
	token  uint64
	result Result
	// replacesCancelled is set if the record holds a claim of this key and epoch
	// whose call did not run.
	replacesCancelled bool
}

// rejectQueued replies to the queued requests, which are not part of a write yet.
func (s *Slot) rejectQueued(a Answer) {
	for _, name := range s.queue {
		k := s.keys[name]
		s.reply(k.token, a)
		s.cancelQueued(name, k)
	}
	s.queue = nil
}

// cancelQueued undoes a queued claim that was not written. The key returns to the
// state that it had before.
func (s *Slot) cancelQueued(name string, k *key) {
	if k.replacesCancelled {
		k.state = keyCancelled
		k.token = 0
		return
	}
	delete(s.keys, name)
}

func (s *Slot) claimRequested(now time.Time, ev ClaimRequested) {
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
		state: keyQueued, request: ev.Request, token: ev.Token, replacesCancelled: replaces,
	}
	s.queue = append(s.queue, ev.Request.Key)
}

// lookUp returns the answer to a request that needs no new claim. It returns
// false if the request needs one.
func (s *Slot) lookUp(now time.Time, r Request) (Answer, bool) {
	if len(r.Key) == 0 || len(r.Key) > MaxKeyBytes {
		return Answer{Kind: Unavailable, Reason: "the key is empty or too long"}, true
	}
	if !s.owned && !s.wanted() {
		return notOwner, true
	}
	if !s.owned {
		return Answer{Kind: Unavailable, Reason: "the key's slot is being taken over", RetryAfter: retryStore}, true
	}
	if k, ok := s.keys[r.Key]; ok && k.state != keyCancelled {
		return s.lookUpInMemory(k, r), true
	}
	if c, ok := s.record.Claims[r.Key]; ok && s.keys[r.Key] == nil {
		return s.lookUpRecorded(c, r), true
	}
	switch {
	case !s.wanted():
		return notOwner, true
	case s.storeDown && (s.write != nil || now.Before(s.retryAt)):
		return storeUnavailable, true
	default:
		return Answer{}, false
	}
}

func (s *Slot) lookUpInMemory(k *key, r Request) Answer {
	if k.request.BodyDigest != r.BodyDigest {
		return Answer{Kind: BodyMismatch}
	}
	switch {
	case k.state == keyFinished:
		return Answer{Kind: Replay, Result: k.result}
	case k.state == keyResultLost:
		return Answer{Kind: MayHaveRun}
	case k.state == keyCommitting && k.token == 0:
		// The requester is gone, so the call will not run, but the outcome of the
		// write that claims it is unknown.
		return storeUnavailable
	default:
		return Answer{Kind: InProgress, RetryAfter: retryInProgress}
	}
}

func (s *Slot) lookUpRecorded(c Claim, r Request) Answer {
	switch {
	case c.BodyDigest != r.BodyDigest:
		return Answer{Kind: BodyMismatch}
	case c.Result != nil:
		return Answer{Kind: Replay, Result: *c.Result}
	default:
		invariant.Check(c.Epoch < s.record.Epoch, "live claims are known",
			"%s: key %q was claimed in the current epoch %d, but the owner has no state for it", s.name(), r.Key, c.Epoch)
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
		s.cancelQueued(ev.Key, k)
	case keyCommitting:
		k.token = 0
	case keyRunning:
		s.notStarted(now, k.request)
	}
}

// runningKey returns the key of r if its call was granted and has not finished,
// and nil otherwise.
func (s *Slot) runningKey(r Request) *key {
	k := s.keys[r.Key]
	if k == nil || k.state != keyRunning || k.request.RequestID != r.RequestID {
		return nil
	}
	return k
}

func (s *Slot) finished(now time.Time, ev Finished) {
	k := s.runningKey(ev.Request)
	if k == nil {
		return
	}
	k.state = keyFinished
	k.result = ev.Result.withoutBodyOver(s.config.ResultBytes)
	s.markUnrecorded(now, ev.Request.Key)
}

// notStarted cancels a claim that was granted in this process. No other process
// can know that its call did not run.
func (s *Slot) notStarted(now time.Time, r Request) {
	k := s.runningKey(r)
	if k == nil {
		return
	}
	k.state = keyCancelled
	k.token = 0
	s.markUnrecorded(now, r.Key)
}

func (s *Slot) resultLost(r Request) {
	if k := s.runningKey(r); k != nil {
		k.state = keyResultLost
	}
}

// markUnrecorded marks a key whose state is not reflected in the record yet.
func (s *Slot) markUnrecorded(now time.Time, name string) {
	if len(s.unrecorded) == 0 {
		s.unrecordedSince = now
	}
	s.unrecorded = append(s.unrecorded, name)
}

// keysIn returns the keys in any of the states, sorted, so that simulations with
// equal seeds are reproducible.
func (s *Slot) keysIn(states ...keyState) []string {
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
	remaining := names[:0]
	for _, n := range names {
		if n != name {
			remaining = append(remaining, n)
		}
	}
	return remaining
}
