package loadplay

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/queue"
	"pistachioroad.dev/pistachioroad/internal/decide/route"
	"pistachioroad.dev/pistachioroad/internal/decide/shift"
)

// server is one backend server with its sidecar: a fake engine that batches
// continuously, or a plain service, behind the queues of the decision code.
type server struct {
	name       string
	dataCentre string
	plain      bool
	role       shift.Role
	since      time.Time
	// next is the role that the server changes to, from the order on.
	next      shift.Role
	changing  bool
	drainedBy time.Time
	readyAt   time.Time
	speed     float64
	failing   float64
	spill     shift.Spillover

	prefillQueue, decodeQueue line
	prefills, streams         []*job
	cache                     *prefixCache
	// stored and evicted are cache events not yet sent.
	stored, evicted []uint64
}

// line is how work waits: the queue of the decision code, or first in, first
// out.
type line interface {
	Push(now time.Time, i queue.Item) (bool, time.Duration)
	Pop(now time.Time, room queue.Capacity) (queue.Item, bool)
	Remove(id string) bool
	TakeExpired(now time.Time) []queue.Removed
	Len() int
	QueuedTokens() int
}

// job is one attempt of a request.
type job struct {
	id      string
	req     Request
	entry   *entry
	call    *call
	prefill *server
	decode  *server
	// left are the prompt tokens to prefill, cached those that need none.
	left, cached int
	progress     float64 // of the prefill, then of the output, in tokens
	// expected of the prefill, and when it was sent.
	expected time.Duration
	sent     time.Time
	begun    time.Time
	// work is in engine-seconds.
	work float64
	done bool
}

func (j *job) pieces() int {
	return (j.req.Prompt + j.req.MaxOutput + pieceTokens - 1) / pieceTokens
}

func (s *server) usedPieces() int {
	used := 0
	for _, j := range s.prefills {
		used += j.pieces()
	}
	for _, j := range s.streams {
		used += j.pieces()
	}
	return used
}

// prefillShare is the part of its time that the server prefills.
func (s *server) prefillShare() float64 {
	switch {
	case s.role == shift.Prefill:
		return 1
	case len(s.prefills) == 0:
		return 0
	case s.role == shift.Mixed:
		return 0.5
	default:
		return s.spill.TimeShareFor(s.bareStep())
	}
}

// bareStep is the time of one decode step when nothing is prefilled.
func (s *server) bareStep() time.Duration {
	plain := stepBase + time.Duration(len(s.streams))*stepStream
	return time.Duration(float64(plain) / s.speed)
}

// step returns the time of one decode step.
func (s *server) step() time.Duration {
	share := 1 - s.prefillShare()
	return time.Duration(float64(s.bareStep()) / max(0.01, share))
}

// load is the report that the server would send now.
func (s *server) load() route.Load {
	queued := s.prefillQueue.QueuedTokens()
	for _, j := range s.prefills {
		queued += max(0, j.left-int(j.progress))
	}
	rate := prefillRate
	if s.role == shift.Decode {
		rate *= max(0.05, s.spill.TimeShareFor(s.bareStep()))
	}
	l := route.Load{
		QueuedTokens: queued,
		Running:      len(s.streams),
		Queued:       s.decodeQueue.Len(),
		Slots:        slots,
		FreeKVBlocks: runPieces - s.usedPieces(),
		PrefillRate:  rate,
		DecodeRate:   decodeRate,
	}
	if s.plain {
		l.Running, l.Slots = len(s.prefills), plainSlots
		l.Queued = s.prefillQueue.Len()
		l.QueuedTokens = l.Running + l.Queued
		l.PrefillRate = plainSlots / plainTime.Seconds()
	}
	return l
}

// prefixCache is a least-recently-used set of prompt pieces.
type prefixCache struct {
	limit  int
	used   map[uint64]int
	serial int
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, used: make(map[uint64]int)}
}

// leading counts the leading pieces that are cached.
func (c *prefixCache) leading(pieces []uint64) int {
	for i, p := range pieces {
		if _, ok := c.used[p]; !ok {
			return i
		}
	}
	return len(pieces)
}

// store adds pieces and returns the new and the evicted ones.
func (c *prefixCache) store(pieces []uint64) (stored, evicted []uint64) {
	for _, p := range pieces {
		if _, ok := c.used[p]; !ok {
			stored = append(stored, p)
		}
		c.serial++
		c.used[p] = c.serial
	}
	for len(c.used) > c.limit {
		oldest := c.oldest()
		delete(c.used, oldest)
		evicted = append(evicted, oldest)
	}
	return stored, evicted
}

func (c *prefixCache) oldest() uint64 {
	var oldest uint64
	least := c.serial + 1
	for p, serial := range c.used {
		if serial < least {
			oldest, least = p, serial
		}
	}
	return oldest
}
