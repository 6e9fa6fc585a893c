package usage_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/usage"
)

func TestUsage(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "usage")
}

const length = 5 * time.Second

var start = time.Unix(1_700_000_000, 0)

func trueTime(t time.Time) time.Time { return t }

var _ = Describe("windows", func() {
	It("begin at multiples of their length since 1970", func() {
		Expect(usage.WindowAt(time.Unix(353445120*5, 0), length)).To(BeEquivalentTo(353445120))
		Expect(usage.WindowAt(time.Unix(353445120*5+4, 999_999_999), length)).To(BeEquivalentTo(353445120))
		Expect(usage.Window(353445120).End(length)).To(Equal(time.Unix(353445121*5, 0)))
		Expect(usage.WindowAt(time.Unix(-1, 0), length)).To(BeEquivalentTo(-1))
	})
})

var _ = Describe("a counter", func() {
	It("counts by account and window, and removes requests that did not run", func() {
		c := usage.NewCounter(length, trueTime)
		w := c.Window(start)
		c.Add("a", start)
		mark := c.Add("a", start)
		c.Add("b", start.Add(length))
		Expect(c.Snapshot(w)).To(Equal(usage.Counts{"a": 2}))
		c.Remove(mark)
		Expect(c.Snapshot(w)).To(Equal(usage.Counts{"a": 1}))
		Expect(c.Snapshot(w + 1)).To(Equal(usage.Counts{"b": 1}))
	})

	// Guards against memory that grows with each window.
	It("forgets old windows, and a late removal is ignored", func() {
		c := usage.NewCounter(length, trueTime)
		w := c.Window(start)
		mark := c.Add("a", start)
		c.Forget(w + 20)
		c.Remove(mark)
		Expect(c.Snapshot(w)).To(BeEmpty())
	})
})

// fleet are gateways that count and send to one collector by a network that loses, repeats
// and reorders updates.
type fleet struct {
	random    *rand.Rand
	now       time.Time
	counters  []*usage.Counter
	senders   []*usage.Sender
	collector *usage.Collector
	inFlight  []usage.Update
	loss      float64
}

func newFleet(seed uint64, gateways int, loss float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: usage.Window(1000).End(length), collector: usage.NewCollector(), loss: loss}
	for n := range gateways {
		f.counters = append(f.counters, usage.NewCounter(length, trueTime))
		f.senders = append(f.senders, usage.NewSender(usage.Source{VM: fmt.Sprint("vm-", n), Start: 1}, f.counters[n]))
	}
	return f
}

// step lets time pass, sends what is due and delivers what the network does not lose.
func (f *fleet) step() {
	f.now = f.now.Add(50 * time.Millisecond)
	for _, s := range f.senders {
		if f.random.IntN(5) == 0 {
			f.transmit(s.Step(f.now))
		}
	}
	f.random.Shuffle(len(f.inFlight), func(i, j int) { f.inFlight[i], f.inFlight[j] = f.inFlight[j], f.inFlight[i] })
	for len(f.inFlight) > 3 {
		f.deliver()
	}
}

func (f *fleet) transmit(updates []usage.Update) {
	for _, u := range updates {
		for f.random.Float64() > f.loss {
			f.inFlight = append(f.inFlight, u)
			if f.random.IntN(4) > 0 {
				break
			}
		}
	}
}

func (f *fleet) deliver() {
	u := f.inFlight[0]
	f.inFlight = f.inFlight[1:]
	f.collector.Add(u, usage.WindowAt(f.now, length))
}

var _ = Describe("counts of several gateways", func() {
	// Guards against wrong reports after lost, repeated and reordered datagrams, for an
	// account with few requests and one with many.
	It("are complete and exact although updates are lost, repeated and reordered", func() {
		for seed := range uint64(20) {
			f := newFleet(seed, 5, 0.3)
			want := usage.Counts{}
			w := usage.WindowAt(f.now, length)
			for f.now.Before(w.End(length).Add(-50 * time.Millisecond)) {
				f.step()
				for n, account := range []string{"large", "large", "large", "large", "large", "small"} {
					if n == 5 && f.random.IntN(16) > 0 {
						continue
					}
					mark := f.counters[f.random.IntN(5)]
					m := mark.Add(account, f.now)
					if f.random.IntN(10) == 0 {
						mark.Remove(m)
						continue
					}
					want[account]++
				}
			}
			for f.now.Before(w.End(length).Add(6 * time.Second)) {
				f.step()
			}
			Expect(f.collector.Sum(w)).To(Equal(want), "seed %d", seed)
			Expect(f.collector.Missing(w)).To(BeEmpty(), "seed %d", seed)
		}
	})

	// Guards against a report that is settled before a gateway has sent its counts.
	It("say which gateways have not sent all of them", func() {
		f := newFleet(1, 2, 0)
		w := usage.WindowAt(f.now, length)
		f.counters[0].Add("a", f.now)
		f.collector.Add(f.senders[0].Step(f.now)[0], w)
		f.collector.Add(f.senders[1].Step(f.now)[0], w)
		Expect(f.collector.Missing(w)).To(Equal([]string{"vm-0", "vm-1"}))
		for _, u := range f.senders[1].Step(w.End(length)) {
			f.collector.Add(u, w+1)
		}
		Expect(f.collector.Missing(w)).To(Equal([]string{"vm-0"}))
	})

	It("include those of a gateway that exits within a window", func() {
		f := newFleet(1, 1, 0)
		w := usage.WindowAt(f.now, length)
		f.counters[0].Add("a", f.now)
		for _, u := range f.senders[0].Finish(f.now) {
			f.collector.Add(u, w)
		}
		Expect(f.collector.Sum(w)).To(Equal(usage.Counts{"a": 1}))
		Expect(f.collector.Missing(w)).To(BeEmpty())
		Expect(f.collector.Missing(w + 1)).To(BeEmpty())
	})

	// Guards against counts that are lost or doubled by a restart of a gateway.
	It("include those of both starts of a restarted gateway", func() {
		c := usage.NewCollector()
		add := func(startID uint32, n int64, closed bool) {
			c.Add(usage.Update{Source: usage.Source{VM: "a", Start: startID}, Window: 7, Sequence: 1, Total: n, Closed: closed, Counts: usage.Counts{"x": n}}, 7)
		}
		add(1, 3, false)
		add(2, 4, true)
		add(2, 4, true)
		Expect(c.Sum(7)).To(Equal(usage.Counts{"x": 7}))
		Expect(c.Missing(7)).To(BeEmpty())
	})

	// Guards against memory that grows because of a gateway with a wrong time.
	It("of a window far from the current one are dropped", func() {
		c := usage.NewCollector()
		u := usage.Update{Source: usage.Source{VM: "a"}, Window: 100, Sequence: 1, Total: 1, Counts: usage.Counts{"x": 1}}
		Expect(c.Add(u, 100+usage.MaxDistance)).To(BeTrue())
		Expect(c.Add(u, 101+usage.MaxDistance)).To(BeFalse())
		Expect(c.Add(u, 99-usage.MaxDistance)).To(BeFalse())
		c.Forget(101)
		Expect(c.Sum(100)).To(BeEmpty())
	})
})

// BenchmarkAdd measures the count of one request among 9,600 accounts.
func BenchmarkAdd(b *testing.B) {
	c := usage.NewCounter(length, trueTime)
	var names [9_600]string
	for i := range names {
		names[i] = fmt.Sprint("account-", i)
		c.Add(names[i], start)
	}
	i := 0
	for b.Loop() {
		c.Add(names[i%len(names)], start)
		i++
	}
}
