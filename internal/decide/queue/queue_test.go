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

// TestMain fixes the seed of the randomised runs; -rapid.seed tries another.
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

var room = queue.Capacity{Slots: 1, Pieces: 1_000}

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
		Expect(q.TakeExpired(at(2 * time.Minute))).To(HaveExactElements(
			And(HaveField("ID", "late"), HaveField("Reason", queue.Expired))))
		Expect(q.Len()).To(BeZero())
		Expect(q.QueuedTokens()).To(BeZero())
	})

	It("displaces the heaviest caller's work when full, and no one else's", func() {
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

	// Short prompts keep taking the pieces that come free, so that a prompt
	// which needs many of them at once never fits.
	It("keeps room for a long prompt that has been passed by", func() {
		q := queue.New(queue.Config{})
		q.Push(start, item("long", "archive", 100_000))
		for i := range 50 {
			q.Push(start, item(fmt.Sprintf("short-%d", i), "booker", 500))
		}
		narrow := queue.Capacity{Slots: 1, Pieces: 20}
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
		i, _ := q.Pop(at(3*time.Second), queue.Capacity{Slots: 1, Pieces: 60})
		Expect(i.ID).To(Equal("long"))
	})

	It("refuses what can never fit", func() {
		q := queue.New(queue.Config{Pieces: 10})
		ok, _ := q.Push(start, item("huge", "archive", 100_000))
		Expect(ok).To(BeFalse())
	})
})

// Whatever comes in which order, each item that was let in leaves the queue
// exactly once: popped in time, cancelled, or handed back. One that is lost
// leaves its caller without an answer, one that leaves twice runs twice.
func TestEachItemLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New(queue.Config{MaxItems: 8, Hold: 2 * time.Second})
		now := start
		waiting := make(map[string]queue.Item)
		leave := func(i queue.Item) {
			if _, ok := waiting[i.ID]; !ok {
				t.Fatalf("%s left but did not wait", i.ID)
			}
			delete(waiting, i.ID)
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
					waiting[i.ID] = i
				}
			},
			"pop": func(t *rapid.T) {
				room := queue.Capacity{Slots: 1, Pieces: rapid.IntRange(0, 20).Draw(t, "pieces")}
				i, ok := q.Pop(now, room)
				if !ok {
					return
				}
				if now.After(i.Deadline) {
					t.Fatalf("%s started past its deadline", i.ID)
				}
				leave(i)
			},
			"remove": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(1, n+1).Draw(t, "id"))
				_, waits := waiting[id]
				if q.Remove(id) != waits && waits {
					t.Fatalf("%s waits but was not removed", id)
				}
				delete(waiting, id)
			},
			"wait": func(*rapid.T) { now = now.Add(time.Second) },
			"": func(t *rapid.T) {
				for _, r := range q.TakeExpired(now) {
					leave(r.Item)
				}
				tokens := 0
				for _, i := range waiting {
					tokens += i.PromptTokens
				}
				if q.Len() != len(waiting) || q.QueuedTokens() != tokens {
					t.Fatalf("queue has %d items of %d tokens, want %d of %d", q.Len(), q.QueuedTokens(), len(waiting), tokens)
				}
			},
		})
	})
}

// BenchmarkPushPop goes through a queue of a thousand items of a hundred
// callers.
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
		q.Pop(start, room)
	}
}
