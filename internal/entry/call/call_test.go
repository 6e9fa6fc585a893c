package call_test

import (
	"os"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/entry/call"
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
	"pistachioroad.dev/pistachioroad/test/seeded"
)

func TestMain(m *testing.M) { os.Exit(seeded.Run(m, seeded.Rapid{Checks: 3000, Steps: 60})) }

func TestCall(t *testing.T) {
	invariant.PanicOnBreach()
	RegisterFailHandler(Fail)
	RunSpecs(t, "call")
}

var (
	requestID = uuid.MustParse("01890000-0000-7000-8000-000000000001")
	begin     = time.Unix(1_000, 0)
)

// fixture drives one machine and keeps what it asked for last.
type fixture struct {
	machine   *call.Machine
	now       time.Time
	effects   []call.Effect
	delivered string
}

func newFixture(spec call.Spec) *fixture {
	spec.ID = requestID
	spec.Deadline = begin.Add(time.Minute)
	f := &fixture{machine: call.New(spec), now: begin}
	f.step(call.Begin{})
	return f
}

func (f *fixture) step(event call.Event) {
	f.effects = f.machine.Step(f.now, event)
	for _, effect := range f.effects {
		if d, ok := effect.(call.Deliver); ok {
			f.delivered += string(d.Data)
		}
	}
}

// sendTo routes the current attempt and sends it.
func (f *fixture) sendTo(server string) {
	f.step(call.Routed{Attempt: f.machine.Attempt(), Server: server})
	f.step(call.Sent{Attempt: f.machine.Attempt(), Incarnation: "life-1"})
}

func (f *fixture) resolve(outcome wire.Outcome, incarnation string) {
	f.step(call.Resolution{Attempt: f.machine.Attempt(), Frame: &wire.Resolution{
		RequestId: requestID[:], Outcome: outcome, Incarnation: incarnation,
	}})
}

func effectOf[T call.Effect](f *fixture) (T, bool) {
	for _, effect := range f.effects {
		if found, ok := effect.(T); ok {
			return found, true
		}
	}
	var none T
	return none, false
}

func (f *fixture) failure() *verdict.Error {
	GinkgoHelper()
	failed, ok := effectOf[call.Fail](f)
	Expect(ok).To(BeTrue(), "the request did not fail: %v", f.effects)
	return failed.Err
}

func chunk(id uuid.UUID, attempt, sequence uint32, data string) *wire.Chunk {
	return &wire.Chunk{RequestId: id[:], Attempt: attempt, Sequence: sequence, Data: []byte(data), Tokens: 1}
}

// answer returns the chunks of a whole answer and its final frame.
func answer(id uuid.UUID, attempt uint32, data ...string) ([]*wire.Chunk, *wire.Final) {
	digest := wire.NewDigest()
	chunks := []*wire.Chunk{}
	for i, text := range data {
		c := chunk(id, attempt, uint32(i), text)
		digest.Add(c)
		chunks = append(chunks, c)
	}
	return chunks, &wire.Final{
		RequestId: id[:], Attempt: attempt, Chunks: digest.Chunks(), Digest: digest.Sum(), FinishReason: "stop",
	}
}

var _ = Describe("Machine", func() {
	It("delivers a whole answer piece by piece", func() {
		f := newFixture(call.Spec{Resumable: true})
		f.sendTo("a")
		chunks, final := answer(requestID, 1, "x", "y")
		for _, c := range chunks {
			f.step(call.Chunk{Attempt: 1, Frame: c})
		}
		f.step(call.Final{Attempt: 1, Frame: final})
		Expect(f.delivered).To(Equal("xy"))
		_, finished := effectOf[call.Finish](f)
		Expect(finished).To(BeTrue())
	})

	// Two requests share a link, and a frame of the one turns up on the stream
	// of the other. The caller would read a stranger's text in the middle of
	// the own answer.
	It("drops a frame of another request", func() {
		f := newFixture(call.Spec{Resumable: true})
		f.sendTo("a")
		f.step(call.Chunk{Attempt: 1, Frame: chunk(uuid.New(), 1, 0, "stranger")})
		Expect(f.delivered).To(BeEmpty())
	})

	// A frame is lost on the way, and the end of the answer arrives. Without
	// the count and the digest the caller would take the rest for the whole.
	It("takes no answer with a gap for whole", func() {
		f := newFixture(call.Spec{})
		f.sendTo("a")
		chunks, final := answer(requestID, 1, "x", "y")
		f.step(call.Chunk{Attempt: 1, Frame: chunks[0]})
		f.step(call.Final{Attempt: 1, Frame: final})
		Expect(f.machine.Ended()).To(BeFalse())
		_, asks := effectOf[call.Resolve](f)
		Expect(asks).To(BeTrue())
		Expect(f.delivered).To(BeEmpty())
	})

	// An engine dies in the middle of a draft. The caller sees one answer
	// without a seam, continued from the words that were delivered.
	It("resumes a broken generation elsewhere", func() {
		f := newFixture(call.Spec{Resumable: true})
		f.sendTo("a")
		f.step(call.Chunk{Attempt: 1, Frame: chunk(requestID, 1, 0, "x")})
		f.step(call.StreamLost{Attempt: 1})
		f.step(call.ResolveFailed{Attempt: 1})
		route, ok := effectOf[call.Route](f)
		Expect(ok).To(BeTrue())
		Expect(route.Excluded).To(ConsistOf("a"))
		f.step(call.Routed{Attempt: 2, Server: "b"})
		start, _ := effectOf[call.SendStart](f)
		Expect(start.ResumeFrom).To(BeEquivalentTo(1))
		Expect(start.ResumeText).To(Equal("x"))
	})

	// The connection to a busy engine goes silent, a new one works. The draft
	// goes on where it runs; begun anew elsewhere, its long prompt would be
	// read twice.
	It("takes a running stream over on a new connection", func() {
		f := newFixture(call.Spec{Resumable: true})
		f.sendTo("a")
		f.step(call.Chunk{Attempt: 1, Frame: chunk(requestID, 1, 0, "x")})
		f.step(call.LinkSilent{Attempt: 1})
		f.resolve(wire.Outcome_OUTCOME_RUNNING, "life-1")
		start, _ := effectOf[call.SendStart](f)
		Expect(start.Server).To(Equal("a"))
		Expect(start.Attempt).To(BeEquivalentTo(2))
		Expect(start.ResumeFrom).To(BeEquivalentTo(1))
	})

	// A key slot moves to another owner while a hold for it arrives. The hold
	// waits for the new owner; refused, the booker would see an error for a
	// change that operators planned.
	It("waits for the next owner of a key slot", func() {
		f := newFixture(call.Spec{Keyed: true})
		f.sendTo("a")
		f.step(call.Refusal{Attempt: 1, Frame: &wire.Refusal{
			RequestId: requestID[:], Attempt: 1, Code: string(verdict.CodeNoBackend), RetryAfterMs: 100,
		}})
		Expect(f.effects).NotTo(ContainElement(BeAssignableToTypeOf(call.Route{})))
		Expect(f.machine.NextTimer()).To(Equal(begin.Add(100 * time.Millisecond)))
		f.now = f.machine.NextTimer()
		f.step(call.Timer{})
		route, ok := effectOf[call.Route](f)
		Expect(ok).To(BeTrue())
		Expect(route.Excluded).To(BeEmpty())
	})

	// Two engines in turn change their roles under one long draft. The wait for
	// the first must not use up that for the second.
	It("waits anew for each planned change", func() {
		f := newFixture(call.Spec{Resumable: true})
		later := func() {
			f.step(call.Unroutable{
				Attempt: f.machine.Attempt(), Err: verdict.NewRejection(verdict.CodeNoBackend, "changing", 0), RetryIn: call.WaitMin,
			})
		}
		later()
		f.now = f.now.Add(call.WaitFor + time.Second)
		f.step(call.Timer{})
		f.sendTo("a")
		f.step(call.Chunk{Attempt: 1, Frame: chunk(requestID, 1, 0, "x")})
		f.step(call.Refusal{Attempt: 1, Frame: &wire.Refusal{
			RequestId: requestID[:], Attempt: 1, Code: string(verdict.CodeDraining),
		}})
		later()
		Expect(f.machine.Ended()).To(BeFalse())
	})

	// The sidecar crashes after it ran a hold and is started again. It has never
	// heard of the hold, and says so; the booker who believes "not run" places
	// it a second time.
	It("does not believe a restarted sidecar that a request did not run", func() {
		f := newFixture(call.Spec{})
		f.sendTo("a")
		f.step(call.StreamLost{Attempt: 1})
		f.resolve(wire.Outcome_OUTCOME_NOT_RUN, "life-2")
		Expect(f.failure().Verdict).To(Equal(verdict.MayHaveRun))
	})

	// The driver reports that a Start did not leave, after it did. Taken back,
	// the attempt would count as "not run" while the sidecar runs it.
	It("does not take back an attempt that was sent", func() {
		f := newFixture(call.Spec{})
		f.sendTo("a")
		f.step(call.NotSent{Attempt: 1})
		Expect(f.effects).To(BeEmpty())
		Expect(f.machine.Verdict()).To(Equal(verdict.MayHaveRun))
	})

	// The connection under an attempt that was already given up breaks. Taken
	// for the present one's, a healthy draft would be moved once more.
	It("ignores the link of an earlier attempt", func() {
		f := newFixture(call.Spec{Resumable: true})
		f.sendTo("a")
		f.step(call.LinkSilent{Attempt: 1})
		f.step(call.ResolveFailed{Attempt: 1})
		f.sendTo("b")
		f.step(call.StreamLost{Attempt: 1})
		Expect(f.effects).To(BeEmpty())
	})

	It("sends a request elsewhere once its sidecar has promised never to run it", func() {
		f := newFixture(call.Spec{})
		f.sendTo("a")
		f.step(call.LinkSilent{Attempt: 1})
		f.resolve(wire.Outcome_OUTCOME_NOT_RUN, "life-1")
		route, ok := effectOf[call.Route](f)
		Expect(ok).To(BeTrue())
		Expect(route.Retry.NotRun).To(BeTrue())
	})

	// The link goes silent while a registry still works on a lot. The answer
	// comes later, from what the sidecar kept, and not from a second run.
	It("waits for a request that still runs and takes its kept answer", func() {
		f := newFixture(call.Spec{})
		f.sendTo("a")
		f.step(call.LinkSilent{Attempt: 1})
		f.resolve(wire.Outcome_OUTCOME_RUNNING, "life-1")
		f.now = f.machine.NextTimer()
		f.step(call.Timer{})
		_, asks := effectOf[call.Resolve](f)
		Expect(asks).To(BeTrue())

		chunks, final := answer(requestID, 1, "registered")
		f.step(call.Resolution{Attempt: 1, Frame: &wire.Resolution{
			RequestId: requestID[:], Outcome: wire.Outcome_OUTCOME_RAN, Incarnation: "life-1",
			Chunks: chunks, Final: final,
		}})
		Expect(f.delivered).To(Equal("registered"))
		Expect(f.machine.Ended()).To(BeTrue())
	})

	// A stream loses its link and a second attempt takes the running answer over
	// in its middle; then that link is lost as well, and the run ends. What the
	// sidecar kept begins where the run began: the caller would read a draft that
	// starts again in the middle.
	It("does not take an answer kept from its beginning for its rest", func() {
		f := newFixture(call.Spec{Resumable: true})
		f.sendTo("a")
		f.step(call.Chunk{Attempt: 1, Frame: chunk(requestID, 1, 0, "one ")})
		f.step(call.StreamLost{Attempt: 1})
		f.resolve(wire.Outcome_OUTCOME_RUNNING, "life-1")
		start, _ := effectOf[call.SendStart](f)
		Expect(start.ResumeFrom).To(BeEquivalentTo(1))
		f.step(call.Sent{Attempt: 2, Incarnation: "life-1"})
		f.step(call.StreamLost{Attempt: 2})

		chunks, final := answer(requestID, 2, "one ", "two ")
		f.step(call.Resolution{Attempt: 2, Frame: &wire.Resolution{
			RequestId: requestID[:], Outcome: wire.Outcome_OUTCOME_RAN, Incarnation: "life-1",
			Chunks: chunks, Final: final, ResumeFrom: 0,
		}})
		Expect(f.delivered).To(Equal("one "))
		Expect(f.machine.Ended()).To(BeFalse())
	})

	// The first attempt may still run when the second is refused. Told the
	// verdict of the second alone, the caller would ask again.
	It("tells the worst verdict of all attempts", func() {
		f := newFixture(call.Spec{Idempotent: true})
		f.sendTo("a")
		f.step(call.StreamLost{Attempt: 1})
		f.step(call.ResolveFailed{Attempt: 1})
		f.step(call.Unroutable{Attempt: 2, Err: verdict.NewRejection(verdict.CodeNoBackend, "none", time.Second)})
		Expect(f.failure().Verdict).To(Equal(verdict.MayHaveRun))
	})

	// The prefill engine cannot take the prompt. The draft comes all the same:
	// the decode engine reads the prompt itself.
	It("lets the decode engine prefill when the prefill engine fails", func() {
		f := newFixture(call.Spec{Resumable: true})
		f.step(call.Routed{Attempt: 1, Server: "decode", PrefillServer: "prefill"})
		start, _ := effectOf[call.SendStart](f)
		Expect(start.Server).To(Equal("prefill"))
		Expect(start.PrefillOnly).To(BeTrue())
		f.step(call.NotSent{Attempt: 1})
		start, _ = effectOf[call.SendStart](f)
		Expect(start.Server).To(Equal("decode"))
		Expect(start.KV).To(BeNil())
	})

	It("passes the ticket of the KV cache to the decode engine", func() {
		f := newFixture(call.Spec{Resumable: true})
		f.step(call.Routed{Attempt: 1, Server: "decode", PrefillServer: "prefill"})
		_, final := answer(requestID, 1)
		final.Kv = &wire.KVTicket{Id: "kv-1"}
		f.step(call.Final{Attempt: 1, Frame: final})
		start, _ := effectOf[call.SendStart](f)
		Expect(start.Attempt).To(BeEquivalentTo(2))
		Expect(start.KV.GetId()).To(Equal("kv-1"))
	})

	// A request waits in the sidecar's queue past its deadline. The sidecar can
	// still say that it never began, which is worth a moment's wait: the caller
	// may then ask again.
	It("waits past the deadline for the sidecar's word", func() {
		f := newFixture(call.Spec{})
		f.sendTo("a")
		f.now = f.machine.NextTimer()
		f.step(call.Timer{})
		_, cancels := effectOf[call.Cancel](f)
		Expect(cancels).To(BeTrue())
		f.step(call.Refusal{Attempt: 1, Frame: &wire.Refusal{
			RequestId: requestID[:], Attempt: 1, Code: string(verdict.CodeDeadlineExceeded),
		}})
		Expect(f.failure().Verdict).To(Equal(verdict.NotRun))
	})
})
