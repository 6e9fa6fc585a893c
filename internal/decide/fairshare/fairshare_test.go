package fairshare_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/fairshare"
)

func TestFairshare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fairshare")
}

var start = time.Unix(1_000_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// use makes accounts, numbered from 1, use and complete tokens at the given rates per
// second, in ten requests per second.
func use(a *fairshare.Accounts, seconds int, rates ...float64) time.Time {
	for ms := 0; ms < 1_000*seconds; ms += 100 {
		for i, rate := range rates {
			a.Use(at(ms), fairshare.AccountID(i+1), rate/10)
			a.Complete(at(ms), rate/10)
		}
	}
	return at(1_000 * seconds)
}

var _ = Describe("MaxMin", func() {
	It("meets small demands and divides the rest by weight", func() {
		demands := []fairshare.Demand{{Rate: 100, Weight: 1}, {Rate: 10, Weight: 1}, {Rate: 300, Weight: 2}}
		Expect(fairshare.MaxMin(160, demands)).To(BeNumerically("~", 50, 1e-9))
		Expect(fairshare.MaxMin(500, demands)).To(Equal(math.Inf(1)))
	})
})

var _ = Describe("Accounts", func() {
	It("puts only the heaviest account above its share", func() {
		a := fairshare.NewAccounts(fairshare.Config{})
		now := use(a, 60, 6_000, 1_000, 1_000)
		Expect(a.Standing(now, 1).Over()).To(BeTrue())
		Expect(a.Standing(now, 2).Over()).To(BeFalse())
		// 80% of 8,000, less the 2,000 of the others.
		Expect(a.Standing(now, 1).Share).To(BeNumerically("~", 4_400, 200))
	})

	It("scales shares by weight", func() {
		a := fairshare.NewAccounts(fairshare.Config{Weights: map[fairshare.AccountID]float64{1: 3}})
		now := use(a, 60, 3_000, 3_000)
		Expect(a.Standing(now, 1).Over()).To(BeFalse())
		Expect(a.Standing(now, 2).Over()).To(BeTrue())
	})

	// Guards against an account that is rejected for a single prompt that exceeds everyone's
	// share.
	It("does not put an account above its share for one large prompt", func() {
		a := fairshare.NewAccounts(fairshare.Config{})
		now := use(a, 60, 100, 100)
		a.Use(now, 3, 90_000)
		Expect(a.Standing(now.Add(time.Second), 3).Over()).To(BeFalse())
		a.Use(now, 3, 90_000)
		Expect(a.Standing(now.Add(time.Second), 3).Over()).To(BeTrue())
	})

	It("tells when an account is back within its share", func() {
		a := fairshare.NewAccounts(fairshare.Config{})
		now := use(a, 60, 6_000, 1_000)
		s := a.Standing(now, 1)
		after := a.TimeToShare(s, time.Minute)
		Expect(a.Standing(now.Add(after), 1).Rate).To(BeNumerically("~", s.Share, 0.01*s.Share))
		Expect(a.TimeToShare(s, time.Millisecond)).To(Equal(time.Millisecond))
	})

	// Guards against a gateway that has just started and judges accounts by a few requests.
	It("limits nobody while the capacity is unknown", func() {
		a := fairshare.NewAccounts(fairshare.Config{})
		for range 10 {
			a.Use(start, 1, 1_000)
		}
		a.Complete(start, 10_000)
		Expect(a.Standing(at(300), 1).Over()).To(BeFalse())
	})

	// Guards against usage of lost gateways that counts for ever, and against a table that
	// grows with each account that ever sent a request.
	It("forgets accounts without requests", func() {
		a := fairshare.NewAccounts(fairshare.Config{})
		now := use(a, 10, 6_000, 1_000)
		Expect(a.Summary(now, 5).Heaviest).To(HaveLen(2))
		Expect(a.Standing(now.Add(30*time.Second), 1).Rate).To(BeNumerically("<", 20))
		later := a.Summary(now.Add(10*time.Minute), 5)
		Expect(later.Heaviest).To(BeEmpty())
		Expect(later.Share).To(Equal(math.Inf(1)))
	})

	// Guards against a full table that takes shares from the accounts in it: those that do
	// not fit count as one, and all others as before.
	It("counts accounts beyond the bound as one", func() {
		a := fairshare.NewAccounts(fairshare.Config{MaxAccounts: 2})
		now := use(a, 60, 500, 500, 2_000, 2_000)
		Expect(a.Summary(now, 10).Heaviest).To(HaveLen(3))
		Expect(a.Standing(now, 1).Over()).To(BeFalse())
		Expect(a.Standing(now, 3)).To(Equal(a.Standing(now, 4)))
		Expect(a.Standing(now, 3).Over()).To(BeTrue())
		// Once the others are forgotten, an account that did not fit has a row of its own.
		later := now.Add(5 * time.Minute)
		a.Standing(later, 3)
		a.Use(later, 3, 100)
		Expect(a.Summary(later, 10).Heaviest).To(HaveExactElements(HaveField("Account", fairshare.AccountID(3))))
	})

	It("agrees with the share of sorted demands", func() {
		a := fairshare.NewAccounts(fairshare.Config{})
		var rates []float64
		var demands []fairshare.Demand
		total := 0.0
		for i := range 83 {
			rate := 10_000 * math.Pow(float64(i+1), -1.2)
			rates, total = append(rates, rate), total+rate
			demands = append(demands, fairshare.Demand{Rate: rate, Weight: 1})
		}
		now := use(a, 60, rates...)
		Expect(a.Summary(now, 0).Share).To(BeNumerically("~", fairshare.MaxMin(0.8*total, demands), 0.03*total))
	})
})

// BenchmarkDecision measures the work for one request with 10,000 active accounts at 300
// requests per second of simulated time: its standing, its usage and its completion. The
// rate determines how often the share is computed.
func BenchmarkDecision(b *testing.B) {
	a := fairshare.NewAccounts(fairshare.Config{})
	now := start
	i := 0
	step := func() {
		now = now.Add(time.Second / 300)
		account := fairshare.AccountIDOf(accountNames[i%len(accountNames)])
		i++
		a.Standing(now, account)
		cost := 1e5 / float64(1+i%100)
		a.Use(now, account, cost)
		a.Complete(now, cost)
	}
	for range 3 * len(accountNames) {
		step()
	}
	b.ReportAllocs()
	for b.Loop() {
		step()
	}
	b.ReportMetric(float64(a.Summary(now, 0).Accounts), "accounts")
}

var accountNames = func() []string {
	names := make([]string, 10_000)
	for i := range names {
		names[i] = "account-" + time.Duration(i).String()
	}
	return names
}()
