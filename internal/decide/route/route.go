// Package route picks the backend server for a request.
//
// It handles shifting prefixes, hot keys and stale load reports. Round robin
// ignores the prefix cache and prefills a shared prefix on every engine. Least
// connections counts a prompt of 50,000 tokens like one of 500. Entries that all
// rely on the same stale report send everything to the engine that was idle a
// second ago, so that queues oscillate between engines. Pick therefore minimises
// the expected time to first token: queue delay plus prefill of the uncached
// tokens. The queue delay comes from the last report, corrected by the requests
// that this entry has sent since. Among nearly equal candidates it uses the power
// of two choices, so that entries do not herd.
//
// A decision has three steps: filters drop candidates, scorers add up the
// expected time of each candidate, and a picker chooses one.
package route

import (
	"math/rand/v2"
	"time"
)

// KVBlockTokens is the size of a KV cache block in tokens.
const KVBlockTokens = 2_000

// Role is the kind of work that a candidate does or a request needs.
type Role string

// The roles. A candidate of role Mixed serves requests of any role.
const (
	Mixed   Role = "mixed"
	Prefill Role = "prefill"
	Decode  Role = "decode"
)

// Request has the properties of a request that routing depends on.
type Request struct {
	Service string
	// Model and Adapter are empty for a plain service.
	Model, Adapter string
	PromptTokens   int
	OutputTokens   int
	// PrefixBlocks is the hash chain of the prompt, from the function
	// PrefixBlocks.
	PrefixBlocks []uint64
	DataCentre   string
	// Role is the work requested; empty for a plain service.
	Role Role
	// Excluded has the backend servers that the request must not be sent to, for
	// example those of earlier attempts.
	Excluded []string
}

// Candidate is a backend server in its state as last known to the entry.
type Candidate struct {
	Name       string
	DataCentre string
	Service    string
	Model      string
	// Adapters are the loaded adapters.
	Adapters []string
	Role     Role
	// Admitting is false while the backend server is draining, applying a change of
	// its role or weights, or full.
	Admitting bool
	// Leaving is set while the backend server is being removed from the VM list.
	Leaving bool
	// MaxSpilloverPrompt is the longest prompt, in uncached tokens, that this decode
	// engine prefills; 0 means that it prefills none.
	MaxSpilloverPrompt int
	// Load is the corrected load, from a LoadTracker.
	Load Load
	// CachedBlocks is the number of leading blocks of the request that are likely
	// cached.
	CachedBlocks int
	// Weight is set by outlier detection, at most 1; 0 means 1.
	Weight float64
}

// Load is the load that a backend server reports, or a corrected report.
type Load struct {
	QueuedTokens  int
	RunningTokens int
	Running       int
	Queued        int
	Slots         int
	FreeKVBlocks  int `json:"FreePieces"`
	// PrefillRate and DecodeRate are in tokens per second while the server does
	// no other work.
	PrefillRate, DecodeRate float64
}

// Decision is the outcome of a pick.
type Decision struct {
	Name string
	// ExpectedTTFT is the expected time to first token, or to the start of the answer
	// for a plain service.
	ExpectedTTFT time.Duration
	// QueueDelay is the part of ExpectedTTFT that is spent in the queue.
	QueueDelay time.Duration
	// Reason explains the decision to operators.
	Reason string
}

// Filter decides which candidates are eligible for a request.
type Filter interface {
	Keep(r Request, c Candidate) bool
}

// Scorer returns one component of a candidate's expected time to first token.
type Scorer interface {
	Score(r Request, c Candidate) time.Duration
}

// Picker chooses among scored candidates; there is at least one.
type Picker interface {
	Pick(rng *rand.Rand, scored []Scored) Scored
}

// Scored is a candidate with its expected time to first token.
type Scored struct {
	Candidate
	ExpectedTTFT time.Duration
}

// Profile is a chain of filters and scorers and one picker.
type Profile struct {
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
}

// DefaultProfile returns the profile that Pick uses.
func DefaultProfile() Profile {
	return Profile{
		Filters: []Filter{ServesFilter{}, AdmittingFilter{}, ExcludedFilter{}},
		Scorers: []Scorer{QueueDelayScorer{}, PrefillScorer{}, DistanceScorer{}, WeightScorer{}},
		Picker:  PowerOfTwoChoices{},
	}
}

var defaultProfile = DefaultProfile()

// Pick returns the backend server for r according to the default profile, or
// false if none is eligible.
func Pick(rng *rand.Rand, r Request, candidates []Candidate) (Decision, bool) {
	return defaultProfile.Pick(rng, r, candidates)
}

// Pick returns the backend server for r, or false if none is eligible.
func (p Profile) Pick(rng *rand.Rand, r Request, candidates []Candidate) (Decision, bool) {
	var scored []Scored
	for _, c := range candidates {
		if p.eligible(r, c) {
			scored = append(scored, Scored{Candidate: c, ExpectedTTFT: p.expectedTTFT(r, c)})
		}
	}
	if len(scored) == 0 {
		return Decision{}, false
	}
	return newDecision(r, p.Picker.Pick(rng, scored), len(scored)), true
}

func (p Profile) eligible(r Request, c Candidate) bool {
	for _, f := range p.Filters {
		if !f.Keep(r, c) {
			return false
		}
	}
	return true
}

func (p Profile) expectedTTFT(r Request, c Candidate) time.Duration {
	var expected time.Duration
	for _, s := range p.Scorers {
		expected += s.Score(r, c)
	}
	return expected
}
