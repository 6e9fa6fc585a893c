package requests

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"pistachioroad.dev/pistachioroad/internal/wire"
)

// key tells requests apart. The prefill of a request whose decode runs
// elsewhere is work of its own.
type key struct {
	id      uuid.UUID
	prefill bool
}

func (k key) name() string { return k.id.String() }

// item is the key in the queue.
func (k key) item() string {
	if k.prefill {
		return k.name() + "/prefill"
	}
	return k.name()
}

type phase uint8

const (
	claiming phase = iota
	queued
	running
)

// request is one that has no outcome yet.
type request struct {
	key    key
	serial uint64
	start  *wire.Start
	// attempt is the latest that was let in or attached.
	attempt  uint32
	print    uint64
	deadline time.Time
	phase    phase
	run      RunID
	claim    ClaimID
	// claimed says that the claim was granted and is not settled.
	claimed bool
	// stream is where the answer goes; nil for an orphan.
	stream     *subscriber
	orphanedAt time.Time
	// stopping says that the run was told to stop.
	stopping bool

	arrivedAt time.Time
	startedAt time.Time
	answer    answer
}

// subscriber is the stream that an attempt gets its answer on.
type subscriber struct {
	stream  Stream
	attempt uint32
	digest  *wire.Digest
}

func (r *request) idempotent() bool {
	return r.start.GetIdempotent() || r.start.GetGenerate() != nil
}

func (r *request) keyed() bool {
	return r.start.GetIdempotencyKey() != "" && !r.idempotent()
}

// outputLeft returns the output tokens still to be generated.
func (r *request) outputLeft() int {
	g := r.start.GetGenerate()
	if g == nil || g.GetPrefillOnly() {
		return 0
	}
	return max(0, int(g.GetMaxTokens())-int(g.GetResumeFrom())-int(r.answer.tokens))
}

// promptTokens counts what has to be prefilled; a resumed generation prefills
// its earlier output too.
func promptTokens(s *wire.Start) int {
	g := s.GetGenerate()
	return int(g.GetPromptTokens()) + int(g.GetResumeFrom())
}

func outputTokens(s *wire.Start) int {
	g := s.GetGenerate()
	if g.GetPrefillOnly() {
		return 0
	}
	return max(0, int(g.GetMaxTokens())-int(g.GetResumeFrom()))
}

// answer is what a run has produced.
type answer struct {
	chunks []*wire.Chunk
	// bytes is the memory that the chunks take.
	bytes  int
	tokens uint32
	// begun says that there were chunks, kept or not.
	begun bool
	// dropped says that the chunks were given up to save memory.
	dropped bool
}

// chunkOverhead is the memory in bytes of a chunk beside its data. A chunk of
// one token is mostly that; counted by data alone, the answers kept would take
// many times their bound.
const chunkOverhead = 160

func (a *answer) add(data []byte, tokens uint32) *wire.Chunk {
	c := &wire.Chunk{Sequence: uint32(len(a.chunks)), Data: data, Tokens: tokens}
	a.tokens += tokens
	a.begun = true
	if !a.dropped {
		a.chunks = append(a.chunks, c)
		a.bytes += len(data) + chunkOverhead
	}
	return c
}

func (a *answer) drop() {
	a.dropped = true
	a.chunks, a.bytes = nil, 0
}

// after returns the index of the chunk that follows the first n tokens, or
// false if none begins there.
func (a *answer) after(n int) (int, bool) {
	if a.dropped {
		return 0, false
	}
	for i, c := range a.chunks {
		if n == 0 {
			return i, true
		}
		n -= int(c.GetTokens())
	}
	return len(a.chunks), n == 0
}

// fingerprint sums up what a request asks for, without what differs between
// its attempts. Two requests under one id would otherwise get each other's
// answers.
func fingerprint(s *wire.Start) uint64 {
	hash := xxhash.New()
	write := func(text string) {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(text)))
		_, _ = hash.Write(size[:])
		_, _ = hash.WriteString(text)
	}
	for _, text := range []string{s.GetCaller(), s.GetService(), s.GetIdempotencyKey()} {
		write(text)
	}
	if g := s.GetGenerate(); g != nil {
		write(g.GetModel())
		write(g.GetAdapter())
		write(g.GetPrompt())
		return hash.Sum64() + uint64(g.GetMaxTokens())
	}
	write(s.GetCall().GetMethod())
	write(s.GetCall().GetPath())
	write(string(s.GetCall().GetBody()))
	return hash.Sum64()
}
