package queue_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"pistachioroad.dev/pistachioroad/internal/decide/queue"
)

// TestMain fixes the seed of the property tests; the flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

func TestQueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "queue")
}

var start = time.Unix(1_000_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

var free = queue.Capacity{Slots: 1, KVBlocks: 1_000}

func item(id, caller string, prompt int) queue.Item {
	return queue.Item{ID: id, Caller: caller, PromptTokens: prompt, Deadline: at(time.Minute)}
}

func pops(q *queue.Queue, now time.Time, n int) []queue.Item {
	var items []queue.Item
	for range n {
		if i, ok := q.Pop(now, free); ok {
			items = append(items, i)
		}
	}
	return items
}

var _ = Describe("Queue", func() {
	// Guards against head-of-line blocking: in arrival order, a short request would wait
	// behind twenty prompts of 50,000 tokens each and miss its deadline.
	It("does not queue short requests behind long ones", func() {
		q := queue.New(queue.Config{})
		for i := range 20 {
			q.Push(start, item(fmt.Sprintf("long-%d", i), "archive", 50_000))
		}
		q.Push(start, item("short", "booker", 500))
		Expect(pops(q, start, 2)).To(ContainElement(HaveField("ID", "short")))
	})

	// Guards against starvation: with shortest job first, a long request would never start
	// while short ones keep arriving.
	It("does not starve long requests", func() {
		q := queue.New(queue.Config{})
		q.Push(start, item("long", "archive", 50_000))
		poppedAt := 1_000
		for i := range 1_000 {
			q.Push(start, item(fmt.Sprintf("short-%d", i), "booker", 500))
			if popped, _ := q.Pop(start, free); popped.ID == "long" {
				poppedAt = i
				break
			}
		}
		Expect(poppedAt).To(BeNumerically("<", 200))
		Expect(q.Remove("long")).To(BeFalse(), "it has been served")
	})

	// Guards against one caller that fills the queue: all others would wait behind it.
	It("serves callers in turn, regardless of how much one of them has queued", func() {
		q := queue.New(queue.Config{})
		for i := range 500 {
			q.Push(start, item(fmt.Sprintf("heavy-%d", i), "heavy", 4_000))
		}
		q.Push(start, item("light", "light", 4_000))
		Expect(pops(q, start, 5)).To(ContainElement(HaveField("ID", "light")))
	})

	It("orders items of equally served callers by deadline", func() {
		q := queue.New(queue.Config{})
		for i, seconds := range []time.Duration{30, 10, 20} {
			x := item(fmt.Sprintf("due-%d", seconds), fmt.Sprintf("caller-%d", i), 1_000)
			x.Deadline = at(seconds * time.Second)
			q.Push(start, x)
		}
		Expect(pops(q, start, 3)).To(HaveExactElements(
			HaveField("ID", "due-10"), HaveField("ID", "due-20"), HaveField("ID", "due-30")))
	})

	// Guards against wasted engine time: after a pause of the sidecar, its queued requests
	// are past their deadlines and nobody waits for the answers.
	It("never starts an item past its deadline, and returns it as expired", func() {
		q := queue.New(queue.Config{})
		q.Push(start, item("late", "booker", 1_000))
		_, ok := q.Pop(at(2*time.Minute), free)
		Expect(ok).To(BeFalse())
		Expect(q.TakeExpired(at(2 * time.Minute))).To(HaveExactElements(
			And(HaveField("ID", "late"), HaveField("Reason", queue.Expired))))
		Expect(q.Len()).To(BeZero())
		Expect(q.QueuedTokens()).To(BeZero())
	})

	It("displaces only the heaviest caller's items when full", func() {
		q := queue.New(queue.Config{MaxItems: 10})
		for i := range 10 {
			q.Push(start, item(fmt.Sprintf("heavy-%d", i), "heavy", 4_000))
		}
		ok, _ := q.Push(start, item("light", "light", 4_000))
		Expect(ok).To(BeTrue())
		Expect(q.TakeExpired(start)).To(HaveExactElements(HaveField("Reason", queue.Displaced)))
		ok, _ = q.Push(start, item("more", "heavy", 4_000))
		Expect(ok).To(BeFalse())
	})

	// Guards against starvation by size: while short prompts take each freed block, a
	// prompt that needs many blocks at the same time never fits.
	It("reserves capacity for a long prompt that has been passed over", func() {
		q := queue.New(queue.Config{})
		q.Push(start, item("long", "archive", 100_000))
		for i := range 50 {
			q.Push(start, item(fmt.Sprintf("short-%d", i), "booker", 500))
		}
		small := queue.Capacity{Slots: 1, KVBlocks: 20}
		for range 2 {
			_, ok := q.Pop(start, small)
			Expect(ok).To(BeTrue(), "capacity is not reserved yet")
		}
		var popped int
		for range 50 {
			if _, ok := q.Pop(at(2*time.Second), small); ok {
				popped++
			}
		}
		Expect(popped).To(BeZero())
		i, _ := q.Pop(at(3*time.Second), queue.Capacity{Slots: 1, KVBlocks: 60})
		Expect(i.ID).To(Equal("long"))
	})

	It("rejects an item that can never fit", func() {
		q := queue.New(queue.Config{KVBlocks: 10})
		ok, _ := q.Push(start, item("huge", "archive", 100_000))
		Expect(ok).To(BeFalse())
	})
})

// Checks that each item leaves the queue exactly once, whatever the order of operations:
// popped in time, cancelled, or returned as expired or displaced. A lost item leaves its
// caller without an answer; one that leaves twice runs twice.
func TestEachItemLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New(queue.Config{MaxItems: 8, ReserveAfter: 2 * time.Second})
		now := start
		queuedItems := make(map[string]queue.Item)
		leave := func(i queue.Item) {
			if _, ok := queuedItems[i.ID]; !ok {
				t.Fatalf("item %s left the queue but was not queued", i.ID)
			}
			delete(queuedItems, i.ID)
		}
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				n++
				i := queue.Item{
					ID:           fmt.Sprint(n),
					Class:        rapid.IntRange(-1, 4).Draw(t, "class"),
					Caller:       rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"),
					PromptTokens: rapid.IntRange(1, 40_000).Draw(t, "prompt"),
					Deadline:     now.Add(time.Duration(rapid.IntRange(-1, 9).Draw(t, "left")) * time.Second),
				}
				if ok, _ := q.Push(now, i); ok {
					queuedItems[i.ID] = i
				}
			},
			"pop": func(t *rapid.T) {
				free := queue.Capacity{Slots: 1, KVBlocks: rapid.IntRange(0, 20).Draw(t, "pieces")}
				i, ok := q.Pop(now, free)
				if !ok {
					return
				}
				if now.After(i.Deadline) {
					t.Fatalf("item %s started past its deadline", i.ID)
				}
				leave(i)
			},
			"remove": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(1, n+1).Draw(t, "id"))
				_, queued := queuedItems[id]
				if q.Remove(id) != queued && queued {
					t.Fatalf("item %s is queued but was not removed", id)
				}
				delete(queuedItems, id)
			},
			"wait": func(*rapid.T) { now = now.Add(time.Second) },
			"": func(t *rapid.T) {
				for _, r := range q.TakeExpired(now) {
					leave(r.Item)
				}
				tokens := 0
				for _, i := range queuedItems {
					tokens += i.PromptTokens
				}
				if q.Len() != len(queuedItems) || q.QueuedTokens() != tokens {
					t.Fatalf("queue has %d items of %d tokens, want %d of %d", q.Len(), q.QueuedTokens(), len(queuedItems), tokens)
				}
			},
		})
	})
}

// BenchmarkPushPop runs on a queue of 1,000 items of 100 callers.
func BenchmarkPushPop(b *testing.B) {
	q := queue.New(queue.Config{})
	push := func(n int) {
		q.Push(start, item(fmt.Sprint(n), fmt.Sprintf("caller-%d", n%100), 500+n%10_000))
	}
	for n := range 1_000 {
		push(n)
	}
	n := 1_000
	for b.Loop() {
		push(n)
		n++
		q.Pop(start, free)
	}
}
