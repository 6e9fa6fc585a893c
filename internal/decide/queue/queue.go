// Package queue orders the work that waits at a sidecar.
//
// It answers long work among short, and callers who fill the queue. First in,
// first out lets a lookup wait behind a portfolio of fifty thousand tokens,
// which one notices by a first-token tail as long as the longest prompt; by
// shortest job first the long ones never run. Here items wait in lanes by
// class and size, lanes share the engine by weight, callers within a lane by
// the work that they have had, and what is left is ordered by deadline. What
// has expired is taken out before it costs anything.
//
// Room is counted in batch slots and KV cache pieces, never in requests: ten
// long prompts fill the cache that a hundred short ones leave half empty, and
// an engine past its cache preempts work that it has begun.
package queue

import (
	"cmp"
	"time"
)

const (
	// DefaultItems bounds the items that wait: at a drain of even a hundred
	// items a second, more would be past their deadlines.
	DefaultItems = 2_000
	// DefaultPieceTokens is the size of a KV cache piece.
	DefaultPieceTokens = 2_000
	// DefaultLong is the prompt size, in tokens, from which an item waits in
	// the long lane of its class: about four pieces, which one engine
	// prefills in roughly a second.
	DefaultLong = 8_000
	// DefaultLongShare is the long lane's share of its class when both wait.
	DefaultLongShare = 0.5
	// DefaultQuantum is how much more work, in tokens, a caller may have had
	// than the least served one and still go by its deadline alone. One long
	// prompt: finer would undo deadline order among equals.
	DefaultQuantum = 8_000
	// DefaultHold is how long an item that does not fit into the free pieces
	// may be passed by ones that do; then room is kept for it.
	DefaultHold = time.Second
	// OutputCost is what one output token costs in prompt tokens, for sharing.
	OutputCost = 8
)

// DefaultClassWeights is the weight of class 0, 1, 2 and so on; a class past
// its end has the last weight. Lookups come before drafts, drafts before
// background work, and none of them stops.
var DefaultClassWeights = []float64{8, 4, 1}

// Config sets a Queue. The zero value of a field means its default.
type Config struct {
	MaxItems         int
	PieceTokens      int
	LongPromptTokens int
	LongShare        float64
	Quantum          float64
	Hold             time.Duration
	ClassWeights     []float64
	// Pieces is the KV cache of the engine; an item that needs more is
	// refused. 0 means that it is not known.
	Pieces int
}

// Item is one request that waits.
type Item struct {
	ID     string
	Class  int
	Caller string
	// Weight scales the caller's share; 0 means 1.
	Weight       float64
	PromptTokens int
	// CachedTokens of the prompt need no prefill.
	CachedTokens int
	OutputTokens int
	Deadline     time.Time
	// RunTime is how long the item takes once started; 0 if not known.
	RunTime time.Duration
}

// Room is what an engine can take now.
type Capacity struct {
	Slots  int
	Pieces int
}

// Reason says why an item was taken out without running.
type Reason uint8

// The reasons.
const (
	// Expired: the deadline can no longer be met.
	Expired Reason = iota
	// Displaced: the queue was full and its caller held most of it.
	Displaced
)

func (r Reason) String() string {
	if r == Displaced {
		return "displaced by a caller with less work queued"
	}
	return "expired while queued"
}

// Removed is an item that the owner has to answer: it has not run.
type Removed struct {
	Item
	Reason Reason
}

// Queue holds the items that wait at one sidecar. Its methods are for one
// goroutine.
type Queue struct {
	cfg Config
	// lanes are two for each class, short and long, in that order.
	lanes   []lane
	byID    map[string]*entry
	callers map[string]*caller
	// served is the virtual time: the service of the least served caller
	// that waits.
	served float64
	// pass is the virtual time of the lanes.
	pass      float64
	tokens    int
	drainRate float64
	displaced []Removed
	// held is the item that room is kept for, since heldAt.
	held   string
	heldAt time.Time
	serial uint64
}

type lane struct {
	entries []*entry
	pass    float64
	weight  float64
}

type entry struct {
	Item
	lane   *lane
	cost   float64
	serial uint64
}

type caller struct {
	served float64
	queued float64
	items  int
}

// New returns an empty Queue.
func New(cfg Config) *Queue {
	cfg.MaxItems = cmp.Or(cfg.MaxItems, DefaultItems)
	cfg.PieceTokens = cmp.Or(cfg.PieceTokens, DefaultPieceTokens)
	cfg.LongPromptTokens = cmp.Or(cfg.LongPromptTokens, DefaultLong)
	cfg.LongShare = cmp.Or(cfg.LongShare, DefaultLongShare)
	cfg.Quantum = cmp.Or(cfg.Quantum, DefaultQuantum)
	cfg.Hold = cmp.Or(cfg.Hold, DefaultHold)
	if len(cfg.ClassWeights) == 0 {
		cfg.ClassWeights = DefaultClassWeights
	}
	return &Queue{
		cfg:     cfg,
		lanes:   newLanes(cfg),
		byID:    make(map[string]*entry),
		callers: make(map[string]*caller),
	}
}

// SetDrainRate tells the cost tokens a second that the engine finishes when
// busy, for the waits that refusals quote.
func (q *Queue) SetDrainRate(tokens float64) { q.drainRate = tokens }

// Len returns how many items wait.
func (q *Queue) Len() int { return len(q.byID) }

// QueuedTokens returns the uncached prompt tokens that wait.
func (q *Queue) QueuedTokens() int { return q.tokens }

// Cost returns the work of an item in prompt-token equivalents.
func Cost(promptTokens, cachedTokens, outputTokens int) int {
	return max(1, promptTokens-cachedTokens+OutputCost*outputTokens)
}

// Push adds an item, or says after which time it is worth trying again. A full
// queue displaces an item of the caller that holds most of it, if that is
// another one; Expired returns it.
func (q *Queue) Push(now time.Time, i Item) (ok bool, retryAfter time.Duration) {
	if _, ok := q.byID[i.ID]; ok {
		return true, 0
	}
	if q.cfg.Pieces > 0 && q.pieces(i) > q.cfg.Pieces {
		return false, 0
	}
	if hopeless(now, i) {
		return false, q.drainTime()
	}
	e := q.entry(i)
	if len(q.byID) >= q.cfg.MaxItems && !q.displace(e) {
		return false, q.drainTime()
	}
	q.add(e)
	return true, 0
}

// Remove takes out an item that was cancelled. It reports whether it waited.
func (q *Queue) Remove(id string) bool {
	e, ok := q.byID[id]
	if ok {
		q.remove(e)
	}
	return ok
}

// Expired takes out what can no longer meet its deadline, and returns it with
// what was displaced. None of it has run.
func (q *Queue) TakeExpired(now time.Time) []Removed {
	removed := q.displaced
	q.displaced = nil
	var late []*entry
	for _, l := range q.lanes {
		for _, e := range l.entries {
			if hopeless(now, e.Item) {
				late = append(late, e)
			}
		}
	}
	for _, e := range late {
		q.remove(e)
		removed = append(removed, Removed{Item: e.Item, Reason: Expired})
	}
	return removed
}

// Pop takes out the item to run next in the given room. It never returns an
// item whose deadline can no longer be met.
func (q *Queue) Pop(now time.Time, room Capacity) (Item, bool) {
	if room.Slots <= 0 {
		return Item{}, false
	}
	q.advance()
	for _, l := range q.lanesByPass() {
		e := q.next(now, l, room)
		if e == nil {
			continue
		}
		if q.blocked(now, e, room) {
			return Item{}, false
		}
		q.charge(l, e)
		q.remove(e)
		return e.Item, true
	}
	return Item{}, false
}

func hopeless(now time.Time, i Item) bool {
	return !i.Deadline.IsZero() && now.Add(i.RunTime).After(i.Deadline)
}

func (q *Queue) drainTime() time.Duration {
	if q.drainRate <= 0 {
		return time.Second
	}
	return time.Duration(float64(q.tokens) / q.drainRate * float64(time.Second))
}

func (q *Queue) pieces(i Item) int {
	return (i.PromptTokens + i.OutputTokens + q.cfg.PieceTokens - 1) / q.cfg.PieceTokens
}

func (q *Queue) entry(i Item) *entry {
	q.serial++
	return &entry{
		Item:   i,
		lane:   q.laneOf(i),
		cost:   float64(Cost(i.PromptTokens, i.CachedTokens, i.OutputTokens)) / cmp.Or(i.Weight, 1),
		serial: q.serial,
	}
}
