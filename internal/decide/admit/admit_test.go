package admit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/admit"
)

func TestAdmit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admit")
}

var start = time.Unix(1_000_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// saturated has a queue delay just above a quarter of the requests' slack.
var saturated = admit.LoadSnapshot{QueueDelay: 2600 * time.Millisecond, DrainRate: 10_000}

var overloaded = admit.LoadSnapshot{QueueDelay: 20 * time.Second, DrainRate: 1_000}

// fill adds callers with one outstanding request each.
func fill(a *admit.Admitter) {
	for i := range 30 {
		a.Decide(start, request(fmt.Sprintf("burst-%d", i), 20_000), admit.LoadSnapshot{DrainRate: 1_000})
	}
}

func request(caller string, cost int) admit.Request {
	return admit.Request{Caller: caller, CostTokens: cost, Deadline: 10 * time.Second}
}

// offer simulates callers that send requests of 100 tokens at the given rates per second,
// and returns the fraction of each caller's requests that was admitted.
func offer(a *admit.Admitter, load admit.LoadSnapshot, rates map[string]int, length time.Duration) map[string]float64 {
	admitted := make(map[string]float64)
	offered := make(map[string]float64)
	for t := time.Duration(0); t < length; t += 100 * time.Millisecond {
		for i := range len(rates) {
			caller := fmt.Sprintf("caller-%d", i)
			for range rates[caller] / 10 {
				offered[caller]++
				if a.Decide(at(t), request(caller, 100), load).Admit {
					admitted[caller]++
					a.Finished(at(t), caller, 100)
				}
			}
		}
	}
	for caller := range offered {
		admitted[caller] /= offered[caller]
	}
	return admitted
}

var _ = Describe("Admitter", func() {
	// Guards against requests that queue until they miss their deadline: a burst fills the
	// queue for 20 s, so a request with a deadline of 10 s is rejected right away, while
	// its caller can still do something else.
	It("rejects a request that cannot meet its deadline, with a Retry-After", func() {
		a := admit.New(admit.Config{Rand: rand.New(rand.NewPCG(1, 1))})
		fill(a)
		d := a.Decide(at(time.Second), request("booker", 20_000), overloaded)
		Expect(d.Admit).To(BeFalse())
		Expect(d.Reason).To(Equal(admit.PastDeadline))
		Expect(d.RetryAfter).To(BeNumerically("~", 12*time.Second, 4*time.Second))
	})

	It("adds jitter to Retry-After, so that callers rejected together retry apart", func() {
		a := admit.New(admit.Config{Rand: rand.New(rand.NewPCG(1, 1))})
		fill(a)
		delays := make(map[time.Duration]bool)
		for range 10 {
			delays[a.Decide(at(time.Second), request("booker", 20_000), overloaded).RetryAfter] = true
		}
		Expect(delays).To(HaveLen(10))
	})

	// Guards against one caller that sends a large batch in a burst crowding out callers whose
	// load is as usual.
	It("limits a heavy caller to its share and never rejects one below its share", func() {
		a := admit.New(admit.Config{})
		rates := map[string]int{"caller-0": 1_000, "caller-1": 20, "caller-2": 20, "caller-3": 20}
		admitted := offer(a, saturated, rates, time.Minute)
		Expect(admitted["caller-1"]).To(BeEquivalentTo(1))
		Expect(admitted["caller-2"]).To(BeEquivalentTo(1))
		Expect(admitted["caller-3"]).To(BeEquivalentTo(1))
		Expect(admitted["caller-0"]).To(BeNumerically("~", 0.04, 0.015), "other callers use 6,000 of 10,000 tokens per second; 4,000 remain for its 100,000")
	})

	It("divides shares by weight", func() {
		a := admit.New(admit.Config{Policies: map[string]admit.AccountPolicy{"caller-0": {Weight: 3}}})
		admitted := offer(a, saturated, map[string]int{"caller-0": 200, "caller-1": 200}, time.Minute)
		Expect(admitted["caller-0"] / admitted["caller-1"]).To(BeNumerically("~", 3, 0.5))
	})

	It("lets a heavy caller use spare capacity while there is no queue", func() {
		a := admit.New(admit.Config{})
		idle := admit.LoadSnapshot{DrainRate: 10_000}
		admitted := offer(a, idle, map[string]int{"caller-0": 200, "caller-1": 20}, time.Minute)
		Expect(admitted["caller-0"]).To(BeEquivalentTo(1))
	})

	// Guards against a heavy caller that spreads its requests over all entries, and looks
	// light at each of them.
	It("counts the usage received from other entries", func() {
		a := admit.New(admit.Config{})
		rates := map[string]int{"caller-0": 60, "caller-1": 30}
		Expect(offer(a, saturated, rates, 30*time.Second)["caller-0"]).To(BeEquivalentTo(1))
		a = admit.New(admit.Config{RemoteTTL: time.Hour})
		a.SetRemoteUsage(start, "entry-2", []admit.Usage{{Caller: "caller-0", Rate: 50_000}})
		admitted := offer(a, saturated, rates, 30*time.Second)
		Expect(admitted["caller-0"]).To(BeNumerically("<", 0.5))
		Expect(admitted["caller-1"]).To(BeEquivalentTo(1))
	})

	It("returns the heaviest accounts, heaviest first", func() {
		a := admit.New(admit.Config{})
		offer(a, admit.LoadSnapshot{DrainRate: 1e6}, map[string]int{"caller-0": 100, "caller-1": 300, "caller-2": 200}, 10*time.Second)
		Expect(a.HeaviestAccounts(at(10*time.Second), 2)).To(HaveExactElements(
			HaveField("Caller", "caller-1"), HaveField("Caller", "caller-2")))
	})

	It("limits an account to the limit set by operators", func() {
		a := admit.New(admit.Config{Policies: map[string]admit.AccountPolicy{"caller-0": {Limit: 2_000}}})
		admitted := offer(a, admit.LoadSnapshot{DrainRate: 1e6}, map[string]int{"caller-0": 100}, time.Minute)
		Expect(admitted["caller-0"]).To(BeNumerically("~", 0.2, 0.05))
	})

	// Guards against an entry that has just started and received no report taking its
	// unknown drain rate for a fleet that completes nothing.
	It("admits while the drain rate is unknown, and afterwards", func() {
		a := admit.New(admit.Config{})
		for i := range 100 {
			d := a.Decide(at(time.Duration(i)*10*time.Millisecond), request("booker", 2_000), admit.LoadSnapshot{})
			Expect(d.Admit).To(BeTrue())
		}
		d := a.Decide(at(1001*time.Millisecond), request("assayer", 2_000), saturated)
		Expect(d.Admit).To(BeTrue())
	})

	It("bounds the number of accounts tracked", func() {
		a := admit.New(admit.Config{MaxAccounts: 100})
		for i := range 10_000 {
			a.Decide(start, request(fmt.Sprintf("caller-%d", i), 100), admit.LoadSnapshot{DrainRate: 1e6})
		}
		Expect(len(a.HeaviestAccounts(start, 10_000))).To(BeNumerically("<=", 101))
	})
})

// BenchmarkDecide runs with 9,600 active accounts, at 100 requests per second of simulated
// time, which determines how often the fair share is computed.
func BenchmarkDecide(b *testing.B) {
	a := admit.New(admit.Config{})
	callers := make([]string, admit.DefaultMaxAccounts)
	for i := range callers {
		callers[i] = fmt.Sprintf("caller-%d", i)
	}
	now := start
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		caller := callers[int(now.UnixNano()/1e7)%len(callers)]
		a.Decide(now, request(caller, 2_000), saturated)
		a.Finished(now, caller, 2_000)
	}
}
