// Package queue schedules the requests that are queued at a sidecar.
//
// It guards against short requests stuck behind long ones, and callers that fill the queue.
// With first in, first out, a short request waits behind a prompt of 50,000 tokens;
// symptom: the tail of the time to first token is as long as the longest prefill. With
// shortest job first, long requests starve. Instead, items are queued in lanes by class and
// size; lanes share the engine by weight (stride scheduling), callers within a lane by the
// work served to them, and items of equally served callers are ordered by deadline. Expired
// items are removed before they cost anything.
//
// Capacity is counted in batch slots and KV cache blocks, never in requests: ten long
// prompts fill a cache that a hundred short ones leave half empty, and an engine whose
// cache is full preempts requests that it has started.
package queue

import (
	"cmp"
	"time"
)

const (
	// DefaultMaxItems is the maximum number of queued items. Even at 100 completed items
	// per second, more would miss their deadlines.
	DefaultMaxItems = 2_000
	// DefaultKVBlockTokens is the size of a KV cache block.
	DefaultKVBlockTokens = 2_000
	// DefaultLongPromptTokens is the number of uncached prompt tokens from which an item
	// uses the long lane of its class: about four blocks, which one engine prefills in
	// roughly 1 s.
	DefaultLongPromptTokens = 8_000
	// DefaultLongShare is the long lane's share of its class while both lanes have items.
	DefaultLongShare = 0.5
	// DefaultMaxServiceLead is how much more work, in tokens, a caller may have been served
	// than the least served one and still be ordered by deadline alone. It is one long
	// prompt: less would override the deadline order among equally served callers.
	DefaultMaxServiceLead = 8_000
	// DefaultReserveAfter is how long an item that does not fit into the free blocks may be
	// passed over by items that do, before capacity is reserved for it.
	DefaultReserveAfter = time.Second
	// OutputCost is the cost of an output token in prompt tokens, for sharing.
	OutputCost = 8
)

// DefaultClassWeights holds the weights of class 0, 1, 2 and so on; further classes have
// the last weight. Interactive requests are preferred to normal ones, those to batch work,
// and none of them starves.
var DefaultClassWeights = []float64{8, 4, 1}

// Config configures a Queue. A zero field means its default.
type Config struct {
	MaxItems         int
	KVBlockTokens    int
	LongPromptTokens int
	LongShare        float64
	MaxServiceLead   float64
	ReserveAfter     time.Duration
	ClassWeights     []float64
	// KVBlocks is the size of the engine's KV cache in blocks; an item that needs more is
	// rejected. 0 means unknown.
	KVBlocks int
}

// Item is a queued request.
type Item struct {
	ID     string
	Class  int
	Caller string
	// Weight scales the caller's share; 0 means 1.
	Weight       float64
	PromptTokens int
	// CachedTokens is the number of prompt tokens that need no prefill.
	CachedTokens int
	OutputTokens int
	Deadline     time.Time
	// RunTime is the expected run time once started; 0 if unknown.
	RunTime time.Duration
}

// Capacity is what an engine has free: batch slots and KV cache blocks.
type Capacity struct {
	Slots    int
	KVBlocks int
}

// Reason is the reason why an item was removed without running.
type Reason uint8

// The reasons.
const (
	// Expired means that the deadline can no longer be met.
	Expired Reason = iota
	// Displaced means that the queue was full and that its caller had the most work in
	// it.
	Displaced
)

func (r Reason) String() string {
	if r == Displaced {
		return "displaced by a caller with less work queued"
	}
	return "expired while queued"
}

// Removed is an item that was removed without running. The queue's owner must answer its
// request.
type Removed struct {
	Item
	Reason Reason
}

// Queue holds the queued items of one sidecar. It is not safe for concurrent use.
type Queue struct {
	cfg Config
	// lanes holds two lanes per class: short, then long.
	lanes   []lane
	byID    map[string]*queuedItem
	callers map[string]*caller
	// virtualService is the virtual time of the callers: the service received by the least
	// served caller with queued items.
	virtualService float64
	// virtualPass is the virtual time of the lanes.
	virtualPass float64
	tokens      int
	drainRate   float64
	displaced   []Removed
	// reservedFor is the ID of the item for which capacity is reserved once it has been
	// passed over for ReserveAfter since passedOverSince.
	reservedFor     string
	passedOverSince time.Time
	serial          uint64
}

type lane struct {
	items  []*queuedItem
	pass   float64
	weight float64
}

type queuedItem struct {
	Item
	lane   *lane
	cost   float64
	serial uint64
}

type caller struct {
	served      float64
	queuedCost  float64
	queuedItems int
}

// New returns an empty Queue.
func New(cfg Config) *Queue {
	cfg.MaxItems = cmp.Or(cfg.MaxItems, DefaultMaxItems)
	cfg.KVBlockTokens = cmp.Or(cfg.KVBlockTokens, DefaultKVBlockTokens)
	cfg.LongPromptTokens = cmp.Or(cfg.LongPromptTokens, DefaultLongPromptTokens)
	cfg.LongShare = cmp.Or(cfg.LongShare, DefaultLongShare)
	cfg.MaxServiceLead = cmp.Or(cfg.MaxServiceLead, DefaultMaxServiceLead)
	cfg.ReserveAfter = cmp.Or(cfg.ReserveAfter, DefaultReserveAfter)
	if len(cfg.ClassWeights) == 0 {
		cfg.ClassWeights = DefaultClassWeights
	}
	return &Queue{
		cfg:     cfg,
		lanes:   newLanes(cfg),
		byID:    make(map[string]*queuedItem),
		callers: make(map[string]*caller),
	}
}

// SetDrainRate sets the rate, in cost tokens per second, at which the busy engine completes
// work. It determines the retry delay of rejected items.
func (q *Queue) SetDrainRate(tokens float64) { q.drainRate = tokens }

// Len returns the number of queued items.
func (q *Queue) Len() int { return len(q.byID) }

// QueuedTokens returns the number of uncached prompt tokens of all queued items.
func (q *Queue) QueuedTokens() int { return q.tokens }

// Cost returns the cost of an item in prompt-token equivalents.
func Cost(promptTokens, cachedTokens, outputTokens int) int {
	return max(1, promptTokens-cachedTokens+OutputCost*outputTokens)
}

// Push adds an item, or returns the delay after which to retry. If the queue is full, it
// displaces an item of the caller with the most work queued, if that is another caller;
// TakeExpired returns the displaced item.
func (q *Queue) Push(now time.Time, i Item) (ok bool, retryAfter time.Duration) {
	if _, ok := q.byID[i.ID]; ok {
		return true, 0
	}
	if q.cfg.KVBlocks > 0 && q.kvBlocks(i) > q.cfg.KVBlocks {
		return false, 0
	}
	if missesDeadline(now, i) {
		return false, q.drainDuration()
	}
	item := q.newQueuedItem(i)
	if len(q.byID) >= q.cfg.MaxItems && !q.displace(item) {
		return false, q.drainDuration()
	}
	q.add(item)
	return true, 0
}

// Remove removes a cancelled item and reports whether it was queued.
func (q *Queue) Remove(id string) bool {
	item, ok := q.byID[id]
	if ok {
		q.remove(item)
	}
	return ok
}

// TakeExpired removes the items that can no longer meet their deadline and returns them
// together with displaced items. None of them has run.
func (q *Queue) TakeExpired(now time.Time) []Removed {
	removed := q.displaced
	q.displaced = nil
	var late []*queuedItem
	for _, l := range q.lanes {
		for _, item := range l.items {
			if missesDeadline(now, item.Item) {
				late = append(late, item)
			}
		}
	}
	for _, item := range late {
		q.remove(item)
		removed = append(removed, Removed{Item: item.Item, Reason: Expired})
	}
	return removed
}

// Pop removes and returns the item to run next with the given free capacity. It never
// returns an item that can no longer meet its deadline.
func (q *Queue) Pop(now time.Time, free Capacity) (Item, bool) {
	if free.Slots <= 0 {
		return Item{}, false
	}
	q.advance()
	for _, l := range q.lanesByPass() {
		item := q.next(now, l, free)
		if item == nil {
			continue
		}
		if q.takesReservedCapacity(now, item, free) {
			return Item{}, false
		}
		q.charge(l, item)
		q.remove(item)
		return item.Item, true
	}
	return Item{}, false
}

func missesDeadline(now time.Time, i Item) bool {
	return !i.Deadline.IsZero() && now.Add(i.RunTime).After(i.Deadline)
}

func (q *Queue) drainDuration() time.Duration {
	if q.drainRate <= 0 {
		return time.Second
	}
	return time.Duration(float64(q.tokens) / q.drainRate * float64(time.Second))
}

func (q *Queue) kvBlocks(i Item) int {
	return (i.PromptTokens + i.OutputTokens + q.cfg.KVBlockTokens - 1) / q.cfg.KVBlockTokens
}

func (q *Queue) newQueuedItem(i Item) *queuedItem {
	q.serial++
	return &queuedItem{
		Item:   i,
		lane:   q.laneOf(i),
		cost:   float64(Cost(i.PromptTokens, i.CachedTokens, i.OutputTokens)) / cmp.Or(i.Weight, 1),
		serial: q.serial,
	}
}
