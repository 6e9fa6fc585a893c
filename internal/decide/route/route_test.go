package route_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/route"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "route")
}

var start = time.Unix(1_000_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func engine(name string) route.Candidate {
	return route.Candidate{
		Name: name, Service: "drafts", Model: "m", Role: route.Prefill, Admitting: true,
		DataCentre: "gangnam", Load: route.Load{PrefillRate: 10_000, Slots: 64},
	}
}

func draft(prompt int) route.Request {
	return route.Request{Service: "drafts", Model: "m", Role: route.Prefill, PromptTokens: prompt, DataCentre: "gangnam"}
}

// shares picks many times and returns how often each name was taken.
func shares(r route.Request, candidates []route.Candidate) map[string]float64 {
	rng := newRand()
	got := make(map[string]float64)
	for range 1_000 {
		d, _ := route.Pick(rng, r, candidates)
		got[d.Name] += 0.001
	}
	return got
}

var _ = Describe("Pick", func() {
	It("drops what cannot or should not take the request", func() {
		other, drained, leaving, tried, decode := engine("other"), engine("drained"), engine("leaving"), engine("tried"), engine("decode")
		other.Model = "n"
		drained.Admitting = false
		leaving.Leaving = true
		decode.Role = route.Decode
		r := draft(1_000)
		r.Excluded = []string{"tried"}
		_, ok := route.Pick(newRand(), r, []route.Candidate{other, drained, leaving, tried, decode})
		Expect(ok).To(BeFalse())
	})

	// A portfolio of forty thousand tokens is cached at one engine. Sent
	// elsewhere, the booker waits four seconds for what was there already.
	It("goes where the prompt is cached", func() {
		a, b := engine("a"), engine("b")
		b.CachedBlocks = 19
		b.Load.QueuedTokens = 10_000
		Expect(shares(draft(40_000), []route.Candidate{a, b})["b"]).To(BeNumerically(">", 0.99))
	})

	It("leaves a hot engine once its queue costs more than the prefill", func() {
		a, b := engine("a"), engine("b")
		b.CachedBlocks = 1
		b.Load.QueuedTokens = 10_000
		Expect(shares(draft(2_500), []route.Candidate{a, b})["a"]).To(BeNumerically(">", 0.99))
	})

	// Every entry has the same report of an idle engine. If all took the
	// best, it would have the longest queue by the next report.
	It("spreads over near-equals", func() {
		var candidates []route.Candidate
		for i := range 4 {
			candidates = append(candidates, engine(fmt.Sprint(i)))
		}
		for name, share := range shares(draft(1_000), candidates) {
			Expect(share).To(BeNumerically("<", 0.5), name)
		}
	})

	It("prefers its own data centre among equals, but not at the price of a queue", func() {
		near, far := engine("near"), engine("far")
		far.DataCentre = "mapo"
		Expect(shares(draft(100), []route.Candidate{near, far})["near"]).To(BeNumerically(">=", 0.5))
		near.Load.QueuedTokens = 5_000
		Expect(shares(draft(100), []route.Candidate{near, far})["far"]).To(BeNumerically(">", 0.99))
	})

	It("gives a backend server of low weight less", func() {
		slow, well := engine("slow"), engine("well")
		slow.Weight = 0.2
		Expect(shares(draft(5_000), []route.Candidate{slow, well})["slow"]).To(BeNumerically("<", 0.01))
	})

	It("lets a decode engine prefill only what it has leave to", func() {
		decode := engine("decode")
		decode.Role, decode.MaxSpilloverPrompt = route.Decode, 2_000
		_, ok := route.Pick(newRand(), draft(1_500), []route.Candidate{decode})
		Expect(ok).To(BeTrue())
		_, ok = route.Pick(newRand(), draft(2_500), []route.Candidate{decode})
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("Picture", func() {
	// A report comes each second. Within it an entry could send a hundred
	// prompts to the engine that was idle when it reported.
	It("adds what was sent since the report", func() {
		p := route.NewLoadTracker()
		p.Report(start, "a", route.Load{QueuedTokens: 1_000})
		p.AddRequest(at(time.Second), "a", "1", 5_000)
		l, age, ok := p.Load(at(2*time.Second), "a")
		Expect(ok).To(BeTrue())
		Expect(l.QueuedTokens).To(Equal(6_000))
		Expect(age).To(Equal(2 * time.Second))

		p.Report(at(1500*time.Millisecond), "a", route.Load{QueuedTokens: 6_000})
		l, _, _ = p.Load(at(2*time.Second), "a")
		Expect(l.QueuedTokens).To(Equal(6_000), "the report has it now")
		p.RemoveRequest(at(2*time.Second), "a", "1")
		l, _, _ = p.Load(at(2*time.Second), "a")
		Expect(l.QueuedTokens).To(Equal(1_000))
	})

	It("drops a report that is older than the last", func() {
		p := route.NewLoadTracker()
		p.Report(at(time.Second), "a", route.Load{QueuedTokens: 1})
		p.Report(start, "a", route.Load{QueuedTokens: 2})
		l, _, _ := p.Load(at(time.Second), "a")
		Expect(l.QueuedTokens).To(Equal(1))
	})
})

var _ = Describe("PrefixIndex", func() {
	pieces := route.PrefixBlocks(strings.Repeat("gold", 3*route.KVBlockTokens))

	It("counts leading pieces only", func() {
		x := route.NewPrefixIndex(0)
		x.AddStored(start, "a", pieces)
		x.AddStored(start, "b", pieces[1:])
		Expect(x.CachedBlocks(start, pieces)).To(Equal(map[string]int{"a": 3}))
		x.RemoveEvicted("a", pieces[1:2])
		Expect(x.CachedBlocks(start, pieces)).To(Equal(map[string]int{"a": 1}))
	})

	// Events are lost and with them an eviction. Held for true, the entry
	// would send each such prompt to an engine that has to prefill it anew.
	It("stops believing in what a gap may have hidden", func() {
		x := route.NewPrefixIndex(0)
		x.AddStored(start, "a", pieces)
		x.EventsLost(start, "a")
		Expect(x.CachedBlocks(at(time.Second), pieces)).To(HaveKeyWithValue("a", 3))
		Expect(x.CachedBlocks(at(time.Minute), pieces)).To(BeEmpty())
	})

	// Events go on being lost, one gap after the other. Each must not renew
	// what the first has put in doubt.
	It("stops believing also when gap follows on gap", func() {
		x := route.NewPrefixIndex(0)
		x.AddStored(start, "a", pieces)
		for i := range 30 {
			x.EventsLost(at(time.Duration(i)*time.Second), "a")
		}
		Expect(x.CachedBlocks(at(30*time.Second), pieces)).To(BeEmpty())
		x.AddStored(at(31*time.Second), "a", pieces)
		Expect(x.CachedBlocks(at(32*time.Second), pieces)).To(HaveKeyWithValue("a", 3))
	})

	It("stays within its bound and keeps the newest", func() {
		x := route.NewPrefixIndex(100)
		for i := range uint64(10_000) {
			x.AddStored(start, "a", []uint64{i})
		}
		Expect(x.Len()).To(Equal(100))
		Expect(x.CachedBlocks(start, []uint64{9_999})).To(HaveLen(1))
	})

	It("chains hashes, so that equal pieces after unequal ones differ", func() {
		size := route.KVBlockTokens * route.BytesPerToken
		one := route.PrefixBlocks(strings.Repeat("a", size) + strings.Repeat("c", size))
		two := route.PrefixBlocks(strings.Repeat("b", size) + strings.Repeat("c", size))
		Expect(one).To(HaveLen(2))
		Expect(one[1]).NotTo(Equal(two[1]))
	})
})

// BenchmarkPick routes one request among the runners of one data centre at the
// letter's size, with the corrected load of each.
func BenchmarkPick(b *testing.B) {
	const runners = 100
	p := route.NewLoadTracker()
	for i := range runners {
		p.Report(start, fmt.Sprint(i), route.Load{PrefillRate: 10_000, Slots: 64})
	}
	candidates := make([]route.Candidate, runners)
	rng := newRand()
	for b.Loop() {
		for i := range candidates {
			candidates[i] = engine(fmt.Sprint(i))
			candidates[i].Load, _, _ = p.Load(start, candidates[i].Name)
		}
		route.Pick(rng, draft(8_000), candidates)
	}
}
