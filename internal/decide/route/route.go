// Package route picks the backend server for a request.
//
// It answers shifting prefixes, hot keys and stale reports. Round robin sends a
// prompt where its prefix is not cached, and prefills the same portfolio at
// every engine; least connections takes a prompt of fifty thousand tokens for
// one of five hundred; and entries that all trust the same late report send
// everything to the one engine that was idle a second ago, which one notices
// by queues that swing from engine to engine. Pick takes the least expected
// time to first token, the wait plus the uncached prefill, where the wait is
// the last report corrected by what this entry has sent since, and chooses
// between two among near-equals so that entries do not herd.
//
// A decision runs in three steps: filters drop candidates, scorers add up a
// candidate's expected time, and a picker chooses.
package route

import (
	"math/rand/v2"
	"time"
)

// PieceTokens is the size of a KV cache piece in tokens.
const KVBlockTokens = 2_000

// Role says which work a candidate is asked for.
type Role string

// The roles. A candidate of role Mixed serves requests of any role.
const (
	Mixed   Role = "mixed"
	Prefill Role = "prefill"
	Decode  Role = "decode"
)

// Request is what routing needs to know of a request.
type Request struct {
	Service string
	// Model and Adapter are empty for a plain service.
	Model, Adapter string
	PromptTokens   int
	OutputTokens   int
	// Pieces is the hash chain of the prompt's whole pieces, from Pieces.
	PrefixBlocks []uint64
	DataCentre   string
	// Role is the work asked for; empty for a plain service.
	Role Role
	// Excluded names are not tried again.
	Excluded []string
}

// Candidate is one backend server as the entry sees it.
type Candidate struct {
	Name       string
	DataCentre string
	Service    string
	Model      string
	// Adapters that are loaded.
	Adapters []string
	Role     Role
	// Admitting is false while the backend server drains, changes or is full.
	Admitting bool
	// Leaving: on its way out of the VM list.
	Leaving bool
	// SpillPrompt is the longest prompt, in tokens, that this decode engine
	// prefills; 0 means none.
	MaxSpilloverPrompt int
	// Load is the corrected load, from a Picture.
	Load Load
	// CachedPieces counts the request's leading pieces that are likely cached.
	CachedBlocks int
	// Weight is from the outlier detector; 0 means 1.
	Weight float64
}

// Load is what a backend server reports of itself, or that report corrected.
type Load struct {
	QueuedTokens  int
	RunningTokens int
	Running       int
	Queued        int
	Slots         int
	FreeKVBlocks  int `json:"FreePieces"`
	// PrefillRate and DecodeRate are tokens a second when busy with nothing else.
	PrefillRate, DecodeRate float64
}

// Decision is the outcome of a pick.
type Decision struct {
	Name string
	// Expected is the time to the first token, or to the answer's begin.
	ExpectedTTFT time.Duration
	// Wait is the part of Expected spent in the queue.
	QueueDelay time.Duration
	Reason     string
}

// Filter drops candidates that cannot take a request.
type Filter interface {
	Keep(r Request, c Candidate) bool
}

// Scorer adds to a candidate's expected time.
type Scorer interface {
	Score(r Request, c Candidate) time.Duration
}

// Picker chooses among scored candidates; there is at least one.
type Picker interface {
	Pick(rng *rand.Rand, scored []Scored) Scored
}

// Scored is a candidate with its expected time.
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
		Scorers: []Scorer{WaitScorer{}, PrefillScorer{}, DistanceScorer{}, WeightScorer{}},
		Picker:  TwoChoices{},
	}
}

var defaultProfile = DefaultProfile()

// Pick returns the backend server for r, or false if none can take it.
func Pick(rng *rand.Rand, r Request, candidates []Candidate) (Decision, bool) {
	return defaultProfile.Pick(rng, r, candidates)
}

// Pick returns the backend server for r, or false if none can take it.
func (p Profile) Pick(rng *rand.Rand, r Request, candidates []Candidate) (Decision, bool) {
	var scored []Scored
	for _, c := range candidates {
		if p.keeps(r, c) {
			scored = append(scored, Scored{Candidate: c, ExpectedTTFT: p.score(r, c)})
		}
	}
	if len(scored) == 0 {
		return Decision{}, false
	}
	return decision(r, p.Picker.Pick(rng, scored), len(scored)), true
}

func (p Profile) keeps(r Request, c Candidate) bool {
	for _, f := range p.Filters {
		if !f.Keep(r, c) {
			return false
		}
	}
	return true
}

func (p Profile) score(r Request, c Candidate) time.Duration {
	var expected time.Duration
	for _, s := range p.Scorers {
		expected += s.Score(r, c)
	}
	return expected
}
