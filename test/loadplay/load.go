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
	// Prompt is in tokens; Pieces is the hash chain of its whole pieces.
	Prompt int
	Pieces []uint64
	// MaxOutput is asked for; Output is what the model will say.
	MaxOutput, Output int
	// Budget is the time to the whole answer.
	Budget time.Duration
}

// The services.
const (
	Drafts  = "drafts"
	Lookups = "lookups"
)

// Kind is a kind of request.
type Kind struct {
	Service string
	Class   int
	// Documents to read, each of DocumentPieces cached pieces, chosen by a
	// Zipf law among Documents; Tail tokens are new in each prompt.
	Documents      int
	DocumentPieces int
	Skew           float64
	Tail           int
	MaxOutput      int
	// Slack is the time to the answer besides the work itself.
	Slack time.Duration
}

// The kinds of both workloads: a long read of a portfolio or of a lot's
// records, a short reply, a lookup.
var (
	longRead = Kind{Service: Drafts, Class: 1, Documents: 240, DocumentPieces: 8, Skew: 1.05, Tail: 7_000, MaxOutput: 200, Slack: 5 * time.Second}
	reply    = Kind{Service: Drafts, Class: 1, Documents: 60, DocumentPieces: 1, Skew: 1.05, Tail: 1_200, MaxOutput: 700, Slack: 4 * time.Second}
	giant    = Kind{Service: Drafts, Class: 1, Documents: 1_000, DocumentPieces: 2, Skew: 1.01, Tail: 60_000, MaxOutput: 300, Slack: 15 * time.Second}
	hotRead  = Kind{Service: Drafts, Class: 1, Documents: 4, DocumentPieces: 12, Skew: 1.5, Tail: 1_500, MaxOutput: 250, Slack: 5 * time.Second}
	lookup   = Kind{Service: Lookups, Class: 0, Slack: 500 * time.Millisecond}
)

// Source offers requests of one kind at a rate that varies with time.
type Source struct {
	Kind Kind
	// Rate is in requests a second.
	Rate func(t time.Duration) float64
	// Callers are drawn with equal chance.
	Callers []string
}

// Trace draws the requests of the sources up to the given length.
func Trace(seed uint64, length time.Duration, sources []Source) []Request {
	var trace []Request
	for i, s := range sources {
		rng := rand.New(rand.NewPCG(seed, uint64(i)+1))
		trace = append(trace, s.draw(rng, i, length)...)
	}
	slices.SortStableFunc(trace, func(a, b Request) int { return int(a.At - b.At) })
	for i := range trace {
		trace[i].ID = i
	}
	return trace
}

// draw is a Poisson process by thinning, in steps of a second.
func (s Source) draw(rng *rand.Rand, source int, length time.Duration) []Request {
	var drawn []Request
	zipf := newZipf(s.Kind)
	for t := time.Duration(0); t < length; t += time.Second {
		rate := s.Rate(t)
		for at := gap(rng, rate); at < 1; at += gap(rng, rate) {
			when := t + time.Duration(at*float64(time.Second))
			drawn = append(drawn, s.request(rng, zipf, source, when))
		}
	}
	return drawn
}

// gap is the time to the next arrival in seconds.
func gap(rng *rand.Rand, rate float64) float64 {
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
	document := pick(rng, zipf)
	tail := int(float64(k.Tail) * (0.5 + rng.Float64()))
	r.Prompt = k.DocumentPieces*pieceTokens + tail
	r.Pieces = pieces(rng, k, document, r.Prompt/pieceTokens)
	r.MaxOutput = k.MaxOutput
	r.Output = max(1, int(float64(k.MaxOutput)*(0.5+0.5*rng.Float64())))
	// Beyond the slack, the caller allows for the work at the speed of a full engine.
	r.Budget += seconds(float64(r.Prompt)/prefillRate) + time.Duration(r.MaxOutput)*fullStep
	return r
}

func pieces(rng *rand.Rand, k Kind, document, whole int) []uint64 {
	hashes := make([]uint64, whole)
	for i := range hashes {
		if i < k.DocumentPieces {
			hashes[i] = uint64(k.DocumentPieces)<<40 | uint64(document)<<16 | uint64(i) | 1<<62
		} else {
			hashes[i] = rng.Uint64() >> 2
		}
	}
	return hashes
}

// newZipf is the cumulative chance of each document.
func newZipf(k Kind) []float64 {
	cumulative := make([]float64, max(1, k.Documents))
	sum := 0.0
	for i := range cumulative {
		sum += 1 / math.Pow(float64(i+1), k.Skew)
		cumulative[i] = sum
	}
	for i := range cumulative {
		cumulative[i] /= sum
	}
	return cumulative
}

func pick(rng *rand.Rand, cumulative []float64) int {
	i, _ := slices.BinarySearch(cumulative, rng.Float64())
	return min(i, len(cumulative)-1)
}

// callers returns n names.
func callers(prefix string, n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%02d", prefix, i)
	}
	return names
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
