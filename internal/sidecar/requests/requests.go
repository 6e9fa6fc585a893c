// Package requests implements the request table of a sidecar: the requests that
// wait or run, the outcomes of finished ones, and the attempts that must never
// start.
//
// A Table is a state machine without I/O, clock or goroutines. It answers every
// Start with a complete answer or a refusal with a correct verdict, and
// guarantees:
//
//   - An attempt runs at most once, and a request that is not idempotent runs
//     at most once over all its attempts.
//   - An attempt that was reported as "not run" never starts afterwards. The
//     ledger remembers it for as long as a delayed frame could start it.
//   - Nothing starts after its deadline or after it was cancelled.
//   - The number of concurrent runs never exceeds the backend server's slots.
//
// The phases of a request:
//
//	(Start) -> claiming -> queued -> running -> (finished)
//
// Only calls with an idempotency key pass through claiming. A request can be
// rejected in every phase; only a running one can complete with an answer.
package requests

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/queue"
	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// Default values of Config fields.
const (
	// DefaultMaxFrameAge is several times the transit time of a frame on a
	// working link, plus the silence after which a link is closed.
	DefaultMaxFrameAge = 30 * time.Second
	// DefaultMaxRecords holds one minute of requests at 1000 per second.
	DefaultMaxRecords = 1 << 16
	// DefaultMaxRunTime exceeds the longest deadline that a caller can set.
	DefaultMaxRunTime = 15 * time.Minute
	// DefaultRetryAfter is the retry hint of refusals without a better estimate.
	// Jitter is added so that requests rejected together do not retry together.
	DefaultRetryAfter = 500 * time.Millisecond
)

// Config configures a Table. Slots, QueueLength, MaxAnswerBytes and ResumeWait are
// required; a zero in any other field selects its default.
type Config struct {
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int
	// QueueLength limits the requests waiting for a claim and, separately, those
	// waiting for a slot.
	QueueLength int
	// MaxAnswerBytes limits the memory of cached answers and of answers in progress.
	MaxAnswerBytes int
	// ResumeWait is how long an idempotent run continues without a stream, so
	// that a later attempt can resume it.
	ResumeWait time.Duration
	// MaxFrameAge is the age from which a Start is rejected without further checks.
	MaxFrameAge time.Duration
	// MaxRecords limits the number of outcome records.
	MaxRecords int
	// MaxRunTime is the time after which a run is cancelled even if it is not
	// idempotent.
	MaxRunTime time.Duration
	// ModelEngine reports whether the backend server is a model engine: after a run
	// that failed with CodeAnswerBroken nothing starts until Admit.
	ModelEngine bool
}

// Table is the request table. It is not safe for concurrent use.
type Table struct {
	cfg Config
	rng *rand.Rand

	active     map[key]*request
	byItemID   map[string]*request
	byStream   map[Stream]*request
	byRun      map[RunID]*request
	byClaim    map[ClaimID]*request
	queue      *queue.Queue
	ledger     *ledger
	lastSerial uint64

	// closedReason is the refusal for new requests; nil while admitting.
	closedReason *verdict.Error
	// suspect is set when a run broke off and the engine may have crashed. Admit
	// clears it: the engine's state has been read since.
	suspect bool
	engine  EngineReport
	rates   rateMeter

	effects []Effect
	// currentEvent is the event that Step is processing. After a panic it is the
	// event that caused it.
	currentEvent Event
}

// New returns an empty Table that rejects all requests until Admit.
func New(cfg Config, rng *rand.Rand) *Table {
	cfg.MaxFrameAge = cmp.Or(cfg.MaxFrameAge, DefaultMaxFrameAge)
	cfg.MaxRecords = cmp.Or(cfg.MaxRecords, DefaultMaxRecords)
	cfg.MaxRunTime = cmp.Or(cfg.MaxRunTime, DefaultMaxRunTime)
	return &Table{
		cfg:          cfg,
		rng:          rng,
		active:       map[key]*request{},
		byItemID:     map[string]*request{},
		byStream:     map[Stream]*request{},
		byRun:        map[RunID]*request{},
		byClaim:      map[ClaimID]*request{},
		queue:        queue.New(queue.Config{MaxItems: cfg.QueueLength, KVBlockTokens: engine.KVBlockTokens}),
		ledger:       newLedger(cfg.MaxRecords, cfg.MaxAnswerBytes, cfg.MaxFrameAge),
		closedReason: verdict.NewRejection(verdict.CodeNoBackend, "the sidecar has just started", DefaultRetryAfter),
	}
}

// Step processes one event and returns the effects to carry out, in order.
func (t *Table) Step(now time.Time, event Event) []Effect {
	t.effects, t.currentEvent = nil, event
	t.dispatch(now, event)
	if _, ok := event.(ChunkReceived); !ok {
		// Chunks arrive by the thousand and never change what can start or expire.
		t.expire(now)
		t.startReady(now)
	}
	t.checkInvariants()
	t.currentEvent = nil
	return t.effects
}

func (t *Table) dispatch(now time.Time, event Event) {
	switch e := event.(type) {
	case StartReceived:
		t.startReceived(now, e)
	case CancelReceived:
		t.cancelReceived(now, e)
	case StreamClosed:
		t.streamClosed(now, e)
	case ResolveReceived:
		t.resolve(now, e)
	case ClaimDecided:
		t.claimDecided(now, e)
	case ChunkReceived:
		t.chunkReceived(now, e)
	case RunFinished:
		t.runFinished(now, e)
	case StopAdmitting:
		t.stopAdmitting(now, e)
	case Admit:
		t.closedReason, t.suspect = nil, false
	case HandOver:
		t.handOver(now, e)
	case EndRuns:
		t.endRuns(now)
	case EngineReport:
		t.engineReport(e)
	case Tick:
		t.ledger.expire(now)
	}
}

// Running returns the number of requests that the backend server runs or may
// still be running.
func (t *Table) Running() int { return len(t.byRun) }

// Active returns the number of requests without an outcome: waiting for a claim,
// queued or running.
func (t *Table) Active() int { return len(t.active) }

// Admitting reports whether new requests are admitted.
func (t *Table) Admitting() bool { return t.closedReason == nil }

// NextTick returns the latest time at which Step must be called with a Tick.
func (t *Table) NextTick(now time.Time) time.Time {
	if len(t.active) == 0 {
		return now.Add(idleTick)
	}
	return now.Add(busyTick)
}

const (
	// busyTick limits how late after its deadline a request is answered.
	busyTick = 10 * time.Millisecond
	idleTick = time.Second
)

// checkInvariants verifies what must hold between any two events.
func (t *Table) checkInvariants() {
	invariant.Check(len(t.byRun) <= t.cfg.Slots, "concurrency within slots",
		"%d requests run in %d slots", len(t.byRun), t.cfg.Slots)
	waiting := len(t.active) - len(t.byRun)
	invariant.Check(waiting <= 2*t.cfg.QueueLength, "bounded queue",
		"%d requests wait, limit %d", waiting, 2*t.cfg.QueueLength)
}

// activeBySerial returns the active requests, oldest first. Map iteration order
// is random and would make a test run with a given seed not reproducible.
func (t *Table) activeBySerial() []*request {
	return slices.SortedFunc(maps.Values(t.active), func(a, b *request) int {
		return cmp.Compare(a.serial, b.serial)
	})
}

func (t *Table) nextSerial() uint64 {
	t.lastSerial++
	return t.lastSerial
}

func (t *Table) emit(e Effect) { t.effects = append(t.effects, e) }

func (t *Table) logDecision(r *request, decision, reason string) {
	t.emit(LogDecision{Subject: r.key.requestID(), Decision: decision, Reason: reason})
}

// jitter returns d with a random offset of up to a quarter of d.
func (t *Table) jitter(d time.Duration) time.Duration {
	const spread = 4
	if d <= 0 {
		return 0
	}
	return d - d/spread + time.Duration(t.rng.Int64N(int64(2*d/spread)+1))
}
