package place

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/request"
)

// Engine is a model engine that may get work.
type Engine struct {
	ID         string
	DataCentre string
	Role       backend.Role
	// KVTokens is the size of its KV cache.
	KVTokens int
	// Incarnation tells starts apart: another one has an empty cache.
	Incarnation int64
}

// engine is an Engine with the work that is on its way to it.
type engine struct {
	Engine
	// hash is that of the id.
	hash  uint64
	cache *cache
	// reads are the prompts that it has to read, oldest first.
	reads []*read
	// headSince is since when the oldest has been read.
	headSince time.Time
	// streams counts the requests that it generates tokens for.
	streams int
	// avoidUntil keeps an engine out that failed.
	avoidUntil time.Time
}

// read is one prompt that an engine reads.
type read struct {
	job  JobID
	cost time.Duration
	sent time.Time
}

func newEngine(e Engine) *engine {
	return &engine{Engine: e, hash: xxhash.Sum64String(e.ID), cache: newCache(e.KVTokens)}
}

// wait is how long a new prompt waits for those before it.
func (e *engine) wait(now time.Time) time.Duration {
	if len(e.reads) == 0 {
		return 0
	}
	var total time.Duration
	for _, r := range e.reads {
		total += r.cost
	}
	done := min(now.Sub(e.headSince), e.reads[0].cost)
	return max(0, total-done)
}

// readTime is how long the engine takes to read what it does not keep of a
// prompt, given the tokens that it keeps.
func (e *engine) readTime(prompt request.Prompt, kept int) time.Duration {
	fresh := float64(max(minimumFresh, prompt.Tokens-kept))
	rate, piece := e.reading()
	// Each new token attends to all before it.
	pairs := fresh * (float64(kept) + fresh/2)
	ms := fresh/rate + pairs*attentionMS + math.Ceil(fresh/piece)*e.stepMS()
	return time.Duration(ms * float64(time.Millisecond))
}

// reading returns the tokens that the engine reads in a millisecond and in one
// step.
func (e *engine) reading() (rate, piece float64) {
	if e.Role == backend.Decode {
		return readRate * decodeReadPart, decodeReadPiece
	}
	return readRate, readPiece
}

// readWeight is how much the engine's read time counts beyond itself.
func (e *engine) readWeight() float64 {
	if e.Role == backend.Decode {
		return decodeReadWeight
	}
	return readWeight
}

// stepMS is what a step takes beside what it reads.
func (e *engine) stepMS() float64 {
	return stepMS + streamStepMS*float64(e.streams)
}

// stepTime is how long one step takes now: a token of a stream waits for the
// piece of a prompt that is read in the same step.
func (e *engine) stepTime() time.Duration {
	ms := e.stepMS()
	if len(e.reads) > 0 {
		rate, piece := e.reading()
		ms += piece / rate
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func (e *engine) add(now time.Time, r *read) {
	if len(e.reads) == 0 {
		e.headSince = now
	}
	e.reads = append(e.reads, r)
}

// remove drops a read; the rest moves up.
func (e *engine) remove(now time.Time, id JobID) {
	for i, r := range e.reads {
		if r.job != id {
			continue
		}
		e.reads = append(e.reads[:i], e.reads[i+1:]...)
		if i == 0 {
			e.headSince = now
		}
		return
	}
}

// expire drops reads that never ended: their process was lost, or the message
// about their end was.
func (e *engine) expire(now time.Time) {
	kept := e.reads[:0]
	for _, r := range e.reads {
		if now.Sub(r.sent) < r.cost+readTTL {
			kept = append(kept, r)
		}
	}
	if len(kept) != len(e.reads) {
		e.headSince = now
	}
	clear(e.reads[len(kept):])
	e.reads = kept
}
