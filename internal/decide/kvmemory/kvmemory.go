// Package kvmemory tracks how many tokens of KV memory the requests placed at model engines
// will hold, and decides which requests have a claim to what is left.
//
// It handles bursts of long prompts. Engines have slots for more streams than their memory
// holds contexts of long prompts, and an engine whose requests exceed its memory crashes
// with all of them. Balancing by streams or queue delay does not see that. Symptom: engines
// crash one after the other, because each crash moves its requests to the others. The
// package is pure code; time is passed in.
package kvmemory

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"pistachioroad.dev/pistachioroad/internal/request"
)

// blockTokens is the unit in which engines allocate memory.
const blockTokens = 16

// blocks rounds a number of tokens up to whole blocks.
func blocks(tokens int) int { return (max(0, tokens) + blockTokens - 1) / blockTokens * blockTokens }

// segment is a shared segment in the memory of an engine.
type segment struct {
	// key identifies the segment after all segments before it, with its length: KV cache
	// depends on the whole prefix, and prompts that state different lengths share nothing.
	key    uint64
	tokens int
}

// Demand is what one request will hold in the memory of an engine, in whole blocks.
type Demand struct {
	shared []segment
	// own is what the request shares with no other.
	own int
	// total is own plus all shared segments.
	total int
}

// NewDemand returns the demand of a prompt whose context has the given number of tokens,
// with the expected rest of its answer.
func NewDemand(p request.Prompt, contextTokens, answerTokens int) Demand {
	var d Demand
	var key [24]byte
	for _, s := range p.Shared() {
		binary.LittleEndian.PutUint64(key[8:], s.ID)
		binary.LittleEndian.PutUint64(key[16:], uint64(s.Tokens))
		hash := xxhash.Sum64(key[:])
		binary.LittleEndian.PutUint64(key[:], hash)
		d.shared = append(d.shared, segment{key: hash, tokens: blocks(s.Tokens)})
		d.total += blocks(s.Tokens)
		contextTokens -= max(0, s.Tokens)
	}
	if n := len(p.Segments); n > 0 {
		contextTokens = max(contextTokens, p.Segments[n-1].Tokens)
	}
	d.own = blocks(max(0, contextTokens) + max(0, answerTokens))
	d.total += d.own
	return d
}

// Tokens returns the demand at an engine that has none of the shared segments.
func (d Demand) Tokens() int { return d.total }

// Memory is the KV memory of one engine with what is reserved in it.
type Memory struct {
	reserved int
	// references counts the reservations with each shared segment.
	references map[uint64]int
}

// Reserved returns how many tokens are reserved.
func (m *Memory) Reserved() int { return m.reserved }

// Added returns how many tokens a demand would add: shared segments that are there already
// add nothing.
func (m *Memory) Added(d Demand) int {
	added := d.total
	for _, s := range d.shared {
		if m.references[s.key] > 0 {
			added -= s.tokens
		}
	}
	return added
}

// Reserve reserves a demand. Release must be called with the same demand.
func (m *Memory) Reserve(d Demand) {
	if m.references == nil {
		m.references = make(map[uint64]int)
	}
	m.reserved += d.own
	for _, s := range d.shared {
		m.references[s.key]++
		if m.references[s.key] == 1 {
			m.reserved += s.tokens
		}
	}
}

// Release ends a reservation.
func (m *Memory) Release(d Demand) {
	m.reserved -= d.own
	for _, s := range d.shared {
		m.references[s.key]--
		if m.references[s.key] == 0 {
			delete(m.references, s.key)
			m.reserved -= s.tokens
		}
	}
}
