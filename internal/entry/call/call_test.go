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

func TestMain(m *testing.M) { os.Exit(seeded.Run(m, seeded.RapidOptions{Checks: 3000, Steps: 60})) }

func TestCall(t *testing.T) {
	invariant.PanicOnViolation()
	RegisterFailHandler(Fail)
	RunSpecs(t, "call")
}

var (
	requestID = uuid.MustParse("01890000-0000-7000-8000-000000000001")
	startTime = time.Unix(1_000, 0)
)

// fixture drives one machine and records the effects of the last step.
type fixture struct {
	machine   *call.Machine
	now       time.Time
	effects   []call.Effect
	delivered string
}

func newFixture(spec call.Spec) *fixture {
	spec.ID = requestID
	spec.Deadline = startTime.Add(time.Minute)
	f := &fixture{machine: call.New(spec), now: startTime}
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

// sendTo routes the current attempt to server and reports it as sent.
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

// answer returns the chunks of a complete answer and its Final frame.
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
	It("delivers a complete answer chunk by chunk", func() {
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

	// Guards against mixed-up answers: two requests share a link, and a frame of
	// one arrives on the stream of the other, so that its caller would get another
	// caller's text within its own answer.
	It("drops a frame of another request", func() {
		f := newFixture(call.Spec{Resumable: true})
		f.sendTo("a")
		f.step(call.Chunk{Attempt: 1, Frame: chunk(uuid.New(), 1, 0, "stranger")})
		Expect(f.delivered).To(BeEmpty())
	})

	// Guards against a truncated answer that its caller takes for the complete
	// one: a chunk is lost and the Final frame arrives. Chunk count and digest in
	// the Final frame reveal the loss.
	It("does not complete an answer with a missing chunk", func() {
		f := newFixture(call.Spec{})
		f.sendTo("a")
		chunks, final := answer(requestID, 1, "x", "y")
		f.step(call.Chunk{Attempt: 1, Frame: chunks[0]})
		f.step(call.Final{Attempt: 1, Frame: final})
		Expect(f.machine.Finished()).To(BeFalse())
		_, asks := effectOf[call.Resolve](f)
		Expect(asks).To(BeTrue())
		Expect(f.delivered).To(BeEmpty())
	})

	// Guards against an answer that breaks off or has a gap when an engine crashes
	// while generating: another one continues from the text that was delivered.
	It("resumes an interrupted generation at another engine", func() {
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

	// Guards against a second prefill of a long prompt: the connection to a busy
	// engine goes silent while a new one works, so the request continues where
	// it runs.
	It("reattaches to a running stream on a new connection", func() {
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

	// Guards against errors during a planned change: a keyed request arrives while
	// its key slot moves to another owner, and waits for the new owner.
	It("waits for the next owner of a key slot", func() {
		f := newFixture(call.Spec{Keyed: true})
		f.sendTo("a")
		f.step(call.Refusal{Attempt: 1, Frame: &wire.Refusal{
			RequestId: requestID[:], Attempt: 1, Code: string(verdict.CodeNoBackend), RetryAfterMs: 100,
		}})
		Expect(f.effects).NotTo(ContainElement(BeAssignableToTypeOf(call.Route{})))
		Expect(f.machine.NextTimer()).To(Equal(startTime.Add(100 * time.Millisecond)))
		f.now = f.machine.NextTimer()
		f.step(call.Timer{})
		route, ok := effectOf[call.Route](f)
		Expect(ok).To(BeTrue())
		Expect(route.Excluded).To(BeEmpty())
	})

	// Guards against a long answer that is broken off during planned changes: two
	// engines change their roles one after the other, and the wait for the first
	// must not count towards the second.
	It("applies the wait limit to each planned change separately", func() {
		f := newFixture(call.Spec{Resumable: true})
		later := func() {
			f.step(call.Unroutable{
				Attempt: f.machine.Attempt(), Err: verdict.NewRejection(verdict.CodeNoBackend, "changing", 0), RetryIn: call.MinRouteDelay,
			})
		}
		later()
		f.now = f.now.Add(call.MaxChangeWait + time.Second)
		f.step(call.Timer{})
		f.sendTo("a")
		f.step(call.Chunk{Attempt: 1, Frame: chunk(requestID, 1, 0, "x")})
		f.step(call.Refusal{Attempt: 1, Frame: &wire.Refusal{
			RequestId: requestID[:], Attempt: 1, Code: string(verdict.CodeDraining),
		}})
		later()
		Expect(f.machine.Finished()).To(BeFalse())
	})

	// Guards against a second run: the sidecar restarts after it ran a request,
	// has no record of it and reports "not run", so that the caller would retry.
	It("does not trust \"not run\" from a restarted sidecar", func() {
		f := newFixture(call.Spec{})
		f.sendTo("a")
		f.step(call.StreamLost{Attempt: 1})
		f.resolve(wire.Outcome_OUTCOME_NOT_RUN, "life-2")
		Expect(f.failure().Verdict).To(Equal(verdict.MayHaveRun))
	})

	// Guards against telling the caller "not run" falsely: the driver reports
	// NotSent after Sent, while the sidecar runs the attempt.
	It("ignores NotSent for an attempt that was sent", func() {
		f := newFixture(call.Spec{})
		f.sendTo("a")
		f.step(call.NotSent{Attempt: 1})
		Expect(f.effects).To(BeEmpty())
		Expect(f.machine.Verdict()).To(Equal(verdict.MayHaveRun))
	})

	// Guards against a needless move of a healthy request: the connection of an
	// earlier attempt, already abandoned, breaks.
	It("ignores the loss of an earlier attempt's stream", func() {
		f := newFixture(call.Spec{Resumable: true})
		f.sendTo("a")
		f.step(call.LinkSilent{Attempt: 1})
		f.step(call.ResolveFailed{Attempt: 1})
		f.sendTo("b")
		f.step(call.StreamLost{Attempt: 1})
		Expect(f.effects).To(BeEmpty())
	})

	It("sends a request to another server once its sidecar has ruled out that it runs", func() {
		f := newFixture(call.Spec{})
		f.sendTo("a")
		f.step(call.LinkSilent{Attempt: 1})
		f.resolve(wire.Outcome_OUTCOME_NOT_RUN, "life-1")
		route, ok := effectOf[call.Route](f)
		Expect(ok).To(BeTrue())
		Expect(route.Retry.NotRun).To(BeTrue())
	})

	// Guards against a second run: the link goes silent while a long call is
	// running. Its answer comes later, from what the sidecar stored.
	It("waits for a request that is still running and uses its stored answer", func() {
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
		Expect(f.machine.Finished()).To(BeTrue())
	})

	// Guards against a repeated beginning: a stream is lost, a second attempt
	// reattaches in the middle of the running answer, and its stream is lost as
	// well. The answer that the sidecar stored begins where the run began.
	It("rejects a stored answer that begins before the resume point", func() {
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
		Expect(f.machine.Finished()).To(BeFalse())
	})

	// Guards against a false "not run": the first attempt may still be running
	// when no server is found for the second, and the caller would retry.
	It("reports the worst verdict of all attempts", func() {
		f := newFixture(call.Spec{Idempotent: true})
		f.sendTo("a")
		f.step(call.StreamLost{Attempt: 1})
		f.step(call.ResolveFailed{Attempt: 1})
		f.step(call.Unroutable{Attempt: 2, Err: verdict.NewRejection(verdict.CodeNoBackend, "none", time.Second)})
		Expect(f.failure().Verdict).To(Equal(verdict.MayHaveRun))
	})

	// Guards against a false verdict, or a Retry-After that repeats a call, when the entry
	// stops before the answer has come.
	It("reports what is known of its attempts when the process shuts down", func() {
		waiting := newFixture(call.Spec{})
		waiting.step(call.ShutDown{})
		Expect(waiting.failure().Verdict).To(Equal(verdict.NotRun))
		Expect(waiting.failure().Code).To(Equal(verdict.CodeDraining))
		Expect(waiting.failure().RetryAfter).NotTo(BeZero())
		running := newFixture(call.Spec{})
		running.sendTo("a")
		running.step(call.ShutDown{})
		Expect(running.failure().Verdict).To(Equal(verdict.MayHaveRun))
		Expect(running.failure().RetryAfter).To(BeZero())
	})

	// Guards against a request that fails because its prefill engine is
	// unreachable: the decode engine prefills the prompt itself.
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

	// Guards against a needless "may have run": a request is still in the
	// sidecar's queue at its deadline. If the sidecar confirms that it never
	// started, the caller may retry.
	It("waits for the sidecar's response to the Cancel after the deadline", func() {
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
