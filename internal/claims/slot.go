package claims

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/platform"
)

// The timing and bounds of a Slot.
const (
	// DefaultTakeoverAfter is how long a new owner waits for a former one that
	// writes nothing. Taking a slot over is safe at any time; doing it while
	// the former owner finishes its calls would only lose their results.
	DefaultTakeoverAfter = 10 * time.Second
	// DefaultTakeoverMax bounds the wait for a former owner that goes on
	// writing, because it has not learned of the new plan.
	DefaultTakeoverMax = 60 * time.Second
	// DefaultRetention is how long results are kept.
	DefaultRetention = 24 * time.Hour
	// DefaultMaxBytes bounds the record. Each commit writes the whole record,
	// and the store takes a megabyte.
	DefaultMaxBytes = 512 << 10
	// DefaultResultBytes bounds a kept result, encoded.
	DefaultResultBytes = 2 << 10

	// resultLinger is how long a result waits for a claim to share its commit.
	// Until then it is kept in memory only; a crash makes it MayHaveRun.
	resultLinger = 50 * time.Millisecond
	// maxQueue bounds the requests of a slot that wait for a commit.
	maxQueue = 256
	// firstPause and longestPause bound the time between attempts to reach the
	// store, and between looks at a slot whose former owner has not released.
	firstPause   = 100 * time.Millisecond
	longestPause = 2 * time.Second

	retryInProgress = time.Second
	retryNotOwner   = 500 * time.Millisecond
	retryStore      = 2 * time.Second
	retryFull       = 60 * time.Second
)

var (
	notOwner = Answer{Kind: NotOwner, RetryAfter: retryNotOwner}
	down     = Answer{Kind: Unavailable, Reason: "the store is down", RetryAfter: retryStore}
)

// SlotConfig says who owns the slot and what it may keep. Zero values mean the
// defaults.
type SlotConfig struct {
	Service string
	Slot    int
	// Owner is the backend server, Incarnation this start of its sidecar.
	Owner       string
	Incarnation string

	Retention     time.Duration
	TakeoverAfter time.Duration
	TakeoverMax   time.Duration
	MaxBytes      int
	ResultBytes   int
}

func (c SlotConfig) complete() SlotConfig {
	c.Retention = orElse(c.Retention, DefaultRetention)
	c.TakeoverAfter = orElse(c.TakeoverAfter, DefaultTakeoverAfter)
	c.TakeoverMax = orElse(c.TakeoverMax, DefaultTakeoverMax)
	c.MaxBytes = orElse(c.MaxBytes, DefaultMaxBytes)
	c.ResultBytes = orElse(c.ResultBytes, DefaultResultBytes)
	return c
}

func orElse[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// Event is something that happened to a Slot.
type Event interface{ event() }

// The events of a Slot.
type (
	// Plan says whether the plan of that version gives the slot to this owner.
	Plan struct {
		Version uint64
		Owned   bool
	}
	// Drain gives the slot up, once what it claimed is finished.
	Drain struct{}
	// Retain changes how long results are kept.
	Retain struct{ Retention time.Duration }
	// Asked is a request; its Reply carries the same Token.
	Asked struct {
		Token   uint64
		Request Request
	}
	// Abandoned says that nobody waits for the Reply any more, and that the
	// call of a Granted one was not started.
	Abandoned struct {
		Token uint64
		Key   string
	}
	// Finished is the result of a granted call.
	Finished struct {
		Request Request
		Result  Result
	}
	// NotStarted says that a granted call did not run and never will.
	NotStarted struct{ Request Request }
	// Lost says that a granted call may have run and has no result.
	Lost struct{ Request Request }
	// GetDone and PutDone end the Call effect.
	GetDone struct {
		Object platform.Object
		Err    error
	}
	PutDone struct {
		Version uint64
		Err     error
	}
	// Tick says that the time of a Wake has come.
	Tick struct{}
)

func (Plan) event()       {}
func (Drain) event()      {}
func (Retain) event()     {}
func (Asked) event()      {}
func (Abandoned) event()  {}
func (Finished) event()   {}
func (NotStarted) event() {}
func (Lost) event()       {}
func (GetDone) event()    {}
func (PutDone) event()    {}
func (Tick) event()       {}

// Effect is something that a Slot asks for.
type Effect interface{ effect() }

// The effects of a Slot.
type (
	// Call asks for one call of the store. A slot has one at a time.
	Call struct {
		Call platform.Call
		Name string
		// Version and Value are those of a CallPut.
		Version uint64
		Value   []byte
	}
	// Reply answers the Asked of that Token.
	Reply struct {
		Token  uint64
		Answer Answer
	}
	// Wake asks for a Tick at that time. It replaces the Wake before.
	Wake struct{ At time.Time }
	// Ownership says that the slot was taken or given up.
	Ownership struct {
		Owned bool
		Epoch uint64
	}
)

func (Call) effect()      {}
func (Reply) effect()     {}
func (Wake) effect()      {}
func (Ownership) effect() {}

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

// purpose is what the write under way is for.
type purpose uint8

const (
	acquire purpose = iota
	commit
	release
)

// Slot is the state machine of one key slot as one sidecar sees it. It is not
// safe for use by several goroutines.
//
// A former owner may be paused at any point and wake later. It can run only
// what it has recorded, each write names the version it replaces, and taking a
// slot over is a write: so its next write fails, and it runs nothing more. A
// call that it recorded before is never granted to another.
type Slot struct {
	config SlotConfig
	random *rand.Rand
	pauses platform.Backoff

	plan     Plan
	draining bool
	owned    bool

	// record and version are those of the last write that is certain, while
	// owned, or those last read.
	record   Record
	version  uint64
	epochMax uint64
	// corruptVersion is that of the last record that could not be read.
	corruptVersion uint64
	// takenAt is when the slot was taken; clockAt is Record.Clock of then.
	takenAt time.Time
	clockAt int64

	// wantedAt is when the plan gave the slot, seenAt when the version of the
	// former owner's record was first seen.
	wantedAt time.Time
	seenAt   time.Time

	keys  map[string]*key
	queue []string
	// unsettled are the keys of which the record does not say all that is known,
	// and settling those that the write under way puts right.
	unsettled []string
	settling  []string
	// owedSince is when the oldest change that is not recorded came up.
	owedSince time.Time

	write   *platform.Write
	purpose purpose
	pending Record
	calling bool
	// storeDown says that the last call of the store failed.
	storeDown bool
	retryAt   time.Time

	effects []Effect
	metrics slotMetrics
}

type slotMetrics struct {
	commits, claims, takeovers, lostSlots, corrupt, full metrics.Counter
}

func newSlotMetrics() slotMetrics {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("claims."+name, nil)
	}
	return slotMetrics{
		commits:   counter("commits"),
		claims:    counter("claimed"),
		takeovers: counter("takeovers"),
		lostSlots: counter("slots.lost"),
		corrupt:   counter("records.corrupt"),
		full:      counter("records.full"),
	}
}

// NewSlot returns a Slot that owns nothing.
func NewSlot(config SlotConfig, random *rand.Rand) *Slot {
	return &Slot{
		config:  config.complete(),
		random:  random,
		pauses:  platform.Backoff{First: firstPause, Longest: longestPause},
		keys:    map[string]*key{},
		metrics: newSlotMetrics(),
	}
}

// Owned reports whether this sidecar owns the slot, as far as it knows.
func (s *Slot) Owned() bool { return s.owned }

// Idle reports whether nothing is owned, under way or waiting.
func (s *Slot) Idle() bool { return !s.owned && s.write == nil && !s.calling }

// Running returns how many calls were granted and have not ended.
func (s *Slot) Running() int { return len(s.in(keyRunning)) }

// Epoch returns the epoch of the record last seen.
func (s *Slot) Epoch() uint64 { return s.record.Epoch }

// Step takes one event and returns what to do.
func (s *Slot) Step(now time.Time, ev Event) []Effect {
	s.effects = nil
	switch ev := ev.(type) {
	case Plan:
		s.planned(now, ev)
	case Drain:
		s.draining = true
		s.refuseQueued(notOwner)
	case Retain:
		s.config.Retention = ev.Retention
	case Asked:
		s.asked(now, ev)
	case Abandoned:
		s.abandoned(now, ev)
	case Finished:
		s.finished(now, ev)
	case NotStarted:
		s.notStarted(now, ev.Request)
	case Lost:
		s.lostResult(ev.Request)
	case GetDone:
		s.getDone(now, ev)
	case PutDone:
		s.putDone(now, ev)
	case Tick:
	}
	s.advance(now)
	return s.effects
}

func (s *Slot) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *Slot) reply(token uint64, a Answer) {
	if token != 0 {
		s.emit(Reply{Token: token, Answer: a})
	}
}

// wanted reports whether the slot is to be owned.
func (s *Slot) wanted() bool { return s.plan.Owned && !s.draining }

func (s *Slot) planned(now time.Time, p Plan) {
	if p.Version < s.plan.Version {
		return
	}
	if p.Owned && !s.plan.Owned {
		s.wantedAt = now
		s.seenAt = now
		s.retryAt = now
		s.pauses.Reset()
	}
	s.plan = p
	if !p.Owned {
		s.refuseQueued(notOwner)
	}
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

func (s *Slot) asked(now time.Time, ev Asked) {
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

// writeID returns a random id of 128 bits.
func (s *Slot) writeID() string {
	return fmt.Sprintf("%016x%016x", s.random.Uint64(), s.random.Uint64())
}

func (s *Slot) name() string { return ObjectName(s.config.Service, s.config.Slot) }

func without(names []string, name string) []string {
	kept := names[:0]
	for _, n := range names {
		if n != name {
			kept = append(kept, n)
		}
	}
	return kept
}

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

func (s *Slot) call(c platform.Call) {
	s.calling = true
	e := Call{Call: c, Name: s.name()}
	if c == platform.CallPut {
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
		s.call(platform.CallGet)
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
	if errors.Is(ev.Err, platform.ErrNotSent) {
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
	if s.write.Next() != platform.CallNone {
		return
	}
	w := s.write
	s.write = nil
	switch {
	case w.Outcome() == platform.Applied:
		s.applied(now, w.Object().Version)
	case w.Outcome() == platform.NotApplied && !errors.Is(err, platform.ErrConflict):
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
