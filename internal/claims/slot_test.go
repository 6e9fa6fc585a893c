package claims_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/claims"
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

func TestClaims(t *testing.T) {
	invariant.PanicOnBreach()
	RegisterFailHandler(Fail)
	RunSpecs(t, "claims")
}

var _ = Describe("Slot", func() {
	var (
		w    *world
		a, b *owner
	)
	kind := func(token uint64) string {
		answer, ok := w.answers[token]
		if !ok {
			return "no answer"
		}
		return answer.Kind.String()
	}
	BeforeEach(func() {
		w = newWorld(1, "a", "b")
		a, b = w.owners[0], w.owners[1]
		w.give(1, a)
		w.advance(time.Second)
		Expect(a.slot.Owned()).To(BeTrue())
	})

	It("runs a key once and replays its result", func() {
		first := w.ask(a, "k", 1)
		w.advance(time.Second)
		again := w.ask(a, "k", 1)
		other := w.ask(a, "k", 2)
		w.advance(time.Second)
		Expect(kind(first)).To(Equal("granted"))
		Expect(kind(again)).To(Equal("replay"))
		Expect(kind(other)).To(Equal("other body"))
		Expect(w.record().Claims["k"].Result.Status).To(Equal(201))
	})

	// A caller whose first request hangs sends a second one with the same key.
	// Running both would place the hold twice.
	It("refuses a key whose call is running", func() {
		w.granted = func(o *owner, _ uint64, r claims.Request) { w.run(o, r, time.Minute) }
		w.ask(a, "k", 1)
		same := w.ask(a, "k", 1)
		w.advance(time.Second)
		again := w.ask(a, "k", 1)
		w.advance(time.Second)
		Expect(kind(same)).To(Equal("in progress"))
		Expect(kind(again)).To(Equal("in progress"))
		Expect(w.answers[again].Err().Verdict).To(Equal(verdict.MayHaveRun))
	})

	// Many callers come at once. With one update for each, the store's rate
	// would be spent and callers would be refused.
	It("commits all waiting keys in one update", func() {
		before := w.puts
		for n := range 100 {
			w.ask(a, fmt.Sprint("k", n), 1)
		}
		w.advance(time.Second)
		Expect(w.runs).To(HaveLen(100))
		Expect(w.puts - before).To(BeNumerically("<=", 5))
	})

	// The store takes the claim and its reply is lost. The caller must not be
	// told "not run" and the call must not stay claimed without ever running.
	It("grants a claim whose reply was lost", func() {
		w.fate = inOrder(replyLost)
		token := w.ask(a, "k", 1)
		w.advance(2 * time.Second)
		Expect(kind(token)).To(Equal("granted"))
		Expect(w.runs["k"]).To(Equal(1))
	})

	// The claim takes effect seconds after its writer has given up waiting. It
	// must not come in between what the owner wrote since.
	It("settles a claim that takes effect late", func() {
		w.fate = inOrder(late)
		token := w.ask(a, "k", 1)
		w.advance(10 * time.Second)
		Expect(kind(token)).To(Equal("granted"))
		again := w.ask(a, "k", 1)
		w.advance(time.Second)
		Expect(kind(again)).To(Equal("replay"))
	})

	// The store goes down between the claim and its reply, so that nobody can
	// tell whether it is recorded. The caller is told "not run" soon, asks
	// again when the store is back, and the call runs then, once.
	It("frees a claim that cannot be settled", func() {
		w.fate = inOrderThen(outage, replyLost)
		token := w.ask(a, "k", 1)
		w.advance(3 * time.Second)
		Expect(kind(token)).To(Equal("unavailable"))
		Expect(w.answers[token].Err().Verdict).To(Equal(verdict.NotRun))
		Expect(w.runs["k"]).To(BeZero())
		w.fate = func() fate { return fine }
		w.advance(5 * time.Second)
		again := w.ask(a, "k", 1)
		w.advance(time.Second)
		Expect(kind(again)).To(Equal("granted"))
	})

	// The store is down for long. Callers are refused at once, and told when
	// to come back; those who wait in vain miss their deadline.
	It("refuses keys at once while the store is down, and recovers", func() {
		w.fate = func() fate { return outage }
		w.ask(a, "k1", 1)
		w.advance(20 * time.Millisecond)
		token := w.ask(a, "k2", 1)
		w.advance(20 * time.Millisecond)
		Expect(kind(token)).To(Equal("unavailable"))
		Expect(w.answers[token].RetryAfter).To(BeNumerically(">", 0))
		w.fate = func() fate { return fine }
		w.advance(5 * time.Second)
		again := w.ask(a, "k2", 1)
		w.advance(time.Second)
		Expect(kind(again)).To(Equal("granted"))
	})

	// A call ends while the store is down. Its result must not be lost: the
	// caller who asks again would be told that nobody knows.
	It("owes a result until the store is back", func() {
		w.granted = func(o *owner, _ uint64, r claims.Request) {
			w.fate = func() fate { return outage }
			w.run(o, r, 10*time.Millisecond)
		}
		w.ask(a, "k", 1)
		w.advance(30 * time.Second)
		again := w.ask(a, "k", 1)
		w.advance(time.Second)
		Expect(kind(again)).To(Equal("replay"))
		Expect(w.record().Claims["k"].Result).To(BeNil())
		w.fate = func() fate { return fine }
		w.advance(5 * time.Second)
		Expect(w.record().Claims["k"].Result).NotTo(BeNil())
	})

	// The sidecar is killed after the claim and before the result. Nobody can
	// know whether the call ran, so it never runs again.
	It("says for ever that a claim without result may have run", func() {
		w.granted = func(o *owner, _ uint64, r claims.Request) { w.run(o, r, time.Minute) }
		w.ask(a, "k", 1)
		w.advance(time.Second)
		w.restart(a)
		w.give(1, a)
		w.advance(time.Second)
		for range 3 {
			again := w.ask(a, "k", 1)
			w.advance(48 * time.Hour)
			Expect(kind(again)).To(Equal("may have run"))
		}
	})

	// The owner is paused after its claim was granted, the slot moves, and the
	// former owner wakes with requests still waiting. It must start nothing
	// new, and nobody else may run what it had claimed.
	It("moves away from a paused owner, which then runs nothing more", func() {
		w.granted = func(o *owner, _ uint64, r claims.Request) { w.run(o, r, time.Minute) }
		w.ask(a, "claimed", 1)
		w.advance(time.Second)
		a.paused = true
		stale := w.ask(a, "stale", 1)
		w.give(2, b)
		w.advance(5 * time.Second)
		Expect(b.slot.Owned()).To(BeFalse())
		w.advance(10 * time.Second)
		Expect(b.slot.Owned()).To(BeTrue())
		claimed := w.ask(b, "claimed", 1)
		moved := w.ask(b, "stale", 1)
		w.advance(time.Second)
		Expect(kind(claimed)).To(Equal("may have run"))
		Expect(kind(moved)).To(Equal("granted"))

		w.wakeUp(a)
		w.advance(5 * time.Second)
		Expect(kind(stale)).To(Equal("not owner"))
		Expect(a.slot.Owned()).To(BeFalse())
	})

	It("releases the slot once what runs is recorded, and the next owner replays", func() {
		w.granted = func(o *owner, _ uint64, r claims.Request) { w.run(o, r, 3*time.Second) }
		w.ask(a, "k", 1)
		w.advance(time.Second)
		w.give(2, b)
		w.advance(time.Second)
		refused := w.ask(a, "k2", 1)
		w.advance(time.Second)
		Expect(kind(refused)).To(Equal("not owner"))
		Expect(b.slot.Owned()).To(BeFalse())
		w.advance(5 * time.Second)
		Expect(a.slot.Idle()).To(BeTrue())
		Expect(b.slot.Owned()).To(BeTrue())
		again := w.ask(b, "k", 1)
		w.advance(time.Second)
		Expect(kind(again)).To(Equal("replay"))
	})

	// Two sidecars hold different plans, since one was cut off from the
	// entries. They would take the slot from each other without end.
	It("does not take a slot from an owner with a later plan", func() {
		w.give(3, b)
		w.advance(5 * time.Second)
		Expect(b.slot.Owned()).To(BeTrue())
		w.restart(a)
		w.step(a, claims.Plan{Version: 2, Owned: true})
		w.advance(5 * time.Minute)
		Expect(a.slot.Owned()).To(BeFalse())
		Expect(b.slot.Owned()).To(BeTrue())
	})

	// A VM is replaced by one of the same name while its sidecar is cut off and
	// goes on. The two must not take the slot from each other, or nobody is
	// served.
	It("leaves the slot to a later start of the same sidecar", func() {
		w = newWorld(1, "a", "a")
		former, later := w.owners[0], w.owners[1]
		w.give(1, former)
		w.advance(time.Second)
		later.incarnation++
		w.step(later, claims.Plan{Version: 1, Owned: true})
		w.advance(time.Second)
		Expect(later.slot.Owned()).To(BeTrue())
		token := w.ask(former, "k", 1)
		w.advance(5 * time.Second)
		Expect(kind(token)).To(Equal("not owner"))
		Expect(former.slot.Owned()).To(BeFalse())
	})

	It("uses a key again when its call was granted and not started", func() {
		w.granted = func(o *owner, _ uint64, r claims.Request) {
			w.afterAt(o, time.Millisecond, func() { w.step(o, claims.NotStarted{Request: r}) })
		}
		w.ask(a, "k", 1)
		w.advance(time.Second)
		Expect(w.record().Claims).NotTo(HaveKey("k"))
		again := w.ask(a, "k", 1)
		w.advance(time.Second)
		Expect(kind(again)).To(Equal("granted"))
	})

	// A report about the first of two requests with one key arrives late. The
	// second one's caller would get an answer that is not its own.
	It("ignores a report about another request with the same key", func() {
		requests := []claims.Request{}
		w.granted = func(_ *owner, _ uint64, r claims.Request) { requests = append(requests, r) }
		w.ask(a, "k", 1)
		w.advance(time.Second)
		w.step(a, claims.NotStarted{Request: requests[0]})
		w.advance(time.Second)
		w.ask(a, "k", 1)
		w.advance(time.Second)
		w.step(a, claims.Finished{Request: requests[0], Result: claims.NewResult(201, nil, nil)})
		again := w.ask(a, "k", 1)
		w.advance(time.Second)
		Expect(requests).To(HaveLen(2))
		Expect(kind(again)).To(Equal("in progress"))
	})

	It("says that a call without an answer may have run", func() {
		w.granted = func(o *owner, _ uint64, r claims.Request) {
			w.afterAt(o, time.Millisecond, func() { w.step(o, claims.ResultLost{Request: r}) })
		}
		w.ask(a, "k", 1)
		w.advance(time.Second)
		again := w.ask(a, "k", 1)
		w.advance(time.Second)
		Expect(kind(again)).To(Equal("may have run"))
	})

	It("keeps a result for its retention and no longer", func() {
		w.ask(a, "k", 1)
		w.advance(claims.DefaultRetention - time.Minute)
		kept := w.ask(a, "k", 1)
		w.ask(a, "other", 1)
		w.advance(2 * time.Minute)
		w.ask(a, "third", 1)
		w.advance(time.Second)
		Expect(kind(kept)).To(Equal("replay"))
		Expect(w.record().Claims).NotTo(HaveKey("k"))
		Expect(w.record().Claims).To(HaveKey("other"))
	})

	// Keys come faster than they expire. The record must stay within what the
	// store takes: a write that is refused for its size would end the slot.
	It("drops bodies and then refuses keys when the record is full", func() {
		w.maxBytes = 64 << 10
		w.restart(a)
		w.give(2, a)
		w.advance(time.Second)
		for n := range 1000 {
			w.ask(a, strings.Repeat("x", 40)+fmt.Sprint(n), 1)
			w.advance(100 * time.Millisecond)
		}
		kinds := map[claims.Kind]int{}
		for _, answer := range w.answers {
			kinds[answer.Kind]++
		}
		Expect(kinds[claims.Granted]).To(BeNumerically(">", 100))
		Expect(kinds[claims.Unavailable]).To(BeNumerically(">", 0))
		Expect(len(w.store.Value)).To(BeNumerically("<=", w.maxBytes))
		first := w.ask(a, strings.Repeat("x", 40)+"0", 1)
		w.advance(time.Second)
		Expect(kind(first)).To(Equal("replay"))
		Expect(w.answers[first].Result.BodyDropped).To(BeTrue())
	})

	// Somebody has damaged the object. Writing over it would forget its claims
	// and run their calls again.
	It("never takes a slot whose record cannot be read", func() {
		w.restart(a)
		w.store = sharedstate.Object{Version: 99, Value: []byte(`{"epoch":`)}
		w.give(2, a)
		w.advance(5 * time.Minute)
		Expect(a.slot.Owned()).To(BeFalse())
		Expect(w.store.Version).To(Equal(uint64(99)))
	})
})

// inOrder returns the fates given and then only fine ones.
func inOrder(fates ...fate) func() fate { return inOrderThen(fine, fates...) }

func inOrderThen(rest fate, fates ...fate) func() fate {
	return func() fate {
		if len(fates) == 0 {
			return rest
		}
		next := fates[0]
		fates = fates[1:]
		return next
	}
}
