package modelengine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"pistachioroad.dev/pistachioroad/internal/engine"
)

// maxEvents is how many cache events are kept for readers.
const maxEvents = 4096

// cache is a prefix cache of bounded size that forgets the piece used longest
// ago. It publishes events late and with gaps.
type cache struct {
	pieces int
	order  *list.List
	at     map[uint64]*list.Element

	lag    time.Duration
	loss   float64
	rng    *rand.Rand
	events []event
	next   uint64
}

type event struct {
	visible time.Time
	body    engine.CacheEvent
}

func newCache(c Config) *cache {
	return &cache{
		pieces: c.Pieces,
		order:  list.New(),
		at:     map[uint64]*list.Element{},
		lag:    c.EventLag,
		loss:   c.EventLoss,
		rng:    rand.New(rand.NewPCG(c.Seed, 1)),
		next:   1,
	}
}

// hit returns how many leading pieces are cached.
func (c *cache) hit(pieces []uint64) int {
	for i, piece := range pieces {
		if c.at[piece] == nil {
			return i
		}
	}
	return len(pieces)
}

// store caches the pieces and evicts the ones used longest ago.
func (c *cache) store(now time.Time, pieces []uint64) {
	var stored, evicted []uint64
	for _, piece := range pieces {
		if e := c.at[piece]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.at[piece] = c.order.PushFront(piece)
		stored = append(stored, piece)
	}
	for c.order.Len() > c.pieces {
		oldest := c.order.Remove(c.order.Back()).(uint64)
		delete(c.at, oldest)
		evicted = append(evicted, oldest)
	}
	if len(stored)+len(evicted) > 0 {
		c.publish(now, engine.CacheEvent{Stored: stored, Evicted: evicted})
	}
}

// publish numbers the event, and sometimes loses it.
func (c *cache) publish(now time.Time, body engine.CacheEvent) {
	body.Sequence = c.next
	c.next++
	if c.rng.Float64() < c.loss {
		return
	}
	c.events = append(c.events, event{visible: now.Add(c.lag), body: body})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns what a reader sees by now.
func (c *cache) eventsAfter(now time.Time, after uint64) []engine.CacheEvent {
	seen := []engine.CacheEvent{}
	for _, e := range c.events {
		if e.body.Sequence > after && !now.Before(e.visible) {
			seen = append(seen, e.body)
		}
	}
	return seen
}

func (c *cache) clear(now time.Time) {
	evicted := make([]uint64, 0, len(c.at))
	for piece := range c.at {
		evicted = append(evicted, piece)
	}
	c.order.Init()
	clear(c.at)
	if len(evicted) > 0 {
		c.publish(now, engine.CacheEvent{Evicted: evicted})
	}
}
