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
	invariant.PanicOnViolation()
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
		w.assignTo(1, a)
		w.advance(time.Second)
		Expect(a.slot.Owned()).To(BeTrue())
	})

	It("runs a key once and replays its result", func() {
		first := w.request(a, "k", 1)
		w.advance(time.Second)
		again := w.request(a, "k", 1)
		other := w.request(a, "k", 2)
		w.advance(time.Second)
		Expect(kind(first)).To(Equal("granted"))
		Expect(kind(again)).To(Equal("replay"))
		Expect(kind(other)).To(Equal("other body"))
		Expect(w.record().Claims["k"].Result.Status).To(Equal(201))
	})

	// Guards against running a call twice: a caller whose first request hangs
	// sends a second one with the same key.
	It("rejects a key whose call is running", func() {
		w.granted = func(o *owner, _ uint64, r claims.Request) { w.run(o, r, time.Minute) }
		w.request(a, "k", 1)
		same := w.request(a, "k", 1)
		w.advance(time.Second)
		again := w.request(a, "k", 1)
		w.advance(time.Second)
		Expect(kind(same)).To(Equal("in progress"))
		Expect(kind(again)).To(Equal("in progress"))
		Expect(w.answers[again].Err().Verdict).To(Equal(verdict.MayHaveRun))
	})

	// Guards against exhausting the store's rate limit: with one update for each
	// of many concurrent requests, requests would be rejected.
	It("commits all queued keys in one update", func() {
		before := w.puts
		for n := range 100 {
			w.request(a, fmt.Sprint("k", n), 1)
		}
		w.advance(time.Second)
		Expect(w.runs).To(HaveLen(100))
		Expect(w.puts - before).To(BeNumerically("<=", 5))
	})

	// The store applies the claim but its reply is lost. The caller must not get
	// "not run", and the key must not stay claimed without its call running.
	It("grants a claim whose reply was lost", func() {
		w.nextFault = faultSequence(replyLost)
		token := w.request(a, "k", 1)
		w.advance(2 * time.Second)
		Expect(kind(token)).To(Equal("granted"))
		Expect(w.runs["k"]).To(Equal(1))
	})

	// The claim takes effect seconds after its writer has timed out. It must not
	// overwrite what the owner has written since.
	It("resolves a claim that takes effect late", func() {
		w.nextFault = faultSequence(lateWrite)
		token := w.request(a, "k", 1)
		w.advance(10 * time.Second)
		Expect(kind(token)).To(Equal("granted"))
		again := w.request(a, "k", 1)
		w.advance(time.Second)
		Expect(kind(again)).To(Equal("replay"))
	})

	// The store fails between the claim and its reply, so it is unknown whether
	// the claim is recorded. The caller promptly gets "not run"; when it retries
	// after the outage, the call runs, once.
	It("rejects a request whose claim cannot be confirmed", func() {
		w.nextFault = faultSequenceThen(outage, replyLost)
		token := w.request(a, "k", 1)
		w.advance(3 * time.Second)
		Expect(kind(token)).To(Equal("unavailable"))
		Expect(w.answers[token].Err().Verdict).To(Equal(verdict.NotRun))
		Expect(w.runs["k"]).To(BeZero())
		w.nextFault = func() fault { return noFault }
		w.advance(5 * time.Second)
		again := w.request(a, "k", 1)
		w.advance(time.Second)
		Expect(kind(again)).To(Equal("granted"))
	})

	// Guards against requests missing their deadlines in a long outage of the
	// store: they are rejected immediately, with a retry delay.
	It("rejects keys immediately while the store is down, and recovers", func() {
		w.nextFault = func() fault { return outage }
		w.request(a, "k1", 1)
		w.advance(20 * time.Millisecond)
		token := w.request(a, "k2", 1)
		w.advance(20 * time.Millisecond)
		Expect(kind(token)).To(Equal("unavailable"))
		Expect(w.answers[token].RetryAfter).To(BeNumerically(">", 0))
		w.nextFault = func() fault { return noFault }
		w.advance(5 * time.Second)
		again := w.request(a, "k2", 1)
		w.advance(time.Second)
		Expect(kind(again)).To(Equal("granted"))
	})

	// Guards against losing the result of a call that finishes during an outage
	// of the store: a retry would get "may have run".
	It("retains a result until the store has recovered", func() {
		w.granted = func(o *owner, _ uint64, r claims.Request) {
			w.nextFault = func() fault { return outage }
			w.run(o, r, 10*time.Millisecond)
		}
		w.request(a, "k", 1)
		w.advance(30 * time.Second)
		again := w.request(a, "k", 1)
		w.advance(time.Second)
		Expect(kind(again)).To(Equal("replay"))
		Expect(w.record().Claims["k"].Result).To(BeNil())
		w.nextFault = func() fault { return noFault }
		w.advance(5 * time.Second)
		Expect(w.record().Claims["k"].Result).NotTo(BeNil())
	})

	// The sidecar is killed after the claim and before the result. Whether the
	// call ran is unknown, so it must never run again.
	It("never grants a claim without a result again", func() {
		w.granted = func(o *owner, _ uint64, r claims.Request) { w.run(o, r, time.Minute) }
		w.request(a, "k", 1)
		w.advance(time.Second)
		w.restart(a)
		w.assignTo(1, a)
		w.advance(time.Second)
		for range 3 {
			again := w.request(a, "k", 1)
			w.advance(48 * time.Hour)
			Expect(kind(again)).To(Equal("may have run"))
		}
	})

	// The owner is paused after a claim was granted, the slot is taken over, and
	// the former owner resumes with requests still queued. It must not grant any,
	// and no other owner may run the call that it had claimed.
	It("is taken over from a paused owner, which then grants nothing more", func() {
		w.granted = func(o *owner, _ uint64, r claims.Request) { w.run(o, r, time.Minute) }
		w.request(a, "claimed", 1)
		w.advance(time.Second)
		a.paused = true
		stale := w.request(a, "stale", 1)
		w.assignTo(2, b)
		w.advance(5 * time.Second)
		Expect(b.slot.Owned()).To(BeFalse())
		w.advance(10 * time.Second)
		Expect(b.slot.Owned()).To(BeTrue())
		claimed := w.request(b, "claimed", 1)
		moved := w.request(b, "stale", 1)
		w.advance(time.Second)
		Expect(kind(claimed)).To(Equal("may have run"))
		Expect(kind(moved)).To(Equal("granted"))

		w.wakeUp(a)
		w.advance(5 * time.Second)
		Expect(kind(stale)).To(Equal("not owner"))
		Expect(a.slot.Owned()).To(BeFalse())
	})

	It("releases the slot once running calls are recorded, and the next owner replays", func() {
		w.granted = func(o *owner, _ uint64, r claims.Request) { w.run(o, r, 3*time.Second) }
		w.request(a, "k", 1)
		w.advance(time.Second)
		w.assignTo(2, b)
		w.advance(time.Second)
		rejected := w.request(a, "k2", 1)
		w.advance(time.Second)
		Expect(kind(rejected)).To(Equal("not owner"))
		Expect(b.slot.Owned()).To(BeFalse())
		w.advance(5 * time.Second)
		Expect(a.slot.Idle()).To(BeTrue())
		Expect(b.slot.Owned()).To(BeTrue())
		again := w.request(b, "k", 1)
		w.advance(time.Second)
		Expect(kind(again)).To(Equal("replay"))
	})

	// Guards against two sidecars endlessly taking the slot from each other: their
	// plans differ, as one was disconnected from the entries.
	It("does not take a slot from an owner with a later plan", func() {
		w.assignTo(3, b)
		w.advance(5 * time.Second)
		Expect(b.slot.Owned()).To(BeTrue())
		w.restart(a)
		w.step(a, claims.Plan{Version: 2, Owned: true})
		w.advance(5 * time.Minute)
		Expect(a.slot.Owned()).To(BeFalse())
		Expect(b.slot.Owned()).To(BeTrue())
	})

	// Guards against two sidecars of one name taking the slot from each other, so
	// that no request is served: a VM is replaced while its disconnected sidecar
	// still runs.
	It("leaves the slot to a later start of the same sidecar", func() {
		w = newWorld(1, "a", "a")
		former, later := w.owners[0], w.owners[1]
		w.assignTo(1, former)
		w.advance(time.Second)
		later.incarnation++
		w.step(later, claims.Plan{Version: 1, Owned: true})
		w.advance(time.Second)
		Expect(later.slot.Owned()).To(BeTrue())
		token := w.request(former, "k", 1)
		w.advance(5 * time.Second)
		Expect(kind(token)).To(Equal("not owner"))
		Expect(former.slot.Owned()).To(BeFalse())
	})

	It("uses a key again when its call was granted and not started", func() {
		w.granted = func(o *owner, _ uint64, r claims.Request) {
			w.afterAt(o, time.Millisecond, func() { w.step(o, claims.NotStarted{Request: r}) })
		}
		w.request(a, "k", 1)
		w.advance(time.Second)
		Expect(w.record().Claims).NotTo(HaveKey("k"))
		again := w.request(a, "k", 1)
		w.advance(time.Second)
		Expect(kind(again)).To(Equal("granted"))
	})

	// Guards against replaying another call's result: a report for the first of
	// two requests with one key arrives late.
	It("ignores a report about another request with the same key", func() {
		requests := []claims.Request{}
		w.granted = func(_ *owner, _ uint64, r claims.Request) { requests = append(requests, r) }
		w.request(a, "k", 1)
		w.advance(time.Second)
		w.step(a, claims.NotStarted{Request: requests[0]})
		w.advance(time.Second)
		w.request(a, "k", 1)
		w.advance(time.Second)
		w.step(a, claims.Finished{Request: requests[0], Result: claims.NewResult(201, nil, nil)})
		again := w.request(a, "k", 1)
		w.advance(time.Second)
		Expect(requests).To(HaveLen(2))
		Expect(kind(again)).To(Equal("in progress"))
	})

	It("reports that a call without a result may have run", func() {
		w.granted = func(o *owner, _ uint64, r claims.Request) {
			w.afterAt(o, time.Millisecond, func() { w.step(o, claims.ResultLost{Request: r}) })
		}
		w.request(a, "k", 1)
		w.advance(time.Second)
		again := w.request(a, "k", 1)
		w.advance(time.Second)
		Expect(kind(again)).To(Equal("may have run"))
	})

	It("stores a result for its retention and no longer", func() {
		w.request(a, "k", 1)
		w.advance(claims.DefaultRetention - time.Minute)
		beforeExpiry := w.request(a, "k", 1)
		w.request(a, "other", 1)
		w.advance(2 * time.Minute)
		w.request(a, "third", 1)
		w.advance(time.Second)
		Expect(kind(beforeExpiry)).To(Equal("replay"))
		Expect(w.record().Claims).NotTo(HaveKey("k"))
		Expect(w.record().Claims).To(HaveKey("other"))
	})

	// Guards against a record that exceeds the store's size limit when keys arrive
	// faster than they expire: its writes would be rejected and the slot unusable.
	It("drops bodies and then rejects keys when the record is full", func() {
		w.maxBytes = 64 << 10
		w.restart(a)
		w.assignTo(2, a)
		w.advance(time.Second)
		for n := range 1000 {
			w.request(a, strings.Repeat("x", 40)+fmt.Sprint(n), 1)
			w.advance(100 * time.Millisecond)
		}
		kinds := map[claims.Kind]int{}
		for _, answer := range w.answers {
			kinds[answer.Kind]++
		}
		Expect(kinds[claims.Granted]).To(BeNumerically(">", 100))
		Expect(kinds[claims.Unavailable]).To(BeNumerically(">", 0))
		Expect(len(w.store.Value)).To(BeNumerically("<=", w.maxBytes))
		first := w.request(a, strings.Repeat("x", 40)+"0", 1)
		w.advance(time.Second)
		Expect(kind(first)).To(Equal("replay"))
		Expect(w.answers[first].Result.BodyDropped).To(BeTrue())
	})

	// Guards against overwriting a corrupt object: its claims would be lost and
	// their calls would run again.
	It("never acquires a slot whose record cannot be parsed", func() {
		w.restart(a)
		w.store = sharedstate.Object{Version: 99, Value: []byte(`{"epoch":`)}
		w.assignTo(2, a)
		w.advance(5 * time.Minute)
		Expect(a.slot.Owned()).To(BeFalse())
		Expect(w.store.Version).To(Equal(uint64(99)))
	})
})

// faultSequence returns the given faults in order, then noFault.
func faultSequence(faults ...fault) func() fault { return faultSequenceThen(noFault, faults...) }

func faultSequenceThen(rest fault, faults ...fault) func() fault {
	return func() fault {
		if len(faults) == 0 {
			return rest
		}
		next := faults[0]
		faults = faults[1:]
		return next
	}
}
