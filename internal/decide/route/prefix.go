package route

import "time"

const (
	// DefaultPieces bounds the pieces that a PrefixIndex remembers: about
	// 3 MB, a tenth of what a node may spend.
	DefaultPieces = 32_768
	// holdersPerPiece bounds the backend servers remembered for one piece. A
	// prefix that is hotter needs no index: it is cached nearly everywhere.
	holdersPerPiece = 4
	// eventTTL is how long a cache event counts; sentTTL the guess that a
	// piece is cached where this entry has just sent it; gapTTL what is left
	// of both after a gap in the events, which may have hidden an eviction.
	eventTTL = 10 * time.Minute
	sentTTL  = time.Minute
	gapTTL   = 10 * time.Second
)

// PrefixIndex remembers which backend servers likely hold which prompt pieces.
// Cache events come late and with gaps, so its answers are hints: a wrong one
// costs a prefill and nothing else.
type PrefixIndex struct {
	limit   int
	entries map[uint64]*holders
	gaps    map[string]gaps
	// order has the keys in the order of their first store, for eviction.
	order []uint64
}

// gaps is when events of one backend server were lost. What was confirmed up to
// void no longer counts; what was confirmed up to first or last counts until
// gapTTL after it.
type gaps struct{ void, first, last time.Time }

type holders struct {
	count int
	by    [holdersPerPiece]holder
}

type holder struct {
	name string
	// at is when the holder was last confirmed.
	at, expires time.Time
}

// NewPrefixIndex returns an index that holds at most limit pieces; 0 means
// DefaultPieces.
func NewPrefixIndex(limit int) *PrefixIndex {
	if limit <= 0 {
		limit = DefaultPieces
	}
	return &PrefixIndex{
		limit:   limit,
		entries: make(map[uint64]*holders),
		gaps:    make(map[string]gaps),
	}
}

// Stored takes in a cache event: name now holds the pieces.
func (x *PrefixIndex) AddStored(now time.Time, name string, pieces []uint64) {
	for _, piece := range pieces {
		x.hold(now, piece, name, eventTTL)
	}
}

// Sent notes that a prompt of these pieces was sent to name, which will likely
// hold them before its cache event comes.
func (x *PrefixIndex) AddExpected(now time.Time, name string, pieces []uint64) {
	for _, piece := range pieces {
		x.hold(now, piece, name, sentTTL)
	}
}

// Evicted takes in a cache event: name no longer holds the pieces.
func (x *PrefixIndex) RemoveEvicted(name string, pieces []uint64) {
	for _, piece := range pieces {
		if h, ok := x.entries[piece]; ok {
			h.drop(name)
		}
	}
}

// Gap notes that events of name were lost: what it held counts for a short
// while only, unless events or requests confirm it.
func (x *PrefixIndex) EventsLost(now time.Time, name string) {
	g, ok := x.gaps[name]
	if !ok && len(x.gaps) >= DefaultServers {
		return
	}
	g.last = now
	if now.Sub(g.first) >= gapTTL {
		g.void, g.first = g.first, now
	}
	x.gaps[name] = g
}

// Forget drops all that name held: it restarted, changed its model or left.
func (x *PrefixIndex) RemoveServer(name string) {
	delete(x.gaps, name)
	for _, h := range x.entries {
		h.drop(name)
	}
}

// Cached counts, for each backend server that holds any, the leading pieces of
// the chain that it likely holds.
func (x *PrefixIndex) CachedBlocks(now time.Time, pieces []uint64) map[string]int {
	cached := make(map[string]int)
	for i, piece := range pieces {
		h, ok := x.entries[piece]
		if !ok {
			break
		}
		for _, by := range h.by[:h.count] {
			if cached[by.name] == i && x.counts(now, by) {
				cached[by.name] = i + 1
			}
		}
	}
	return cached
}

// counts reports whether a holder is still to be believed.
func (x *PrefixIndex) counts(now time.Time, by holder) bool {
	g, ok := x.gaps[by.name]
	if ok && (!by.at.After(g.void) || g.over(now, by, g.first) || g.over(now, by, g.last)) {
		return false
	}
	return now.Before(by.expires)
}

// over reports whether a holder's time after a gap is over.
func (gaps) over(now time.Time, by holder, gap time.Time) bool {
	return !by.at.After(gap) && now.Sub(gap) >= gapTTL
}

// Len returns how many pieces are remembered.
func (x *PrefixIndex) Len() int { return len(x.entries) }

func (x *PrefixIndex) hold(now time.Time, piece uint64, name string, ttl time.Duration) {
	h, ok := x.entries[piece]
	if !ok {
		x.evict()
		h = &holders{}
		x.entries[piece] = h
		x.order = append(x.order, piece)
	}
	h.hold(holder{name: name, at: now, expires: now.Add(ttl)})
}

// evict makes place for one piece, oldest first.
func (x *PrefixIndex) evict() {
	if len(x.entries) < x.limit {
		return
	}
	delete(x.entries, x.order[0])
	x.order = x.order[1:]
}

// hold adds or renews a holder; a full set gives up the one that expires first.
func (h *holders) hold(new holder) {
	at := 0
	for i, by := range h.by[:h.count] {
		if by.name == new.name {
			new.expires = later(by.expires, new.expires)
			h.by[i] = new
			return
		}
		if by.expires.Before(h.by[at].expires) {
			at = i
		}
	}
	if h.count < holdersPerPiece {
		at = h.count
		h.count++
	}
	h.by[at] = new
}

func (h *holders) drop(name string) {
	for i, by := range h.by[:h.count] {
		if by.name == name {
			h.count--
			h.by[i] = h.by[h.count]
			h.by[h.count] = holder{}
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
