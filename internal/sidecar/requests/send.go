package requests

import (
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// sendChunk sends a chunk with the attempt and sequence number of r's
// subscriber.
func (t *Table) sendChunk(r *request, c *wire.Chunk) {
	t.emit(Send{Stream: r.subscriber.stream, Frame: chunkFrame(r.key, r.subscriber, c)})
}

func chunkFrame(k key, s *subscriber, c *wire.Chunk) *wire.Frame {
	sent := &wire.Chunk{
		RequestId: k.id[:],
		Attempt:   s.attempt,
		Sequence:  s.digest.Chunks(),
		Data:      c.GetData(),
		Tokens:    c.GetTokens(),
	}
	s.digest.Add(sent)
	return &wire.Frame{Body: &wire.Frame_Chunk{Chunk: sent}}
}

// sendFinal completes the answer with the chunk count and digest of the stream.
func (t *Table) sendFinal(s *subscriber, k key, final *wire.Final) {
	sent := finalFor(k, s, final)
	t.emit(Send{Stream: s.stream, Frame: &wire.Frame{Body: &wire.Frame_Final{Final: sent}}, Last: true})
}

func finalFor(k key, s *subscriber, final *wire.Final) *wire.Final {
	sent := proto.Clone(final).(*wire.Final)
	sent.RequestId = k.id[:]
	sent.Attempt = s.attempt
	sent.Chunks = s.digest.Chunks()
	sent.Digest = s.digest.Sum()
	return sent
}

// replay sends a cached answer.
func (t *Table) replay(stream Stream, k key, attempt uint32, chunks []*wire.Chunk, final *wire.Final) {
	s := &subscriber{stream: stream, attempt: attempt, digest: wire.NewDigest()}
	for _, c := range mergeChunks(chunks) {
		t.emit(Send{Stream: stream, Frame: chunkFrame(k, s, c)})
	}
	t.sendFinal(s, k, final)
}

// maxMergedBytes is the size up to which cached chunks are merged into one.
const maxMergedBytes = 32 << 10

// mergeChunks merges the chunks of an answer that is sent all at once: one frame
// for each token would overflow the stream's queue.
func mergeChunks(chunks []*wire.Chunk) []*wire.Chunk {
	merged := []*wire.Chunk{}
	for _, c := range chunks {
		last := len(merged) - 1
		if last < 0 || len(merged[last].GetData())+len(c.GetData()) > maxMergedBytes {
			merged = append(merged, &wire.Chunk{})
			last++
		}
		merged[last].Data = append(merged[last].Data, c.GetData()...)
		merged[last].Tokens += c.GetTokens()
	}
	return merged
}

// sendRefusal rejects an attempt. The frame carries the current load.
func (t *Table) sendRefusal(stream Stream, k key, attempt uint32, e *verdict.Error) {
	t.sendRefusalFrame(stream, k.id[:], attempt, e)
}

// rejectStart rejects a Start that is not tracked as a request.
func (t *Table) rejectStart(a StartReceived, e *verdict.Error) {
	t.sendRefusalFrame(a.Stream, a.Start.GetRequestId(), a.Start.GetAttempt(), e)
}

func (t *Table) sendRefusalFrame(stream Stream, id []byte, attempt uint32, e *verdict.Error) {
	metrics.GetOrRegisterCounter("requests.refused."+string(e.Code), nil).Inc(1)
	refusal := &wire.Refusal{
		RequestId:    id,
		Attempt:      attempt,
		Verdict:      wire.Verdict(e.Verdict),
		Code:         string(e.Code),
		Message:      e.Message,
		RetryAfterMs: t.jitter(e.RetryAfter).Milliseconds(),
		Load:         t.Load(),
	}
	t.emit(Send{Stream: stream, Frame: &wire.Frame{Body: &wire.Frame_Refusal{Refusal: refusal}}, Last: true})
}

// sendResolution answers a Resolve; rec is the record of a request that ran. The
// owner of the table fills in the incarnation.
func (t *Table) sendResolution(e ResolveReceived, outcome wire.Outcome, rec *record) {
	resolution := &wire.Resolution{RequestId: e.Resolve.GetRequestId(), Outcome: outcome}
	if rec != nil && rec.final != nil {
		s := &subscriber{attempt: replayAttempt(e.Resolve, rec), digest: wire.NewDigest()}
		for _, c := range rec.chunks {
			resolution.Chunks = append(resolution.Chunks, chunkFrame(rec.key, s, c).GetChunk())
		}
		resolution.Final = finalFor(rec.key, s, rec.final)
		resolution.ResumeFrom = rec.resumeFrom
	}
	t.emit(Send{Stream: e.Stream, Frame: &wire.Frame{Body: &wire.Frame_Resolution{Resolution: resolution}}, Last: true})
}

// replayAttempt returns the attempt number for a cached answer: the one named in
// the Resolve, or the latest recorded.
func replayAttempt(r *wire.Resolve, rec *record) uint32 {
	if r.GetAttempt() != 0 {
		return r.GetAttempt()
	}
	return rec.maxAttempt
}
