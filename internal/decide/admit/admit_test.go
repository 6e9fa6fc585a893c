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

// saturated is a queue just past the part of the slack that waiting may take.
var saturated = admit.LoadSnapshot{QueueDelay: 2600 * time.Millisecond, DrainRate: 10_000}

var long = admit.LoadSnapshot{QueueDelay: 20 * time.Second, DrainRate: 1_000}

// fill gives an Admitter a burst of callers with one request outstanding each.
func fill(a *admit.Admitter) {
	for i := range 30 {
		a.Decide(start, request(fmt.Sprintf("burst-%d", i), 20_000), admit.LoadSnapshot{DrainRate: 1_000})
	}
}

func request(caller string, cost int) admit.Request {
	return admit.Request{Caller: caller, CostTokens: cost, Deadline: 10 * time.Second}
}

// offer plays callers that offer rates, in requests of 100 tokens a second,
// and returns the part of each one's requests that was admitted.
func offer(a *admit.Admitter, p admit.LoadSnapshot, rates map[string]int, length time.Duration) map[string]float64 {
	admitted := make(map[string]float64)
	offered := make(map[string]float64)
	for t := time.Duration(0); t < length; t += 100 * time.Millisecond {
		for i := range len(rates) {
			caller := fmt.Sprintf("caller-%d", i)
			for range rates[caller] / 10 {
				offered[caller]++
				if a.Decide(at(t), request(caller, 100), p).Admit {
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
	// A burst fills the queues for the next twenty seconds. A draft that must
	// be there in ten is refused now, while its caller can still do something
	// else, and not after ten seconds of waiting.
	It("refuses at once what cannot be in time, and says when to come back", func() {
		a := admit.New(admit.Config{Rand: rand.New(rand.NewPCG(1, 1))})
		fill(a)
		d := a.Decide(at(time.Second), request("booker", 20_000), long)
		Expect(d.Admit).To(BeFalse())
		Expect(d.Reason).To(Equal(admit.PastDeadline))
		Expect(d.RetryAfter).To(BeNumerically("~", 12*time.Second, 4*time.Second))
	})

	It("spreads Retry-After, so that those refused together come back apart", func() {
		a := admit.New(admit.Config{Rand: rand.New(rand.NewPCG(1, 1))})
		fill(a)
		seen := make(map[time.Duration]bool)
		for range 10 {
			seen[a.Decide(at(time.Second), request("booker", 20_000), long).RetryAfter] = true
		}
		Expect(seen).To(HaveLen(10))
	})

	// One refiner sends a month of records at once. The others, who send what
	// they always do, must not notice.
	It("holds a heavy caller to its share and never refuses one below", func() {
		a := admit.New(admit.Config{})
		rates := map[string]int{"caller-0": 1_000, "caller-1": 20, "caller-2": 20, "caller-3": 20}
		admitted := offer(a, saturated, rates, time.Minute)
		Expect(admitted["caller-1"]).To(BeEquivalentTo(1))
		Expect(admitted["caller-2"]).To(BeEquivalentTo(1))
		Expect(admitted["caller-3"]).To(BeEquivalentTo(1))
		Expect(admitted["caller-0"]).To(BeNumerically("~", 0.04, 0.015), "4,000 of the 10,000 tokens a second are left of its 100,000")
	})

	It("gives shares by weight", func() {
		a := admit.New(admit.Config{Policies: map[string]admit.AccountPolicy{"caller-0": {Weight: 3}}})
		admitted := offer(a, saturated, map[string]int{"caller-0": 200, "caller-1": 200}, time.Minute)
		Expect(admitted["caller-0"] / admitted["caller-1"]).To(BeNumerically("~", 3, 0.5))
	})

	It("lets a heavy caller have what others leave while there is no queue", func() {
		a := admit.New(admit.Config{})
		idle := admit.LoadSnapshot{DrainRate: 10_000}
		admitted := offer(a, idle, map[string]int{"caller-0": 200, "caller-1": 20}, time.Minute)
		Expect(admitted["caller-0"]).To(BeEquivalentTo(1))
	})

	// A heavy caller spreads its requests over all entries, and each of them
	// sees a light one.
	It("counts what other entries have gossiped", func() {
		a := admit.New(admit.Config{})
		rates := map[string]int{"caller-0": 60, "caller-1": 30}
		Expect(offer(a, saturated, rates, 30*time.Second)["caller-0"]).To(BeEquivalentTo(1))
		a = admit.New(admit.Config{RemoteTTL: time.Hour})
		a.SetRemoteUsage(start, "entry-2", []admit.Usage{{Caller: "caller-0", Rate: 50_000}})
		admitted := offer(a, saturated, rates, 30*time.Second)
		Expect(admitted["caller-0"]).To(BeNumerically("<", 0.5))
		Expect(admitted["caller-1"]).To(BeEquivalentTo(1))
	})

	It("tells the heaviest accounts, and forgets those of an entry that is gone", func() {
		a := admit.New(admit.Config{})
		offer(a, admit.LoadSnapshot{DrainRate: 1e6}, map[string]int{"caller-0": 100, "caller-1": 300, "caller-2": 200}, 10*time.Second)
		Expect(a.HeaviestAccounts(at(10*time.Second), 2)).To(HaveExactElements(
			HaveField("Caller", "caller-1"), HaveField("Caller", "caller-2")))
	})

	It("holds an account to the operators' limit", func() {
		a := admit.New(admit.Config{Policies: map[string]admit.AccountPolicy{"caller-0": {Limit: 2_000}}})
		admitted := offer(a, admit.LoadSnapshot{DrainRate: 1e6}, map[string]int{"caller-0": 100}, time.Minute)
		Expect(admitted["caller-0"]).To(BeNumerically("~", 0.2, 0.05))
	})

	// An entry has just started and no report has come. It knows no drain rate,
	// and must not take that for a fleet that does nothing.
	It("admits while the drain rate is not known, and goes on once it is", func() {
		a := admit.New(admit.Config{})
		for i := range 100 {
			d := a.Decide(at(time.Duration(i)*10*time.Millisecond), request("booker", 2_000), admit.LoadSnapshot{})
			Expect(d.Admit).To(BeTrue())
		}
		d := a.Decide(at(1001*time.Millisecond), request("assayer", 2_000), saturated)
		Expect(d.Admit).To(BeTrue())
	})

	It("tracks a bounded number of accounts", func() {
		a := admit.New(admit.Config{MaxAccounts: 100})
		for i := range 10_000 {
			a.Decide(start, request(fmt.Sprintf("caller-%d", i), 100), admit.LoadSnapshot{DrainRate: 1e6})
		}
		Expect(len(a.HeaviestAccounts(start, 10_000))).To(BeNumerically("<=", 101))
	})
})

// BenchmarkDecide decides with the letter's 9,600 accounts active; the fair
// share is worked out anew in virtual time as it would be at 100 requests a
// second.
func BenchmarkDecide(b *testing.B) {
	a := admit.New(admit.Config{})
	callers := make([]string, admit.DefaultAccounts)
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
