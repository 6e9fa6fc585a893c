// Package requests holds the request table of a sidecar: what waits, what runs,
// what has ended, and what must never start any more.
//
// A Table is a state machine without I/O, clock or goroutine. It answers every
// Start with a whole answer or with a refusal whose verdict is true:
//
//   - An attempt runs at most once, and a request that is not idempotent runs
//     at most once over all its attempts.
//   - What was told "not run" never starts afterwards. The table remembers it
//     for as long as a frame about it can be late, see ledger.
//   - Nothing starts past its deadline or after it was given up.
//   - No more runs at once than the backend server has slots.
//
// The phases of a request:
//
//	(Start) -> claiming -> queued -> running -> (ended)
//
// Only calls with an idempotency key are claimed. Each phase can end in a
// refusal; only a running request can end in an answer.
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

// The defaults of a Config.
const (
	// DefaultMaxFrameAge is several times what a frame takes on a link that
	// works, with the silence after which a link is closed on top.
	DefaultMaxFrameAge = 30 * time.Second
	// DefaultRecords is a minute of a thousand requests a second.
	DefaultRecords = 1 << 16
	// DefaultMaxRun is longer than the longest deadline of a caller.
	DefaultMaxRun = 15 * time.Minute
	// DefaultRetryAfter is the hint of refusals that know no better. The rng
	// spreads it, so that those refused together do not come back together.
	DefaultRetryAfter = 500 * time.Millisecond
)

// Config sets a Table. Slots, QueueLength, ResultBytes and ResumeWait are
// needed; a zero in any other field means its default.
type Config struct {
	// Slots is how many requests the backend server runs at once.
	Slots int
	// QueueLength bounds the requests that wait, for a claim or for a slot.
	QueueLength int
	// ResultBytes bounds the answers kept.
	MaxAnswerBytes int
	// ResumeWait is how long a generation without a stream goes on.
	ResumeWait time.Duration
	// MaxFrameAge is the age from which a Start is refused unseen.
	MaxFrameAge time.Duration
	// Records bounds the requests remembered after they ended.
	Records int
	// MaxRun is when a run that may not be cancelled is given up for good.
	MaxRun time.Duration
	// Engine says that the backend server is a model engine: after a run that
	// ended with CodeBroken nothing starts until Admit.
	ModelEngine bool
}

// Table is the request table. Its methods are for one goroutine.
type Table struct {
	cfg Config
	rng *rand.Rand

	live    map[key]*request
	items   map[string]*request
	streams map[Stream]*request
	runs    map[RunID]*request
	claims  map[ClaimID]*request
	queue   *queue.Queue
	ledger  *ledger
	serial  uint64

	// closed is why nothing is admitted; nil while admitting.
	closed *verdict.Error
	// suspect says that the engine broke off; Admit says that its state has
	// been read since.
	suspect bool
	engine  EngineReport
	meter   meter

	effects []Effect
	// handling is the event that Step has not returned from.
	handling Event
}

// New returns an empty Table that admits nothing until Admit.
func New(cfg Config, rng *rand.Rand) *Table {
	cfg.MaxFrameAge = cmp.Or(cfg.MaxFrameAge, DefaultMaxFrameAge)
	cfg.Records = cmp.Or(cfg.Records, DefaultRecords)
	cfg.MaxRun = cmp.Or(cfg.MaxRun, DefaultMaxRun)
	return &Table{
		cfg:     cfg,
		rng:     rng,
		live:    map[key]*request{},
		items:   map[string]*request{},
		streams: map[Stream]*request{},
		runs:    map[RunID]*request{},
		claims:  map[ClaimID]*request{},
		queue:   queue.New(queue.Config{MaxItems: cfg.QueueLength, KVBlockTokens: engine.KVBlockTokens}),
		ledger:  newLedger(cfg.Records, cfg.MaxAnswerBytes, cfg.MaxFrameAge),
		closed:  verdict.NewRejection(verdict.CodeNoBackend, "the sidecar has just started", DefaultRetryAfter),
	}
}

// Step takes one event and returns what is to be done, in order.
func (t *Table) Step(now time.Time, event Event) []Effect {
	t.effects, t.handling = nil, event
	t.dispatch(now, event)
	if _, ok := event.(ChunkReceived); !ok {
		// Pieces come by the thousand and decide nothing.
		t.expire(now)
		t.startReady(now)
	}
	t.check()
	t.handling = nil
	return t.effects
}

func (t *Table) dispatch(now time.Time, event Event) {
	switch e := event.(type) {
	case StartReceived:
		t.arrived(now, e)
	case CancelReceived:
		t.cancelled(now, e)
	case StreamClosed:
		t.streamEnded(now, e)
	case ResolveReceived:
		t.resolve(now, e)
	case ClaimDecided:
		t.claimAnswered(now, e)
	case ChunkReceived:
		t.piece(now, e)
	case RunFinished:
		t.ended(now, e)
	case StopAdmitting:
		t.stopAdmitting(now, e)
	case Admit:
		t.closed, t.suspect = nil, false
	case HandOver:
		t.handOver(now)
	case EngineReport:
		t.engineReport(e)
	case Tick:
		t.ledger.expire(now)
	}
}

// Running returns how many requests the backend server runs, or may still run.
func (t *Table) Running() int { return len(t.runs) }

// Live returns how many requests have no outcome yet: waiting for a claim,
// queued or running.
func (t *Table) Active() int { return len(t.live) }

// Admitting reports whether new requests are admitted.
func (t *Table) Admitting() bool { return t.closed == nil }

// Next returns when to call Step with a Tick at the latest.
func (t *Table) Next(now time.Time) time.Time {
	if len(t.live) == 0 {
		return now.Add(idleTick)
	}
	return now.Add(busyTick)
}

const (
	// busyTick bounds how long after its deadline a request is answered.
	busyTick = 10 * time.Millisecond
	idleTick = time.Second
)

// check asserts what must hold between any two events.
func (t *Table) check() {
	invariant.Check(len(t.runs) <= t.cfg.Slots, "concurrency within slots",
		"%d run in %d slots", len(t.runs), t.cfg.Slots)
	waiting := len(t.live) - len(t.runs)
	invariant.Check(waiting <= 2*t.cfg.QueueLength, "bounded queue",
		"%d wait, at most %d may", waiting, 2*t.cfg.QueueLength)
}

// inOrder returns the requests without outcome, the oldest first: a map's own
// order differs from run to run, and a seed would not reproduce one.
func (t *Table) inOrder() []*request {
	return slices.SortedFunc(maps.Values(t.live), func(a, b *request) int {
		return cmp.Compare(a.serial, b.serial)
	})
}

func (t *Table) nextSerial() uint64 {
	t.serial++
	return t.serial
}

func (t *Table) emit(e Effect) { t.effects = append(t.effects, e) }

func (t *Table) note(r *request, decision, why string) {
	t.emit(Note{Subject: r.key.name(), Decision: decision, Why: why})
}

// retryAfter spreads d by a quarter to both sides.
func (t *Table) retryAfter(d time.Duration) time.Duration {
	const spread = 4
	if d <= 0 {
		return 0
	}
	return d - d/spread + time.Duration(t.rng.Int64N(int64(2*d/spread)+1))
}
