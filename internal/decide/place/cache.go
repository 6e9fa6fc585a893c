package place

import (
	"container/list"

	"pistachioroad.dev/pistachioroad/internal/request"
)

// prefixCache is an estimate of the prompt segments that an engine has cached: those
// sent there, evicted least recently used first.
type prefixCache struct {
	tokens, limit int
	// maxSegments limits the number of segments, 0 for no limit.
	maxSegments int
	segments    map[uint64]*list.Element
	// lru has the segments in order of use, most recent first.
	lru *list.List
}

type cachedSegment struct {
	id     uint64
	tokens int
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, segments: make(map[uint64]*list.Element), lru: list.New()}
}

// cachedPrefix returns how many leading tokens of the prompt are cached. A segment
// counts only if all segments before it are cached too.
func (c *prefixCache) cachedPrefix(segments []request.Segment) int {
	tokens := 0
	for _, s := range segments {
		if _, ok := c.segments[s.ID]; !ok {
			break
		}
		tokens += s.Tokens
	}
	return tokens
}

// touch records that the engine prefills or fetches the segments, and returns those
// that were not cached before.
func (c *prefixCache) touch(segments []request.Segment) (added []request.Segment) {
	for _, s := range segments {
		if e, ok := c.segments[s.ID]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.segments[s.ID] = c.lru.PushFront(cachedSegment{id: s.ID, tokens: s.Tokens})
		c.tokens += s.Tokens
		added = append(added, s)
	}
	for c.exceeded() {
		c.remove(c.lru.Back())
	}
	return added
}

// exceeded reports whether a segment has to be removed.
func (c *prefixCache) exceeded() bool {
	n := c.lru.Len()
	return n > 0 && (c.tokens > c.limit || (c.maxSegments > 0 && n > c.maxSegments))
}

// drop records that the engine has not cached the segments.
func (c *prefixCache) drop(segments []request.Segment) {
	for _, s := range segments {
		if e, ok := c.segments[s.ID]; ok {
			c.remove(e)
		}
	}
}

func (c *prefixCache) remove(e *list.Element) {
	s := e.Value.(cachedSegment)
	c.lru.Remove(e)
	delete(c.segments, s.id)
	c.tokens -= s.tokens
}
