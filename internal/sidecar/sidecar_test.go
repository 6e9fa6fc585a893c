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
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/sidecar"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
	"pistachioroad.dev/pistachioroad/test/standin/modelengine"
)

func TestSidecar(t *testing.T) {
	invariant.PanicOnBreach()
	RegisterFailHandler(Fail)
	RunSpecs(t, "sidecar")
}

var _ = Describe("Run", func() {
	It("streams an answer of the engine and proves it whole", func() {
		s := startEngineSidecar()
		text, final := receiveAnswer(s.link().send(draft("portfolio", 20)))
		Expect(text).To(Equal(modelengine.Answer("portfolio", 20)))
		Expect(final.GetFinishReason()).To(Equal("length"))
	})

	It("passes the answer of a plain service on", func() {
		s := startServiceSidecar()
		text, final := receiveAnswer(s.link().send(hold("seo-yeon")))
		Expect(text).To(ContainSubstring("seo-yeon"))
		Expect(final.GetStatus()).To(BeEquivalentTo(http.StatusCreated))
	})

	It("tells operators the state of each duty and what was decided", func() {
		s := startEngineSidecar()
		start := draft("portfolio", 1)
		receiveAnswer(s.link().send(start))
		dump := operator.Dump{}
		s.askOperators("/dump", &dump)
		Expect(dump.Duties).To(HaveLen(8))
		for name, duty := range dump.Duties {
			Expect(duty.Condition).To(Equal(operator.DutyOK), name)
		}
		told := operator.Explanation{}
		s.askOperators("/explain?subject="+uuid.UUID(start.GetRequestId()).String(), &told)
		Expect(told.Records).To(ContainElement(HaveField("Decision", "ran")))
	})

	// An operator starts a second sidecar on the VM, or the platform does while
	// the first one is paused. Both would order the engine.
	It("does not run twice on one VM", func() {
		s := startServiceSidecar()
		Expect(sidecar.Run(context.Background(), s.settings)).To(MatchError(ContainSubstring("another sidecar")))
	})

	Describe("a link that is lost", func() {
		// A connection breaks while a hold is placed. The entry asks on another
		// one; told "not run", it would place a second hold.
		It("does not lose the result of a call", func() {
			s := startServiceSidecar()
			s.slowService(300 * time.Millisecond)
			first, second := s.link(), s.link()
			start := hold("seo-yeon")
			first.send(start)
			Eventually(s.runs("seo-yeon")).Should(Equal(1))
			Expect(first.Close()).To(Succeed())

			Expect(second.resolve(start).GetOutcome()).To(Equal(wire.Outcome_OUTCOME_RUNNING))
			Eventually(func() wire.Outcome { return second.resolve(start).GetOutcome() }).
				WithTimeout(5 * time.Second).Should(Equal(wire.Outcome_OUTCOME_RAN))
			kept := second.resolve(start)
			Expect(kept.GetIncarnation()).To(Equal(second.hello.GetIncarnation()))
			Expect(kept.GetFinal().GetStatus()).To(BeEquivalentTo(http.StatusCreated))
			Expect(s.runs("seo-yeon")()).To(Equal(1))
		})

		// The frame of a hold is still under way when its entry asks on a
		// second connection and is told "not run".
		It("does not start what was resolved as not run", func() {
			s := startServiceSidecar()
			start := hold("seo-yeon")
			Expect(s.link().resolve(start).GetOutcome()).To(Equal(wire.Outcome_OUTCOME_NOT_RUN))
			refusal := receiveRefusal(s.link().send(start))
			Expect(refusal.GetVerdict()).To(Equal(wire.Verdict_VERDICT_NOT_RUN))
			Expect(s.runs("seo-yeon")()).To(BeZero())
		})
	})

	// The sidecar is paused with a frame in its socket buffer; the frame's age
	// shows only against the clock that its entry last heard.
	It("does not start what spent its time under way", func() {
		s := startServiceSidecar()
		l := s.link()
		start := hold("seo-yeon")
		start.BudgetUs = time.Millisecond.Microseconds()
		start.ClockUs = l.hello.GetClockUs()
		time.Sleep(2 * time.Millisecond)
		Expect(receiveRefusal(l.send(start)).GetCode()).To(BeEquivalentTo(verdict.CodeDeadlineExceeded))
		Expect(s.runs("seo-yeon")()).To(BeZero())
	})

	// A caller asks for a hold twice under one key, because its first
	// connection broke.
	It("runs a call once for its idempotency key", func() {
		s := startServiceSidecar()
		l := s.link()
		l.offer(plan.Plan{Region: "seoul", Slots: map[string]plan.Slots{"booking": {Owners: []string{"vm-1"}}}})
		l.awaitSlots()
		first, second := hold("seo-yeon"), hold("seo-yeon")
		first.IdempotencyKey, second.IdempotencyKey = "k", "k"
		placed, _ := receiveAnswer(l.send(first))
		replayed, final := receiveAnswer(l.send(second))
		Expect(replayed).To(Equal(placed))
		Expect(final.GetReplayed()).To(BeTrue())
		Expect(s.runs("seo-yeon")()).To(Equal(1))
	})

	// The store is down, and nobody can tell whether the key was used.
	It("runs nothing for a key that cannot be claimed", func() {
		s := startServiceSidecar()
		start := hold("seo-yeon")
		start.IdempotencyKey = "k"
		Expect(receiveRefusal(s.link().send(start)).GetVerdict()).To(Equal(wire.Verdict_VERDICT_NOT_RUN))
		Expect(s.runs("seo-yeon")()).To(BeZero())
	})

	Describe("an engine", func() {
		// It crashes in the middle of a draft, and the answer merely stops.
		It("that breaks off gives no short answer for a whole one", func() {
			s := startEngineSidecar()
			conn := s.link().send(draft("portfolio", 10_000))
			receiveChunk(conn)
			s.backend.CloseClientConnections()
			refusal := receiveRefusal(conn)
			Expect(refusal.GetVerdict()).To(Equal(wire.Verdict_VERDICT_MAY_HAVE_RUN))
			Expect(refusal.GetCode()).To(BeEquivalentTo(verdict.CodeAnswerBroken))
			receiveAnswer(s.admitted().send(draft("portfolio", 5)))
		})

		// The plan changes the engine while drafts go on. An order that leaves
		// too early cuts them, and the engine records that.
		It("changes without cutting a draft", func() {
			s := startEngineSidecar()
			l := s.link()
			stop := s.keepDrafting()
			l.offer(plan.Plan{Region: "seoul", Engines: map[string]plan.Engine{
				"vm-1": {Generation: 1, Role: engine.RoleDecode, Model: "draft", Weights: "1", Reason: "test"},
			}})
			Eventually(s.engineRecord).WithTimeout(20 * time.Second).Should(HaveField("Orders", HaveLen(1)))
			s.admitted()
			Expect(stop()).To(BeEmpty())
			Expect(s.engineRecord().Violations).To(BeEmpty())
		})
	})

	// The prefill and the decode of a draft run on two engines. The entry passes
	// a ticket only; the engines move the cache between themselves.
	It("prefills on one engine and decodes on another", func() {
		prefill, decode := startEngineSidecar(), startEngineSidecar()
		start := draft("portfolio", 10)
		start.GetGenerate().PrefillOnly = true
		text, final := receiveAnswer(prefill.link().send(start))
		Expect(text).To(BeEmpty())

		start = draft("portfolio", 10)
		start.GetGenerate().Kv = final.GetKv()
		start.GetGenerate().Kv.Source = address(prefill.backend)
		text, _ = receiveAnswer(decode.link().send(start))
		Expect(text).To(Equal(modelengine.Answer("portfolio", 10)))
		Expect(decode.engineRecord().Imports).To(Equal(1))
	})

	// A backend server is taken down while a draft is on its way. The booker
	// sees it end; what comes after goes elsewhere at once.
	It("finishes what runs when it shuts down", func() {
		s := startEngineSidecar()
		l := s.link()
		running := l.send(draft("portfolio", 200))
		first := receiveChunk(running)
		s.stop()
		l.awaitDraining()
		refusal := receiveRefusal(l.send(draft("portfolio", 1)))
		Expect(refusal.GetVerdict()).To(Equal(wire.Verdict_VERDICT_NOT_RUN))
		Expect(refusal.GetCode()).To(BeEquivalentTo(verdict.CodeDraining))
		text, _ := receiveAnswer(running, first)
		Expect(text).To(Equal(modelengine.Answer("portfolio", 200)))
		Eventually(s.stopped).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
	})
})

var _ = Describe("Run without a caller", func() {
	// A hold is being placed when its entry dies and the backend server is
	// taken down. Cut now, nobody would ever know whether it was placed.
	It("ends only after a call that may not be repeated", func() {
		release := make(chan struct{})
		placing := make(chan struct{}, 1)
		s := startSidecar("booking", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			placing <- struct{}{}
			<-release
		}))
		l := s.link()
		l.send(hold("seo-yeon"))
		Eventually(placing).Should(Receive())
		Expect(l.Close()).To(Succeed())
		s.stop()
		Consistently(s.stopped, time.Second).ShouldNot(Receive())
		close(release)
		Eventually(s.stopped).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
	})
})

var _ = Describe("Versions", func() {
	// Operators edit and look where the change is in force. A sidecar that tells
	// of the snapshot before its change looks as if it lagged by seconds, and the
	// entry sends it the object once more.
	It("are told of a change with the version that is then in force", func() {
		s := startServiceSidecar()
		l := s.admitted()
		l.await(func(frame *wire.Frame) bool { return frame.GetVersions() != nil })
		l.offer(plan.Plan{Region: "seoul"})
		told := map[string]uint64{}
		l.await(func(frame *wire.Frame) bool {
			told = frame.GetVersions().GetVersions()
			return told != nil
		})
		Expect(told).To(HaveKeyWithValue("plan/seoul", uint64(7)))
	})
})

// offer hands the sidecar a plan, as an entry does that has a newer one.
func (l *entryLink) offer(p plan.Plan) {
	GinkgoHelper()
	value, err := json.Marshal(p)
	Expect(err).NotTo(HaveOccurred())
	object := sharedstate.Object{Name: plan.ObjectName(p.Region), Version: 7, Value: value}
	l.control(&wire.Frame{Body: &wire.Frame_Object{Object: &wire.Object{
		Name: object.Name, Version: object.Version, Value: object.Value,
	}}})
}
