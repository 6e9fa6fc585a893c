package place

import (
	"container/list"

	"pistachioroad.dev/pistachioroad/internal/request"
)

// cache is the guess of what an engine keeps of prompts: the parts sent there,
// least recently used first to go.
type cache struct {
	tokens, limit int
	parts         map[uint64]*list.Element
	// recent has the parts in order of use, the newest first.
	recent *list.List
}

type cachedPart struct {
	id     uint64
	tokens int
}

func newCache(limit int) *cache {
	return &cache{limit: limit, parts: make(map[uint64]*list.Element), recent: list.New()}
}

// leading returns how many tokens of the prompt are kept. A part counts only if
// all parts before it are kept too.
func (c *cache) leading(parts []request.Segment) int {
	tokens := 0
	for _, p := range parts {
		if _, ok := c.parts[p.ID]; !ok {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// use notes that the engine reads or fetches the parts, and returns those that it
// did not keep before.
func (c *cache) use(parts []request.Segment) (added []request.Segment) {
	for _, p := range parts {
		if e, ok := c.parts[p.ID]; ok {
			c.recent.MoveToFront(e)
			continue
		}
		c.parts[p.ID] = c.recent.PushFront(cachedPart{id: p.ID, tokens: p.Tokens})
		c.tokens += p.Tokens
		added = append(added, p)
	}
	for c.tokens > c.limit && c.recent.Len() > 0 {
		c.remove(c.recent.Back())
	}
	return added
}

// drop notes that the engine does not keep the parts.
func (c *cache) drop(parts []request.Segment) {
	for _, p := range parts {
		if e, ok := c.parts[p.ID]; ok {
			c.remove(e)
		}
	}
}

func (c *cache) remove(e *list.Element) {
	p := e.Value.(cachedPart)
	c.recent.Remove(e)
	delete(c.parts, p.id)
	c.tokens -= p.tokens
}
