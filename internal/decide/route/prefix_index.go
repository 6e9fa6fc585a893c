package route

import "time"

const (
	// defaultMaxBlocks limits the blocks in a PrefixIndex: about 3 MB, a tenth
	// of the memory budget of a node.
	defaultMaxBlocks = 32_768
	// maxHoldersPerBlock limits the backend servers stored for one block. A
	// prefix on more servers needs no index: it is cached nearly everywhere.
	maxHoldersPerBlock = 4
	// storedTTL is how long a cache event is valid.
	storedTTL = 10 * time.Minute
	// expectedTTL is how long a block is assumed to be cached at a server that
	// was sent its prompt, unless a cache event confirms it.
	expectedTTL = time.Minute
	// lostEventsTTL is how long blocks remain valid after cache events of their
	// server were lost, one of which may have reported an eviction.
	lostEventsTTL = 10 * time.Second
)

// PrefixIndex tracks which backend servers likely have which KV blocks in their
// prefix cache. Cache events arrive late and may be lost, so its results are
// hints: a wrong one costs a prefill and nothing else.
type PrefixIndex struct {
	limit      int
	blocks     map[uint64]*holders
	lostEvents map[string]lostEvents
	// insertionOrder has the keys of blocks, oldest first, for eviction.
	insertionOrder []uint64
}

// lostEvents is when cache events of one backend server were lost. Holders
// confirmed at or before voidUntil are invalid; those confirmed at or before
// first or last become invalid lostEventsTTL after that time.
type lostEvents struct{ voidUntil, first, last time.Time }

type holders struct {
	count int
	list  [maxHoldersPerBlock]holder
}

type holder struct {
	name string
	// confirmedAt is the time of the last cache event or request for the block.
	confirmedAt, expiresAt time.Time
}

// NewPrefixIndex returns an index of at most limit blocks; 0 means
// defaultMaxBlocks.
func NewPrefixIndex(limit int) *PrefixIndex {
	if limit <= 0 {
		limit = defaultMaxBlocks
	}
	return &PrefixIndex{
		limit:      limit,
		blocks:     make(map[uint64]*holders),
		lostEvents: make(map[string]lostEvents),
	}
}

// AddStored applies a cache event: the server has stored the blocks.
func (x *PrefixIndex) AddStored(now time.Time, name string, blocks []uint64) {
	for _, block := range blocks {
		x.add(now, block, name, storedTTL)
	}
}

// AddExpected records that a prompt of these blocks was sent to the server, which
// will likely cache them before its cache event arrives.
func (x *PrefixIndex) AddExpected(now time.Time, name string, blocks []uint64) {
	for _, block := range blocks {
		x.add(now, block, name, expectedTTL)
	}
}

// RemoveEvicted applies a cache event: the server has evicted the blocks.
func (x *PrefixIndex) RemoveEvicted(name string, blocks []uint64) {
	for _, block := range blocks {
		if h, ok := x.blocks[block]; ok {
			h.remove(name)
		}
	}
}

// EventsLost records that cache events of the server were lost: its blocks become
// invalid after lostEventsTTL unless later events or requests confirm them.
func (x *PrefixIndex) EventsLost(now time.Time, name string) {
	lost, ok := x.lostEvents[name]
	if !ok && len(x.lostEvents) >= maxServers {
		return
	}
	lost.last = now
	if now.Sub(lost.first) >= lostEventsTTL {
		lost.voidUntil, lost.first = lost.first, now
	}
	x.lostEvents[name] = lost
}

// RemoveServer removes all blocks of a server that restarted, changed its model or
// left.
func (x *PrefixIndex) RemoveServer(name string) {
	delete(x.lostEvents, name)
	for _, h := range x.blocks {
		h.remove(name)
	}
}

// CachedBlocks returns, by backend server, the number of leading blocks of the chain
// that are likely cached there. Servers without the first block are absent.
func (x *PrefixIndex) CachedBlocks(now time.Time, blocks []uint64) map[string]int {
	cached := make(map[string]int)
	for i, block := range blocks {
		h, ok := x.blocks[block]
		if !ok {
			break
		}
		for _, server := range h.list[:h.count] {
			if cached[server.name] == i && x.valid(now, server) {
				cached[server.name] = i + 1
			}
		}
	}
	return cached
}

// valid reports whether the holder is not expired and not invalidated by lost
// events.
func (x *PrefixIndex) valid(now time.Time, server holder) bool {
	lost, ok := x.lostEvents[server.name]
	if ok && (!server.confirmedAt.After(lost.voidUntil) || lost.expired(now, server, lost.first) || lost.expired(now, server, lost.last)) {
		return false
	}
	return now.Before(server.expiresAt)
}

// expired reports whether the holder was not confirmed after the given loss of
// events and lostEventsTTL has elapsed since.
func (lostEvents) expired(now time.Time, server holder, lostAt time.Time) bool {
	return !server.confirmedAt.After(lostAt) && now.Sub(lostAt) >= lostEventsTTL
}

// Len returns the number of blocks in the index.
func (x *PrefixIndex) Len() int { return len(x.blocks) }

func (x *PrefixIndex) add(now time.Time, block uint64, name string, ttl time.Duration) {
	h, ok := x.blocks[block]
	if !ok {
		x.evict()
		h = &holders{}
		x.blocks[block] = h
		x.insertionOrder = append(x.insertionOrder, block)
	}
	h.add(holder{name: name, confirmedAt: now, expiresAt: now.Add(ttl)})
}

// evict removes the oldest block if the index is full.
func (x *PrefixIndex) evict() {
	if len(x.blocks) < x.limit {
		return
	}
	delete(x.blocks, x.insertionOrder[0])
	x.insertionOrder = x.insertionOrder[1:]
}

// add adds or renews a holder. A full list drops the one that expires first.
func (h *holders) add(added holder) {
	target := 0
	for i, server := range h.list[:h.count] {
		if server.name == added.name {
			added.expiresAt = later(server.expiresAt, added.expiresAt)
			h.list[i] = added
			return
		}
		if server.expiresAt.Before(h.list[target].expiresAt) {
			target = i
		}
	}
	if h.count < maxHoldersPerBlock {
		target = h.count
		h.count++
	}
	h.list[target] = added
}

func (h *holders) remove(name string) {
	for i, server := range h.list[:h.count] {
		if server.name == name {
			h.count--
			h.list[i] = h.list[h.count]
			h.list[h.count] = holder{}
			return
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
