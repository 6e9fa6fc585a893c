package modelengine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"pistachioroad.dev/pistachioroad/internal/engine"
)

// maxEvents is the maximum number of cache events that are retained.
const maxEvents = 4096

// cache is an LRU prefix cache of KV blocks. It publishes its events with a delay
// and loses some.
type cache struct {
	capacity int
	// recency lists the cached blocks, the most recently used one first.
	recency  *list.List
	elements map[uint64]*list.Element

	lag          time.Duration
	lossRate     float64
	rng          *rand.Rand
	events       []event
	nextSequence uint64
}

// event is a cache event that readers see from visibleAt on.
type event struct {
	visibleAt time.Time
	body      engine.CacheEvent
}

func newCache(c Config) *cache {
	return &cache{
		capacity:     c.KVBlocks,
		recency:      list.New(),
		elements:     map[uint64]*list.Element{},
		lag:          c.EventLag,
		lossRate:     c.EventLossRate,
		rng:          rand.New(rand.NewPCG(c.Seed, 1)),
		nextSequence: 1,
	}
}

// cachedPrefix returns the number of leading blocks that are cached.
func (c *cache) cachedPrefix(blocks []uint64) int {
	for i, block := range blocks {
		if c.elements[block] == nil {
			return i
		}
	}
	return len(blocks)
}

// store caches the blocks and evicts the least recently used ones.
func (c *cache) store(now time.Time, blocks []uint64) {
	var stored, evicted []uint64
	for _, block := range blocks {
		if e := c.elements[block]; e != nil {
			c.recency.MoveToFront(e)
			continue
		}
		c.elements[block] = c.recency.PushFront(block)
		stored = append(stored, block)
	}
	for c.recency.Len() > c.capacity {
		oldest := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.elements, oldest)
		evicted = append(evicted, oldest)
	}
	if len(stored)+len(evicted) > 0 {
		c.publish(now, engine.CacheEvent{Stored: stored, Evicted: evicted})
	}
}

// publish assigns the next sequence number to the event and drops it with
// probability lossRate.
func (c *cache) publish(now time.Time, body engine.CacheEvent) {
	body.Sequence = c.nextSequence
	c.nextSequence++
	if c.rng.Float64() < c.lossRate {
		return
	}
	c.events = append(c.events, event{visibleAt: now.Add(c.lag), body: body})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the events after a sequence number that are visible by now.
func (c *cache) eventsAfter(now time.Time, after uint64) []engine.CacheEvent {
	visible := []engine.CacheEvent{}
	for _, e := range c.events {
		if e.body.Sequence > after && !now.Before(e.visibleAt) {
			visible = append(visible, e.body)
		}
	}
	return visible
}

func (c *cache) clear(now time.Time) {
	evicted := make([]uint64, 0, len(c.elements))
	for block := range c.elements {
		evicted = append(evicted, block)
	}
	c.recency.Init()
	clear(c.elements)
	if len(evicted) > 0 {
		c.publish(now, engine.CacheEvent{Evicted: evicted})
	}
}
