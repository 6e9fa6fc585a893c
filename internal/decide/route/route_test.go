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

func prefillRequest(prompt int) route.Request {
	return route.Request{Service: "drafts", Model: "m", Role: route.Prefill, PromptTokens: prompt, DataCentre: "gangnam"}
}

// pickFractions picks 1,000 times and returns the fraction of picks by name.
func pickFractions(r route.Request, candidates []route.Candidate) map[string]float64 {
	rng := newRand()
	got := make(map[string]float64)
	for range 1_000 {
		d, _ := route.Pick(rng, r, candidates)
		got[d.Name] += 0.001
	}
	return got
}

var _ = Describe("Pick", func() {
	It("drops candidates that are not eligible", func() {
		other, drained, leaving, tried, decode := engine("other"), engine("drained"), engine("leaving"), engine("tried"), engine("decode")
		other.Model = "n"
		drained.Admitting = false
		leaving.Leaving = true
		decode.Role = route.Decode
		r := prefillRequest(1_000)
		r.Excluded = []string{"tried"}
		_, ok := route.Pick(newRand(), r, []route.Candidate{other, drained, leaving, tried, decode})
		Expect(ok).To(BeFalse())
	})

	// Guards against needless prefills: on an engine without the cached prefix, the
	// caller of a prompt of 40,000 tokens waits four seconds longer.
	It("prefers the engine that has the prompt cached", func() {
		a, b := engine("a"), engine("b")
		b.CachedBlocks = 19
		b.Load.QueuedTokens = 10_000
		Expect(pickFractions(prefillRequest(40_000), []route.Candidate{a, b})["b"]).To(BeNumerically(">", 0.99))
	})

	It("avoids the engine with the cached prompt if its queue takes longer than a prefill", func() {
		a, b := engine("a"), engine("b")
		b.CachedBlocks = 1
		b.Load.QueuedTokens = 10_000
		Expect(pickFractions(prefillRequest(2_500), []route.Candidate{a, b})["a"]).To(BeNumerically(">", 0.99))
	})

	// Guards against herding: all entries have the same report of an idle engine.
	// If all picked it, it would have the longest queue by the next report.
	It("spreads requests over nearly equal candidates", func() {
		var candidates []route.Candidate
		for i := range 4 {
			candidates = append(candidates, engine(fmt.Sprint(i)))
		}
		for name, fraction := range pickFractions(prefillRequest(1_000), candidates) {
			Expect(fraction).To(BeNumerically("<", 0.5), name)
		}
	})

	It("prefers its own data centre among equals, but not if it has a queue", func() {
		near, far := engine("near"), engine("far")
		far.DataCentre = "mapo"
		Expect(pickFractions(prefillRequest(100), []route.Candidate{near, far})["near"]).To(BeNumerically(">=", 0.5))
		near.Load.QueuedTokens = 5_000
		Expect(pickFractions(prefillRequest(100), []route.Candidate{near, far})["far"]).To(BeNumerically(">", 0.99))
	})

	It("sends fewer requests to a backend server of low weight", func() {
		slow, well := engine("slow"), engine("well")
		slow.Weight = 0.2
		Expect(pickFractions(prefillRequest(5_000), []route.Candidate{slow, well})["slow"]).To(BeNumerically("<", 0.01))
	})

	It("lets a decode engine prefill only prompts up to its limit", func() {
		decode := engine("decode")
		decode.Role, decode.MaxSpilloverPrompt = route.Decode, 2_000
		_, ok := route.Pick(newRand(), prefillRequest(1_500), []route.Candidate{decode})
		Expect(ok).To(BeTrue())
		_, ok = route.Pick(newRand(), prefillRequest(2_500), []route.Candidate{decode})
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("LoadTracker", func() {
	// Guards against overloading an idle engine: reports come once a second, and
	// an entry can send a hundred prompts in between.
	It("adds requests sent since the report", func() {
		tracker := route.NewLoadTracker()
		tracker.Report(start, "a", route.Load{QueuedTokens: 1_000})
		tracker.AddRequest(at(time.Second), "a", "1", 5_000)
		l, age, ok := tracker.Load(at(2*time.Second), "a")
		Expect(ok).To(BeTrue())
		Expect(l.QueuedTokens).To(Equal(6_000))
		Expect(age).To(Equal(2 * time.Second))

		tracker.Report(at(1500*time.Millisecond), "a", route.Load{QueuedTokens: 6_000})
		l, _, _ = tracker.Load(at(2*time.Second), "a")
		Expect(l.QueuedTokens).To(Equal(6_000), "the report includes the request")
		tracker.RemoveRequest(at(2*time.Second), "a", "1")
		l, _, _ = tracker.Load(at(2*time.Second), "a")
		Expect(l.QueuedTokens).To(Equal(1_000))
	})

	It("ignores a report that is older than the last", func() {
		tracker := route.NewLoadTracker()
		tracker.Report(at(time.Second), "a", route.Load{QueuedTokens: 1})
		tracker.Report(start, "a", route.Load{QueuedTokens: 2})
		l, _, _ := tracker.Load(at(time.Second), "a")
		Expect(l.QueuedTokens).To(Equal(1))
	})
})

var _ = Describe("PrefixIndex", func() {
	blocks := route.PrefixBlocks(strings.Repeat("gold", 3*route.KVBlockTokens))

	It("counts leading blocks only", func() {
		x := route.NewPrefixIndex(0)
		x.AddStored(start, "a", blocks)
		x.AddStored(start, "b", blocks[1:])
		Expect(x.CachedBlocks(start, blocks)).To(Equal(map[string]int{"a": 3}))
		x.RemoveEvicted("a", blocks[1:2])
		Expect(x.CachedBlocks(start, blocks)).To(Equal(map[string]int{"a": 1}))
	})

	// Guards against stale entries: if a lost event was an eviction, prompts
	// would go to an engine that has to prefill them again.
	It("invalidates blocks after events were lost", func() {
		x := route.NewPrefixIndex(0)
		x.AddStored(start, "a", blocks)
		x.EventsLost(start, "a")
		Expect(x.CachedBlocks(at(time.Second), blocks)).To(HaveKeyWithValue("a", 3))
		Expect(x.CachedBlocks(at(time.Minute), blocks)).To(BeEmpty())
	})

	// Guards against stale entries under continuous loss of events: a later loss
	// must not extend the validity that the first has limited.
	It("invalidates blocks also while events are lost repeatedly", func() {
		x := route.NewPrefixIndex(0)
		x.AddStored(start, "a", blocks)
		for i := range 30 {
			x.EventsLost(at(time.Duration(i)*time.Second), "a")
		}
		Expect(x.CachedBlocks(at(30*time.Second), blocks)).To(BeEmpty())
		x.AddStored(at(31*time.Second), "a", blocks)
		Expect(x.CachedBlocks(at(32*time.Second), blocks)).To(HaveKeyWithValue("a", 3))
	})

	It("stays within its limit and retains the newest blocks", func() {
		x := route.NewPrefixIndex(100)
		for i := range uint64(10_000) {
			x.AddStored(start, "a", []uint64{i})
		}
		Expect(x.Len()).To(Equal(100))
		Expect(x.CachedBlocks(start, []uint64{9_999})).To(HaveLen(1))
	})

	It("chains hashes, so that equal blocks after different ones have different hashes", func() {
		size := route.KVBlockTokens * route.BytesPerToken
		one := route.PrefixBlocks(strings.Repeat("a", size) + strings.Repeat("c", size))
		two := route.PrefixBlocks(strings.Repeat("b", size) + strings.Repeat("c", size))
		Expect(one).To(HaveLen(2))
		Expect(one[1]).NotTo(Equal(two[1]))
	})
})

// BenchmarkPick routes a request among the 100 engines of one data centre, the
// expected deployment size, with the corrected load of each.
func BenchmarkPick(b *testing.B) {
	const engines = 100
	tracker := route.NewLoadTracker()
	for i := range engines {
		tracker.Report(start, fmt.Sprint(i), route.Load{PrefillRate: 10_000, Slots: 64})
	}
	candidates := make([]route.Candidate, engines)
	rng := newRand()
	for b.Loop() {
		for i := range candidates {
			candidates[i] = engine(fmt.Sprint(i))
			candidates[i].Load, _, _ = tracker.Load(start, candidates[i].Name)
		}
		route.Pick(rng, prefillRequest(8_000), candidates)
	}
}
