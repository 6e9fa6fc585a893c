package sidecar_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/operator"
	"pistachioroad.dev/pistachioroad/internal/plan"
	"pistachioroad.dev/pistachioroad/internal/settings"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/sidecar"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
	"pistachioroad.dev/pistachioroad/test/standin/modelengine"
)

func TestSidecar(t *testing.T) {
	invariant.PanicOnViolation()
	RegisterFailHandler(Fail)
	RunSpecs(t, "sidecar")
}

var _ = Describe("Run", func() {
	It("streams an answer of the engine with a valid digest", func() {
		s := startEngineSidecar()
		text, final := receiveAnswer(s.link().send(generation("portfolio", 20)))
		Expect(text).To(Equal(modelengine.Answer("portfolio", 20)))
		Expect(final.GetFinishReason()).To(Equal("length"))
	})

	It("passes on the answer of a plain service", func() {
		s := startServiceSidecar()
		text, final := receiveAnswer(s.link().send(bookingCall("seo-yeon")))
		Expect(text).To(ContainSubstring("seo-yeon"))
		Expect(final.GetStatus()).To(BeEquivalentTo(http.StatusCreated))
	})

	It("shows operators the state of each duty and the decisions for a request", func() {
		s := startEngineSidecar()
		start := generation("portfolio", 1)
		receiveAnswer(s.link().send(start))
		dump := operator.Dump{}
		s.getOperator("/dump", &dump)
		Expect(dump.Duties).To(HaveLen(8))
		for name, duty := range dump.Duties {
			Expect(duty.Condition).To(Equal(operator.DutyOK), name)
		}
		explanation := operator.Explanation{}
		s.getOperator("/explain?subject="+uuid.UUID(start.GetRequestId()).String(), &explanation)
		Expect(explanation.Records).To(ContainElement(HaveField("Decision", "ran")))
	})

	// Guards against two sidecars that both send orders to the engine: an operator
	// starts a second one, or the platform does while the first is paused.
	It("does not run twice on one VM", func() {
		s := startServiceSidecar()
		Expect(sidecar.Run(context.Background(), s.settings)).To(MatchError(ContainSubstring("another sidecar")))
	})

	Describe("a lost link", func() {
		// Guards against a second run of a call: its connection breaks while it
		// runs, and the entry's Resolve on another one must not return "not run".
		It("does not lose the result of a call", func() {
			s := startServiceSidecar()
			s.delayService(300 * time.Millisecond)
			first, second := s.link(), s.link()
			start := bookingCall("seo-yeon")
			first.send(start)
			Eventually(s.runs("seo-yeon")).Should(Equal(1))
			Expect(first.Close()).To(Succeed())

			Expect(second.resolve(start).GetOutcome()).To(Equal(wire.Outcome_OUTCOME_RUNNING))
			Eventually(func() wire.Outcome { return second.resolve(start).GetOutcome() }).
				WithTimeout(5 * time.Second).Should(Equal(wire.Outcome_OUTCOME_RAN))
			resolved := second.resolve(start)
			Expect(resolved.GetIncarnation()).To(Equal(second.hello.GetIncarnation()))
			Expect(resolved.GetFinal().GetStatus()).To(BeEquivalentTo(http.StatusCreated))
			Expect(s.runs("seo-yeon")()).To(Equal(1))
		})

		// Guards against running a call after "not run": the Start is still in
		// transit when the entry sends a Resolve on a second connection.
		It("does not start what was resolved as not run", func() {
			s := startServiceSidecar()
			start := bookingCall("seo-yeon")
			Expect(s.link().resolve(start).GetOutcome()).To(Equal(wire.Outcome_OUTCOME_NOT_RUN))
			refusal := receiveRefusal(s.link().send(start))
			Expect(refusal.GetVerdict()).To(Equal(wire.Verdict_VERDICT_NOT_RUN))
			Expect(s.runs("seo-yeon")()).To(BeZero())
		})
	})

	// Guards against a late start: the sidecar is paused with a frame in its socket
	// buffer, and only the echoed clock value shows the frame's age.
	It("does not start a request whose time budget expired in transit", func() {
		s := startServiceSidecar()
		l := s.link()
		start := bookingCall("seo-yeon")
		start.BudgetUs = time.Millisecond.Microseconds()
		start.ClockUs = l.hello.GetClockUs()
		time.Sleep(2 * time.Millisecond)
		Expect(receiveRefusal(l.send(start)).GetCode()).To(BeEquivalentTo(verdict.CodeDeadlineExceeded))
		Expect(s.runs("seo-yeon")()).To(BeZero())
	})

	// Guards against running a call twice when a caller retries it with the same
	// idempotency key after a broken connection.
	It("runs a call once for its idempotency key", func() {
		s := startServiceSidecar()
		l := s.link()
		l.offer(plan.Plan{Region: "seoul", Slots: map[string]plan.Slots{"booking": {Owners: []string{"vm-1"}}}})
		l.awaitSlots()
		first, second := bookingCall("seo-yeon"), bookingCall("seo-yeon")
		first.IdempotencyKey, second.IdempotencyKey = "k", "k"
		answer, _ := receiveAnswer(l.send(first))
		replayed, final := receiveAnswer(l.send(second))
		Expect(replayed).To(Equal(answer))
		Expect(final.GetReplayed()).To(BeTrue())
		Expect(s.runs("seo-yeon")()).To(Equal(1))
	})

	// Guards against running a call whose key may have been used already, because
	// the store is down.
	It("does not run a call whose key cannot be claimed", func() {
		s := startServiceSidecar()
		start := bookingCall("seo-yeon")
		start.IdempotencyKey = "k"
		Expect(receiveRefusal(s.link().send(start)).GetVerdict()).To(Equal(wire.Verdict_VERDICT_NOT_RUN))
		Expect(s.runs("seo-yeon")()).To(BeZero())
	})

	Describe("a model engine", func() {
		// Guards against passing on a truncated answer as complete when the
		// engine crashes in the middle of it.
		It("that crashes in mid-answer causes a refusal", func() {
			s := startEngineSidecar()
			conn := s.link().send(generation("portfolio", 10_000))
			receiveChunk(conn)
			s.backend.CloseClientConnections()
			refusal := receiveRefusal(conn)
			Expect(refusal.GetVerdict()).To(Equal(wire.Verdict_VERDICT_MAY_HAVE_RUN))
			Expect(refusal.GetCode()).To(BeEquivalentTo(verdict.CodeAnswerBroken))
			receiveAnswer(s.admitted().send(generation("portfolio", 5)))
		})

		// Guards against an order sent while requests are running, which would
		// interrupt them; the stand-in engine records that as a violation.
		It("changes without interrupting a request", func() {
			s := startEngineSidecar()
			l := s.link()
			stop := s.keepGenerating()
			l.offer(plan.Plan{Region: "seoul", Engines: map[string]plan.Engine{
				"vm-1": {Generation: 1, Role: engine.RoleDecode, Model: "draft", Weights: "1", Reason: "test"},
			}})
			Eventually(s.engineRecord).WithTimeout(20 * time.Second).Should(HaveField("Orders", HaveLen(1)))
			s.admitted()
			Expect(stop()).To(BeEmpty())
			Expect(s.engineRecord().Violations).To(BeEmpty())
		})
	})

	// The entry passes only a ticket; the engines transfer the KV cache
	// themselves.
	It("prefills on one engine and decodes on another", func() {
		prefill, decode := startEngineSidecar(), startEngineSidecar()
		start := generation("portfolio", 10)
		start.GetGenerate().PrefillOnly = true
		text, final := receiveAnswer(prefill.link().send(start))
		Expect(text).To(BeEmpty())

		start = generation("portfolio", 10)
		start.GetGenerate().Kv = final.GetKv()
		start.GetGenerate().Kv.Source = address(prefill.backend)
		text, _ = receiveAnswer(decode.link().send(start))
		Expect(text).To(Equal(modelengine.Answer("portfolio", 10)))
		Expect(decode.engineRecord().Imports).To(Equal(1))
	})

	// Guards against interrupting a generation on shutdown: it completes, and later
	// requests are rejected immediately so that they go elsewhere.
	It("completes running requests when it shuts down", func() {
		s := startEngineSidecar()
		l := s.link()
		running := l.send(generation("portfolio", 200))
		first := receiveChunk(running)
		s.stop()
		l.awaitDraining()
		refusal := receiveRefusal(l.send(generation("portfolio", 1)))
		Expect(refusal.GetVerdict()).To(Equal(wire.Verdict_VERDICT_NOT_RUN))
		Expect(refusal.GetCode()).To(BeEquivalentTo(verdict.CodeDraining))
		text, _ := receiveAnswer(running, first)
		Expect(text).To(Equal(modelengine.Answer("portfolio", 200)))
		Eventually(s.stopped).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
	})
})

var _ = Describe("A shutdown", func() {
	// Guards against a call that is cut without a word because it takes longer than the
	// sidecar has left when it stops: its entry would ask for the outcome until it gives up.
	It("tells the entry of a call that outlasts it that it may have run", func() {
		release := make(chan struct{})
		defer close(release)
		placing := make(chan struct{}, 1)
		s := startSidecar("booking", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			placing <- struct{}{}
			<-release
		}), func(s *settings.Sidecar) { s.ShutdownTimeout = 2 * time.Second })
		call := s.link().send(bookingCall("seo-yeon"))
		Eventually(placing).Should(Receive())
		s.stop()
		refusal := receiveRefusal(call)
		Expect(refusal.GetVerdict()).To(Equal(wire.Verdict_VERDICT_MAY_HAVE_RUN))
		Expect(refusal.GetCode()).To(BeEquivalentTo(verdict.CodeOutcomeUnknown))
		Eventually(s.stopped).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
	})
})

var _ = Describe("Run without a caller", func() {
	// Guards against an outcome that stays unknown forever: a call's entry crashes
	// and the sidecar shuts down while the call is running.
	It("returns only after a running call that may not be repeated", func() {
		release := make(chan struct{})
		placing := make(chan struct{}, 1)
		s := startSidecar("booking", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			placing <- struct{}{}
			<-release
		}))
		l := s.link()
		l.send(bookingCall("seo-yeon"))
		Eventually(placing).Should(Receive())
		Expect(l.Close()).To(Succeed())
		s.stop()
		Consistently(s.stopped, time.Second).ShouldNot(Receive())
		close(release)
		Eventually(s.stopped).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
	})
})

var _ = Describe("Versions", func() {
	// Guards against announcing the versions of the previous snapshot after a
	// change: operators would see the sidecar lag by seconds, and the entry would
	// send the object again.
	It("are announced after a change with the new version", func() {
		s := startServiceSidecar()
		l := s.admitted()
		l.await(func(frame *wire.Frame) bool { return frame.GetVersions() != nil })
		l.offer(plan.Plan{Region: "seoul"})
		announced := map[string]uint64{}
		l.await(func(frame *wire.Frame) bool {
			announced = frame.GetVersions().GetVersions()
			return announced != nil
		})
		Expect(announced).To(HaveKeyWithValue("plan/seoul", uint64(7)))
	})
})

// offer sends the sidecar a newer plan, as an entry does.
func (l *entryLink) offer(p plan.Plan) {
	GinkgoHelper()
	value, err := json.Marshal(p)
	Expect(err).NotTo(HaveOccurred())
	object := sharedstate.Object{Name: plan.ObjectName(p.Region), Version: 7, Value: value}
	l.control(&wire.Frame{Body: &wire.Frame_Object{Object: &wire.Object{
		Name: object.Name, Version: object.Version, Value: object.Value,
	}}})
}
