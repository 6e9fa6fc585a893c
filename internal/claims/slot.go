package claims

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/pause"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// Timing and limits of a Slot.
const (
	// DefaultTakeoverAfter is how long a new owner waits for a former owner that
	// writes nothing. Taking over is safe at any time; doing so while the former
	// owner finishes its calls would only lose their results.
	DefaultTakeoverAfter = 10 * time.Second
	// DefaultTakeoverMax is how long a new owner waits for a former owner that
	// continues to write because it has not received the new plan.
	DefaultTakeoverMax = 60 * time.Second
	// DefaultRetention is how long results are stored.
	DefaultRetention = 24 * time.Hour
	// DefaultMaxBytes limits the size of a record. Each commit writes the whole
	// record, and the store accepts at most a megabyte.
	DefaultMaxBytes = 512 << 10
	// DefaultResultBytes limits the encoded size of a recorded result.
	DefaultResultBytes = 2 << 10

	// maxResultDelay is how long a result waits for a new claim to share its
	// commit with. Until the commit the result is in memory only: after a crash
	// its key is answered with MayHaveRun.
	maxResultDelay = 50 * time.Millisecond
	// maxQueue limits the requests of a slot that wait for a commit.
	maxQueue = 256
	// minRetryDelay and maxRetryDelay bound the backoff between attempts to reach
	// the store, and between reads of a slot that its former owner has not
	// released.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second

	// Retry delays that are suggested to callers.
	retryInProgress = time.Second
	retryNotOwner   = 500 * time.Millisecond
	retryStore      = 2 * time.Second
	retryFull       = 60 * time.Second
)

var (
	notOwner         = Answer{Kind: NotOwner, RetryAfter: retryNotOwner}
	storeUnavailable = Answer{Kind: Unavailable, Reason: "the store is down", RetryAfter: retryStore}
)

// SlotConfig configures a Slot. Zero durations and sizes select the defaults.
type SlotConfig struct {
	Service string
	Slot    int
	// Owner is the backend server; Incarnation identifies this start of its
	// sidecar.
	Owner       string
	Incarnation string

	Retention     time.Duration
	TakeoverAfter time.Duration
	TakeoverMax   time.Duration
	MaxBytes      int
	ResultBytes   int
}

func (c SlotConfig) withDefaults() SlotConfig {
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

// purpose is the purpose of the write in flight.
type purpose uint8

const (
	acquire purpose = iota
	commit
	release
)

// Slot is the state machine of one key slot, as seen by one sidecar. It is not
// safe for concurrent use.
//
// A former owner may be paused at any point and resume later. A call runs only
// after its claim is recorded, each write is conditional on the version that it
// replaces, and taking over a slot is a write too. The next write of the former
// owner therefore fails, and it grants no further claims. A key that it claimed
// before is never granted to another owner.
type Slot struct {
	config  SlotConfig
	random  *rand.Rand
	backoff pause.Backoff

	plan     Plan
	draining bool
	owned    bool
	// hasOwned is set once this process has owned the slot.
	hasOwned bool

	// record and version are, while the slot is owned, those of the last
	// confirmed write, otherwise those last read.
	record   Record
	version  uint64
	maxEpoch uint64
	// corruptVersion is the version of the last record that could not be parsed.
	corruptVersion uint64
	// acquiredAt is when the slot was acquired; clockAtAcquire is the
	// Record.Clock at that time.
	acquiredAt     time.Time
	clockAtAcquire int64

	// wantedSince is when the plan assigned the slot to this owner or the slot
	// was lost; versionSince is when the current version of the former owner's
	// record was first read, but not before wantedSince.
	wantedSince  time.Time
	versionSince time.Time

	keys  map[string]*key
	queue []string
	// unrecorded are the keys with a result or a cancellation that is not in the
	// record yet; recording are those included in the write in flight.
	unrecorded []string
	recording  []string
	// unrecordedSince is the time of the oldest unrecorded change.
	unrecordedSince time.Time

	write        *sharedstate.Write
	purpose      purpose
	pending      Record
	callInFlight bool
	// storeDown is set if a store call of a write failed after the last
	// successful write.
	storeDown bool
	retryAt   time.Time

	effects []Effect
	metrics slotMetrics
}

type slotMetrics struct {
	commits, claims, takeovers, lostSlots, corrupt, rejectedFull metrics.Counter
}

func newSlotMetrics() slotMetrics {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("claims."+name, nil)
	}
	return slotMetrics{
		commits:      counter("commits"),
		claims:       counter("claimed"),
		takeovers:    counter("takeovers"),
		lostSlots:    counter("slots.lost"),
		corrupt:      counter("records.corrupt"),
		rejectedFull: counter("records.full"),
	}
}

// NewSlot returns a Slot that is not owned.
func NewSlot(config SlotConfig, random *rand.Rand) *Slot {
	return &Slot{
		config:  config.withDefaults(),
		random:  random,
		backoff: pause.Backoff{Initial: minRetryDelay, Max: maxRetryDelay},
		keys:    map[string]*key{},
		metrics: newSlotMetrics(),
	}
}

// Owned reports whether this sidecar owns the slot, to its own knowledge.
func (s *Slot) Owned() bool { return s.owned }

// Idle reports whether the slot is not owned and no write or store call is in
// progress.
func (s *Slot) Idle() bool { return !s.owned && s.write == nil && !s.callInFlight }

// Running returns the number of granted calls that have not finished.
func (s *Slot) Running() int { return len(s.keysIn(keyRunning)) }

// Epoch returns the epoch of the record last read or written.
func (s *Slot) Epoch() uint64 { return s.record.Epoch }

// Step handles one event and returns the effects to carry out.
func (s *Slot) Step(now time.Time, ev Event) []Effect {
	s.effects = nil
	switch ev := ev.(type) {
	case Plan:
		s.planChanged(now, ev)
	case Drain:
		s.draining = true
		s.rejectQueued(notOwner)
	case RetentionChanged:
		s.config.Retention = ev.Retention
	case ClaimRequested:
		s.claimRequested(now, ev)
	case Abandoned:
		s.abandoned(now, ev)
	case Finished:
		s.finished(now, ev)
	case NotStarted:
		s.notStarted(now, ev.Request)
	case ResultLost:
		s.resultLost(ev.Request)
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

// wanted reports whether this sidecar should own the slot.
func (s *Slot) wanted() bool { return s.plan.Owned && !s.draining }

func (s *Slot) planChanged(now time.Time, p Plan) {
	if p.Version < s.plan.Version {
		return
	}
	if p.Owned && !s.plan.Owned {
		s.wantedSince = now
		s.versionSince = now
		s.retryAt = now
		s.backoff.Reset()
	}
	s.plan = p
	if !p.Owned {
		s.rejectQueued(notOwner)
	}
}

// writeID returns a random 128-bit ID.
func (s *Slot) writeID() string {
	return fmt.Sprintf("%016x%016x", s.random.Uint64(), s.random.Uint64())
}

func (s *Slot) name() string { return ObjectName(s.config.Service, s.config.Slot) }
