package queue_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/queue"
)

func TestQueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "queue")
}

var start = time.Unix(1_000_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

var room = queue.Room{Slots: 1, Pieces: 1_000}

func item(id, caller string, prompt int) queue.Item {
	return queue.Item{ID: id, Caller: caller, PromptTokens: prompt, Deadline: at(time.Minute)}
}

func pops(q *queue.Queue, now time.Time, n int) []queue.Item {
	var items []queue.Item
	for range n {
		if i, ok := q.Pop(now, room); ok {
			items = append(items, i)
		}
	}
	return items
}

var _ = Describe("Queue", func() {
	// A booker's short reply comes in behind twenty portfolios of another
	// office. In the order of arrival it would wait for a million tokens, and
	// the call would be over.
	It("does not let short work wait for long work", func() {
		q := queue.New(queue.Config{})
		for i := range 20 {
			q.Push(start, item(fmt.Sprintf("long-%d", i), "archive", 50_000))
		}
		q.Push(start, item("short", "booker", 500))
		Expect(pops(q, start, 2)).To(ContainElement(HaveField("ID", "short")))
	})

	// Short replies come without end. By shortest job first the one long read
	// would never start.
	It("does not starve long work", func() {
		q := queue.New(queue.Config{})
		q.Push(start, item("long", "archive", 50_000))
		served := 1_000
		for i := range 1_000 {
			q.Push(start, item(fmt.Sprintf("short-%d", i), "booker", 500))
			if popped, _ := q.Pop(start, room); popped.ID == "long" {
				served = i
				break
			}
		}
		Expect(served).To(BeNumerically("<", 200))
		Expect(q.Remove("long")).To(BeFalse(), "it has been served")
	})

	// One office fills the queue with its month's reports. Everyone else
	// would wait behind all of them.
	It("serves callers in turn, whatever one of them has queued", func() {
		q := queue.New(queue.Config{})
		for i := range 500 {
			q.Push(start, item(fmt.Sprintf("heavy-%d", i), "heavy", 4_000))
		}
		q.Push(start, item("light", "light", 4_000))
		Expect(pops(q, start, 5)).To(ContainElement(HaveField("ID", "light")))
	})

	It("goes by deadline among callers that have had alike", func() {
		q := queue.New(queue.Config{})
		for i, left := range []time.Duration{30, 10, 20} {
			x := item(fmt.Sprintf("due-%d", left), fmt.Sprintf("caller-%d", i), 1_000)
			x.Deadline = at(left * time.Second)
			q.Push(start, x)
		}
		Expect(pops(q, start, 3)).To(HaveExactElements(
			HaveField("ID", "due-10"), HaveField("ID", "due-20"), HaveField("ID", "due-30")))
	})

	// The sidecar was paused; what it holds is past its deadline. Started
	// now, it would cost engine time for answers that nobody waits for.
	It("never starts what is past its deadline, and hands it back", func() {
		q := queue.New(queue.Config{})
		q.Push(start, item("late", "booker", 1_000))
		_, ok := q.Pop(at(2*time.Minute), room)
		Expect(ok).To(BeFalse())
		Expect(q.Expired(at(2 * time.Minute))).To(HaveExactElements(
			And(HaveField("ID", "late"), HaveField("Reason", queue.Expired))))
		Expect(q.Len()).To(BeZero())
		Expect(q.QueuedTokens()).To(BeZero())
	})

	It("displaces the heaviest caller's work when full, and no one else's", func() {
		q := queue.New(queue.Config{Items: 10})
		for i := range 10 {
			q.Push(start, item(fmt.Sprintf("heavy-%d", i), "heavy", 4_000))
		}
		ok, _ := q.Push(start, item("light", "light", 4_000))
		Expect(ok).To(BeTrue())
		Expect(q.Expired(start)).To(HaveExactElements(HaveField("Reason", queue.Displaced)))
		ok, _ = q.Push(start, item("more", "heavy", 4_000))
		Expect(ok).To(BeFalse())
	})

	// Short prompts keep taking the pieces that come free, so that a prompt
	// which needs many of them at once never fits.
	It("keeps room for a long prompt that has been passed by", func() {
		q := queue.New(queue.Config{})
		q.Push(start, item("long", "archive", 100_000))
		for i := range 50 {
			q.Push(start, item(fmt.Sprintf("short-%d", i), "booker", 500))
		}
		narrow := queue.Room{Slots: 1, Pieces: 20}
		for range 2 {
			_, ok := q.Pop(start, narrow)
			Expect(ok).To(BeTrue(), "the hold is not over yet")
		}
		var passed int
		for range 50 {
			if _, ok := q.Pop(at(2*time.Second), narrow); ok {
				passed++
			}
		}
		Expect(passed).To(BeZero())
		i, _ := q.Pop(at(3*time.Second), queue.Room{Slots: 1, Pieces: 60})
		Expect(i.ID).To(Equal("long"))
	})

	It("refuses what can never fit", func() {
		q := queue.New(queue.Config{Pieces: 10})
		ok, _ := q.Push(start, item("huge", "archive", 100_000))
		Expect(ok).To(BeFalse())
	})
})
