package claims

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/pause"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
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
	pauses pause.Backoff

	plan     Plan
	draining bool
	owned    bool
	// hasOwned says that this process has owned the slot before.
	hasOwned bool

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

	write   *sharedstate.Write
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
		pauses:  pause.Backoff{First: firstPause, Longest: longestPause},
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
	case ClaimRequested:
		s.asked(now, ev)
	case Abandoned:
		s.abandoned(now, ev)
	case Finished:
		s.finished(now, ev)
	case NotStarted:
		s.notStarted(now, ev.Request)
	case ResultLost:
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

// writeID returns a random id of 128 bits.
func (s *Slot) writeID() string {
	return fmt.Sprintf("%016x%016x", s.random.Uint64(), s.random.Uint64())
}

func (s *Slot) name() string { return ObjectName(s.config.Service, s.config.Slot) }
