package loadplay

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/queue"
	"pistachioroad.dev/pistachioroad/internal/decide/route"
	"pistachioroad.dev/pistachioroad/internal/decide/shift"
)

// server is one backend server with its sidecar: a fake engine with continuous
// batching, or a plain service, behind the queues of package queue.
type server struct {
	name       string
	dataCentre string
	plain      bool
	role       shift.Role
	roleSince  time.Time
	// targetRole is the role of the last order; it equals role unless changing.
	targetRole    shift.Role
	changing      bool
	drainDeadline time.Time
	changeDoneAt  time.Time
	speed         float64
	failureRate   float64
	spillover     shift.Spillover

	prefillQueue, decodeQueue workQueue
	prefills, streams         []*job
	cache                     *prefixCache
	// unsentStored and unsentEvicted are the cache events of the next report.
	unsentStored, unsentEvicted []uint64
}

// workQueue is the queue of a sidecar: that of package queue, or fifo.
type workQueue interface {
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
	// prefillTokens are the prompt tokens to prefill, cachedTokens those found in
	// the prefix cache.
	prefillTokens, cachedTokens int
	progress                    float64 // tokens done of the prefill, then of the output
	// expectedPrefill is the predicted time to the end of the prefill, from sentAt.
	expectedPrefill time.Duration
	sentAt          time.Time
	startedAt       time.Time
	// work is the engine time that the attempt used, in engine-seconds.
	work  float64
	ended bool
}

func (j *job) kvBlocks() int {
	return (j.req.PromptTokens + j.req.MaxOutput + kvBlockTokens - 1) / kvBlockTokens
}

func (s *server) usedKVBlocks() int {
	used := 0
	for _, j := range s.prefills {
		used += j.kvBlocks()
	}
	for _, j := range s.streams {
		used += j.kvBlocks()
	}
	return used
}

// prefillTimeShare returns the fraction of its time that the server prefills.
func (s *server) prefillTimeShare() float64 {
	switch {
	case s.role == shift.Prefill:
		return 1
	case len(s.prefills) == 0:
		return 0
	case s.role == shift.Mixed:
		return 0.5
	default:
		return s.spillover.TimeShareFor(s.decodeOnlyStepTime())
	}
}

// decodeOnlyStepTime returns the time of one decode step without prefill work.
func (s *server) decodeOnlyStepTime() time.Duration {
	plain := stepBase + time.Duration(len(s.streams))*stepStream
	return time.Duration(float64(plain) / s.speed)
}

// stepTime returns the time of one decode step, given the current prefill work.
func (s *server) stepTime() time.Duration {
	share := 1 - s.prefillTimeShare()
	return time.Duration(float64(s.decodeOnlyStepTime()) / max(0.01, share))
}

// load returns the current load report.
func (s *server) load() route.Load {
	queued := s.prefillQueue.QueuedTokens()
	for _, j := range s.prefills {
		queued += max(0, j.prefillTokens-int(j.progress))
	}
	rate := prefillRate
	if s.role == shift.Decode {
		rate *= max(0.05, s.spillover.TimeShareFor(s.decodeOnlyStepTime()))
	}
	l := route.Load{
		QueuedTokens: queued,
		Running:      len(s.streams),
		Queued:       s.decodeQueue.Len(),
		Slots:        slots,
		FreeKVBlocks: runningKVBlocks - s.usedKVBlocks(),
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

// prefixCache is an LRU cache of KV blocks of prompts.
type prefixCache struct {
	capacity     int
	lastUse      map[uint64]int
	lastSequence int
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{capacity: limit, lastUse: make(map[uint64]int)}
}

// cachedPrefixLength returns how many leading blocks are cached.
func (c *prefixCache) cachedPrefixLength(blocks []uint64) int {
	for i, block := range blocks {
		if _, ok := c.lastUse[block]; !ok {
			return i
		}
	}
	return len(blocks)
}

// store adds blocks and returns the new and the evicted ones.
func (c *prefixCache) store(blocks []uint64) (stored, evicted []uint64) {
	for _, block := range blocks {
		if _, ok := c.lastUse[block]; !ok {
			stored = append(stored, block)
		}
		c.lastSequence++
		c.lastUse[block] = c.lastSequence
	}
	for len(c.lastUse) > c.capacity {
		oldest := c.leastRecentlyUsed()
		delete(c.lastUse, oldest)
		evicted = append(evicted, oldest)
	}
	return stored, evicted
}

func (c *prefixCache) leastRecentlyUsed() uint64 {
	var oldest uint64
	least := c.lastSequence + 1
	for block, sequence := range c.lastUse {
		if sequence < least {
			oldest, least = block, sequence
		}
	}
	return oldest
}
