package requests

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"pistachioroad.dev/pistachioroad/internal/wire"
)

// key identifies a request. A prefill whose decode runs on another engine is a
// request of its own.
type key struct {
	id      uuid.UUID
	prefill bool
}

func (k key) requestID() string { return k.id.String() }

// queueItemID returns the ID of the request's item in the queue.
func (k key) queueItemID() string {
	if k.prefill {
		return k.requestID() + "/prefill"
	}
	return k.requestID()
}

type phase uint8

const (
	claiming phase = iota
	queued
	running
)

// request is an active request: one without an outcome.
type request struct {
	key    key
	serial uint64
	start  *wire.Start
	// attempt is the latest attempt that was admitted or attached.
	attempt     uint32
	fingerprint uint64
	deadline    time.Time
	phase       phase
	run         RunID
	claim       ClaimID
	// claimHeld is set while the claim is granted and not settled.
	claimHeld bool
	// subscriber receives the answer; nil for an orphaned request.
	subscriber *subscriber
	orphanedAt time.Time
	// cancelling is set once the run's cancellation was requested.
	cancelling bool

	arrivedAt time.Time
	startedAt time.Time
	answer    answer
}

// subscriber is the stream on which an attempt receives its answer. digest
// covers the chunks sent on it.
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

// remainingOutput returns the number of output tokens still to be generated.
func (r *request) remainingOutput() int {
	g := r.start.GetGenerate()
	if g == nil || g.GetPrefillOnly() {
		return 0
	}
	return max(0, int(g.GetMaxTokens())-int(g.GetResumeFrom())-int(r.answer.tokens))
}

// promptTokens returns the number of tokens to prefill. A resumed generation
// also prefills its earlier output.
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

// answer is the output of a run so far.
type answer struct {
	chunks []*wire.Chunk
	// bytes is the memory of the chunks, with chunkOverhead.
	bytes  int
	tokens uint32
	// hasOutput is set once a chunk was produced, also when it is not kept.
	hasOutput bool
	// dropped is set when the chunks were discarded and the answer is no longer
	// complete.
	dropped bool
}

// chunkOverhead is the memory in bytes of a chunk besides its data. A chunk of
// one token is mostly overhead: counting data alone, cached answers would take
// many times their limit.
const chunkOverhead = 160

func (a *answer) add(data []byte, tokens uint32) *wire.Chunk {
	c := &wire.Chunk{Sequence: uint32(len(a.chunks)), Data: data, Tokens: tokens}
	a.tokens += tokens
	a.hasOutput = true
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

// indexAfterTokens returns the index of the chunk that follows the first n
// tokens, or false if no chunk boundary is there.
func (a *answer) indexAfterTokens(n int) (int, bool) {
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

// fingerprint hashes the content of a request, without what differs between its
// attempts. It keeps two requests that share an id from receiving each other's
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
