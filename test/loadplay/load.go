package loadplay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Request is one request of a trace.
type Request struct {
	ID      int
	At      time.Duration
	Caller  string
	Service string
	Class   int
	// PromptTokens is the length of the prompt, PrefixBlocks the hashes of its
	// complete KV blocks.
	PromptTokens int
	PrefixBlocks []uint64
	// MaxOutput is the caller's limit, OutputTokens the actual answer length.
	MaxOutput, OutputTokens int
	// Budget is the time from arrival to the deadline of the complete answer.
	Budget time.Duration
}

// The services: Drafts generates text, Lookups is a plain service.
const (
	Drafts  = "drafts"
	Lookups = "lookups"
)

// Kind is a kind of request.
type Kind struct {
	Service string
	Class   int
	// A prompt starts with one of Documents shared documents, drawn from a Zipf
	// distribution, of DocumentBlocks KV blocks each. About TailTokens tokens,
	// unique to the prompt, follow.
	Documents      int
	DocumentBlocks int
	ZipfExponent   float64
	TailTokens     int
	MaxOutput      int
	// Slack is the latency budget in excess of the processing time.
	Slack time.Duration
}

// The kinds of requests: long prompts over a large shared document, such as a
// portfolio or a lot's records, short prompts with a longer answer, very long
// prompts, prompts that share a few popular documents, and calls of the plain
// service.
var (
	longPrompt  = Kind{Service: Drafts, Class: 1, Documents: 240, DocumentBlocks: 8, ZipfExponent: 1.05, TailTokens: 7_000, MaxOutput: 200, Slack: 5 * time.Second}
	shortPrompt = Kind{Service: Drafts, Class: 1, Documents: 60, DocumentBlocks: 1, ZipfExponent: 1.05, TailTokens: 1_200, MaxOutput: 700, Slack: 4 * time.Second}
	hugePrompt  = Kind{Service: Drafts, Class: 1, Documents: 1_000, DocumentBlocks: 2, ZipfExponent: 1.01, TailTokens: 60_000, MaxOutput: 300, Slack: 15 * time.Second}
	hotPrompt   = Kind{Service: Drafts, Class: 1, Documents: 4, DocumentBlocks: 12, ZipfExponent: 1.5, TailTokens: 1_500, MaxOutput: 250, Slack: 5 * time.Second}
	lookup      = Kind{Service: Lookups, Class: 0, Slack: 500 * time.Millisecond}
)

// Source generates requests of one kind at a rate that varies with time.
type Source struct {
	Kind Kind
	// Rate returns the requests per second at t.
	Rate func(t time.Duration) float64
	// Callers are drawn uniformly.
	Callers []string
}

// Trace draws the requests of all sources for the given duration, ordered by
// arrival.
func Trace(seed uint64, duration time.Duration, sources []Source) []Request {
	var trace []Request
	for i, s := range sources {
		rng := rand.New(rand.NewPCG(seed, uint64(i)+1))
		trace = append(trace, s.draw(rng, i, duration)...)
	}
	slices.SortStableFunc(trace, func(a, b Request) int { return int(a.At - b.At) })
	for i := range trace {
		trace[i].ID = i
	}
	return trace
}

// draw generates a Poisson process whose rate is constant within each second.
func (s Source) draw(rng *rand.Rand, source int, duration time.Duration) []Request {
	var drawn []Request
	zipf := zipfCumulative(s.Kind)
	for t := time.Duration(0); t < duration; t += time.Second {
		rate := s.Rate(t)
		for at := interArrivalTime(rng, rate); at < 1; at += interArrivalTime(rng, rate) {
			when := t + time.Duration(at*float64(time.Second))
			drawn = append(drawn, s.request(rng, zipf, source, when))
		}
	}
	return drawn
}

// interArrivalTime draws the time to the next arrival, in seconds.
func interArrivalTime(rng *rand.Rand, rate float64) float64 {
	if rate <= 0 {
		return math.Inf(1)
	}
	return rng.ExpFloat64() / rate
}

func (s Source) request(rng *rand.Rand, zipf []float64, source int, at time.Duration) Request {
	k := s.Kind
	r := Request{
		At:      at,
		Caller:  s.Callers[rng.IntN(len(s.Callers))],
		Service: k.Service,
		Class:   k.Class,
		Budget:  k.Slack,
	}
	if k.Service == Lookups {
		return r
	}
	document := drawDocument(rng, zipf)
	tail := int(float64(k.TailTokens) * (0.5 + rng.Float64()))
	r.PromptTokens = k.DocumentBlocks*kvBlockTokens + tail
	r.PrefixBlocks = prefixBlocks(rng, k, document, r.PromptTokens/kvBlockTokens)
	r.MaxOutput = k.MaxOutput
	r.OutputTokens = max(1, int(float64(k.MaxOutput)*(0.5+0.5*rng.Float64())))
	// On top of the slack, the budget covers the work at the speed of a fully
	// loaded engine without cached blocks.
	r.Budget += seconds(float64(r.PromptTokens)/prefillRate) + time.Duration(r.MaxOutput)*fullBatchStep
	return r
}

func prefixBlocks(rng *rand.Rand, k Kind, document, count int) []uint64 {
	hashes := make([]uint64, count)
	for i := range hashes {
		if i < k.DocumentBlocks {
			hashes[i] = uint64(k.DocumentBlocks)<<40 | uint64(document)<<16 | uint64(i) | 1<<62
		} else {
			hashes[i] = rng.Uint64() >> 2
		}
	}
	return hashes
}

// zipfCumulative returns the cumulative distribution over the documents.
func zipfCumulative(k Kind) []float64 {
	cumulative := make([]float64, max(1, k.Documents))
	sum := 0.0
	for i := range cumulative {
		sum += 1 / math.Pow(float64(i+1), k.ZipfExponent)
		cumulative[i] = sum
	}
	for i := range cumulative {
		cumulative[i] /= sum
	}
	return cumulative
}

func drawDocument(rng *rand.Rand, cumulative []float64) int {
	i, _ := slices.BinarySearch(cumulative, rng.Float64())
	return min(i, len(cumulative)-1)
}

// callerNames returns n names with the prefix.
func callerNames(prefix string, n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%02d", prefix, i)
	}
	return names
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
