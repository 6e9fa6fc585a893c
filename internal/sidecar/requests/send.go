package requests

import (
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// sendChunk sends a piece of the answer under the numbers of the attempt that
// gets it.
func (t *Table) sendChunk(r *request, c *wire.Chunk) {
	t.emit(Send{Stream: r.stream.stream, Frame: chunkFrame(r.key, r.stream, c)})
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

// sendFinal ends the answer with the proof of what was sent on this stream.
func (t *Table) sendFinal(s *subscriber, k key, final *wire.Final) {
	sent := stampFinal(k, s, final)
	t.emit(Send{Stream: s.stream, Frame: &wire.Frame{Body: &wire.Frame_Final{Final: sent}}, Last: true})
}

func stampFinal(k key, s *subscriber, final *wire.Final) *wire.Final {
	sent := proto.Clone(final).(*wire.Final)
	sent.RequestId = k.id[:]
	sent.Attempt = s.attempt
	sent.Chunks = s.digest.Chunks()
	sent.Digest = s.digest.Sum()
	return sent
}

// replay sends a whole answer that was kept.
func (t *Table) replay(stream Stream, k key, attempt uint32, chunks []*wire.Chunk, final *wire.Final) {
	s := &subscriber{stream: stream, attempt: attempt, digest: wire.NewDigest()}
	for _, c := range merge(chunks) {
		t.emit(Send{Stream: stream, Frame: chunkFrame(k, s, c)})
	}
	t.sendFinal(s, k, final)
}

// mergedBytes is the size up to which pieces that were kept go out as one.
const mergedBytes = 32 << 10

// merge joins the pieces of an answer, for a stream that gets many at once: a
// frame for each token would fill its queue.
func merge(chunks []*wire.Chunk) []*wire.Chunk {
	merged := []*wire.Chunk{}
	for _, c := range chunks {
		last := len(merged) - 1
		if last < 0 || len(merged[last].GetData())+len(c.GetData()) > mergedBytes {
			merged = append(merged, &wire.Chunk{})
			last++
		}
		merged[last].Data = append(merged[last].Data, c.GetData()...)
		merged[last].Tokens += c.GetTokens()
	}
	return merged
}

// sendRefusal refuses an attempt, with the load of this moment.
func (t *Table) sendRefusal(stream Stream, k key, attempt uint32, e *verdict.Error) {
	t.refuseStream(stream, k.id[:], attempt, e)
}

// refuseFrame refuses a Start that has no request.
func (t *Table) refuseFrame(a StartReceived, e *verdict.Error) {
	t.refuseStream(a.Stream, a.Start.GetRequestId(), a.Start.GetAttempt(), e)
}

func (t *Table) refuseStream(stream Stream, id []byte, attempt uint32, e *verdict.Error) {
	metrics.GetOrRegisterCounter("requests.refused."+string(e.Code), nil).Inc(1)
	refusal := &wire.Refusal{
		RequestId:    id,
		Attempt:      attempt,
		Verdict:      wire.Verdict(e.Verdict),
		Code:         string(e.Code),
		Message:      e.Message,
		RetryAfterMs: t.retryAfter(e.RetryAfter).Milliseconds(),
		Load:         t.Load(),
	}
	t.emit(Send{Stream: stream, Frame: &wire.Frame{Body: &wire.Frame_Refusal{Refusal: refusal}}, Last: true})
}

// sendResolution answers a Resolve; rec has the kept answer of a request that
// ran. The owner fills in its incarnation.
func (t *Table) sendResolution(e ResolveReceived, outcome wire.Outcome, rec *record) {
	resolution := &wire.Resolution{RequestId: e.Resolve.GetRequestId(), Outcome: outcome}
	if rec != nil && rec.final != nil {
		s := &subscriber{attempt: keptAttempt(e.Resolve, rec), digest: wire.NewDigest()}
		for _, c := range rec.chunks {
			resolution.Chunks = append(resolution.Chunks, chunkFrame(rec.key, s, c).GetChunk())
		}
		resolution.Final = stampFinal(rec.key, s, rec.final)
		resolution.ResumeFrom = rec.resumeFrom
	}
	t.emit(Send{Stream: e.Stream, Frame: &wire.Frame{Body: &wire.Frame_Resolution{Resolution: resolution}}, Last: true})
}

// keptAttempt is the attempt under which a kept answer is given: the one asked
// about, if the question names it.
func keptAttempt(r *wire.Resolve, rec *record) uint32 {
	if r.GetAttempt() != 0 {
		return r.GetAttempt()
	}
	return rec.attempts
}
