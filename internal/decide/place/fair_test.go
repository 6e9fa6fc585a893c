package place_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/fairshare"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
)

// sharedLoad is a load of 83 accounts, of Zipf-distributed size, on gateways that share
// engines, each of which prefills one prompt at a time.
type sharedLoad struct {
	gateways                      int
	perSecond, seconds, burstFrom int
	// skew is the exponent of the accounts' sizes.
	skew float64
	// burst is the factor of the largest account's load from burstFrom on.
	burst float64
	// blind leaves the accounts out, fresh has the first gateway start without estimates at
	// burstFrom, and lost is the fraction of announcements that are lost.
	blind, fresh bool
	lost         float64
	// late is how long announcements take.
	late int
	// same gives all small accounts of odd number the hash of the first of them.
	same bool
}

// outcomes are those of the requests of one group of accounts.
type outcomes struct {
	asked, refused, onTime int
	ttfts                  []int
}

func (o *outcomes) refusal() float64 { return float64(o.refused) / float64(max(1, o.asked)) }

// share is the fraction of requests whose first token was on time.
func (o *outcomes) share() float64 { return float64(o.onTime) / float64(max(1, o.asked)) }

func (o *outcomes) percentile(p float64) int {
	slices.Sort(o.ttfts)
	return o.ttfts[int(p*float64(len(o.ttfts)-1))]
}

// result has the outcomes from burstFrom on: of the largest account and of all others.
type result struct {
	large, small outcomes
	// tokens is how many prompt tokens were admitted.
	tokens int
	// retries are the retry delays of those above their share.
	retries []time.Duration
}

// sharedPrompts are the prompts of R: the fraction, tokens and objective of each kind.
var sharedPrompts = []struct {
	upTo      float64
	tokens    float64
	objective time.Duration
}{{0.28, 17_000, 1_200 * time.Millisecond}, {0.53, 9_200, 500 * time.Millisecond}, {1, 1_460, 400 * time.Millisecond}}

const sharedEngines = 12

func (l sharedLoad) run() result {
	rng := rand.New(rand.NewPCG(5, 8))
	var fleets []*place.Fleet
	for range l.gateways {
		fleets = append(fleets, calibratedFleet(sharedEngines, 6))
	}
	weights := make([]float64, 83)
	total := 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -l.skew)
		total += weights[i]
	}
	largest := weights[0] / total
	events := make(map[int][]func(int))
	idleAt := make(map[string]int)
	var r result
	tellOthers := func(ms, own int, tell func(*place.Fleet, int)) {
		for g, f := range fleets {
			if g != own && rng.Float64() >= l.lost {
				events[ms+l.late] = append(events[ms+l.late], func(ms int) { tell(f, ms) })
			}
		}
	}
	arrive := func(ms, n, account int) {
		g := rng.IntN(l.gateways)
		f := fleets[g]
		kind := sharedPrompts[0]
		for x, i := rng.Float64(), 0; x > kind.upTo; i++ {
			kind = sharedPrompts[i+1]
		}
		tokens := int(kind.tokens * (0.5 + rng.Float64()))
		id := fairshare.AccountID(account + 1)
		if l.same && account%2 == 1 {
			id = 2
		}
		if l.blind {
			id = 0
		}
		j := place.Job{ID: place.JobID(n), Prompt: prompt(uint64(n), 0, tokens, uint64(n)), Account: id}
		p, a, _ := f.Plan(at(ms), j, place.Constraints{Objective: kind.objective, Remaining: 10 * time.Second})
		out := &r.small
		if account == 0 {
			out = &r.large
		}
		measured := ms >= 1_000*l.burstFrom
		if measured {
			out.asked++
		}
		if !a.Admit {
			if measured {
				out.refused++
			}
			if a.OverShare {
				r.retries = append(r.retries, a.RetryAfter)
			}
			return
		}
		placed := place.Placement{ID: j.ID, Prompt: j.Prompt, Plan: p, Remaining: 10 * time.Second, Account: id}
		f.AddPlacement(at(ms), placed)
		tellOthers(ms, g, func(f *place.Fleet, ms int) { f.AddPlacement(at(ms), placed) })
		work := int((prefillTime(p.Split(), tokens) - prefillTime(true, 0)).Milliseconds())
		began := max(ms, idleAt[p.PrefillEngine])
		idleAt[p.PrefillEngine] = began + work
		done := began + work + int(prefillTime(true, 0).Milliseconds())
		if measured {
			r.tokens += tokens
			out.ttfts = append(out.ttfts, done-ms)
			if done-ms <= int(kind.objective.Milliseconds()) {
				out.onTime++
			}
		}
		events[done] = append(events[done], func(ms int) {
			f.LocalPrefillDone(at(ms), j.ID)
			tellOthers(ms, g, func(f *place.Fleet, ms int) { f.PrefillDone(at(ms), j.ID) })
		})
		events[done+1_000] = append(events[done+1_000], func(ms int) {
			f.JobFinished(at(ms), j.ID)
			tellOthers(ms, g, func(f *place.Fleet, ms int) { f.JobFinished(at(ms), j.ID) })
		})
	}
	for ms, n := 0, 1; ms < 1_000*l.seconds; ms++ {
		factor := 1.0
		if ms >= 1_000*l.burstFrom {
			factor = l.burst
			if l.fresh && ms == 1_000*l.burstFrom {
				fleets[0] = newFleet(sharedEngines, 6)
			}
		}
		for _, e := range events[ms] {
			e(ms)
		}
		delete(events, ms)
		rate := float64(l.perSecond) / 1_000 * (1 + largest*(factor-1))
		for ; rng.Float64() < rate; rate-- {
			n++
			x := rng.Float64() * (1 + largest*(factor-1))
			account := 0
			for x -= largest * factor; x > 0 && account < len(weights)-1; x -= weights[account] / total {
				account++
			}
			arrive(ms, n, account)
		}
	}
	return r
}

var _ = Describe("fair shares", func() {
	base := sharedLoad{gateways: 16, perSecond: 130, seconds: 40, burstFrom: 20, skew: 1.2, burst: 1, late: 10}
	with := func(change func(*sharedLoad)) result {
		l := base
		change(&l)
		r := l.run()
		GinkgoWriter.Printf("%+v\n  small refused %.4f on time %.4f p50 %d p95 %d; large refused %.4f on time %.4f; %d tokens, %d over share\n", l,
			r.small.refusal(), r.small.share(), r.small.percentile(0.5), r.small.percentile(0.95), r.large.refusal(), r.large.share(), r.tokens, len(r.retries))
		return r
	}

	// Guards against limits for accounts on a usual day: an account of a quarter of the load is
	// rejected for a queue that is gone a moment later.
	It("change nothing without saturation", func() {
		quiet, blind := with(func(*sharedLoad) {}), with(func(l *sharedLoad) { l.blind = true })
		Expect(quiet).To(Equal(blind))
		Expect(quiet.small.refused + quiet.large.refused).To(BeZero())
	})

	// Guards against the same close to saturation, when most prefill engines have queues.
	It("hardly limit anybody while all requests can be served in time", func() {
		r := with(func(l *sharedLoad) { l.perSecond = 185 })
		Expect(r.small.refusal()).To(BeZero())
		Expect(r.large.refusal()).To(BeNumerically("<", 0.02))
	})

	// Guards against a burst of the largest account, after which the requests of all others
	// are rejected as often as its own.
	It("serve small accounts during a burst of the largest as on a quiet day", func() {
		quiet := base.run()
		blind := with(func(l *sharedLoad) { l.burst, l.blind = 5, true })
		r := with(func(l *sharedLoad) { l.burst = 5 })
		Expect(blind.small.refusal()).To(BeNumerically(">", 0.1))
		Expect(r.small.refusal()).To(BeNumerically("<", 0.01))
		Expect(r.small.share()).To(BeNumerically(">", 0.97))
		Expect(r.small.percentile(0.5) - quiet.small.percentile(0.5)).To(BeNumerically("<", 150))
		Expect(r.small.percentile(0.95) - quiet.small.percentile(0.95)).To(BeNumerically("<", 300))
		// The largest account has what the others leave: several times its load on a quiet day.
		Expect(r.large.asked - r.large.refused).To(BeNumerically(">", 3*quiet.large.asked))
		Expect(float64(r.tokens)).To(BeNumerically(">", 0.88*float64(blind.tokens)))
		for _, retry := range r.retries {
			Expect(retry).To(And(BeNumerically(">=", 100*time.Millisecond), BeNumerically("<=", place.MaxRetryAfter(10*time.Second))))
		}
	})

	// Guards against shares that leave engines idle when all accounts are alike and ask for
	// more than there is.
	It("serve as many in time as without shares if all accounts are of one size", func() {
		overload := func(l *sharedLoad) { l.perSecond, l.skew = 280, 0 }
		r, blind := with(overload), with(func(l *sharedLoad) {
			overload(l)
			l.blind = true
		})
		Expect(r.small.share()).To(BeNumerically(">", blind.small.share()-0.02))
	})

	DescribeTable("protect small accounts in a burst with a fault", func(change func(*sharedLoad), refused float64) {
		r := with(func(l *sharedLoad) {
			l.burst = 5
			change(l)
		})
		Expect(r.small.refusal()).To(BeNumerically("<", refused))
		Expect(r.large.refusal()).To(BeNumerically("<", 0.6))
	},
		Entry("announcements are late", func(l *sharedLoad) { l.late = 60 }, 0.02),
		Entry("announcements are lost", func(l *sharedLoad) { l.lost = 0.1 }, 0.05),
		Entry("a gateway starts without estimates", func(l *sharedLoad) { l.fresh = true }, 0.02),
		Entry("half of the small accounts have the same hash", func(l *sharedLoad) { l.same = true }, 0.05),
	)
})
