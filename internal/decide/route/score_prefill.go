package route

import "time"

// PrefillScorer is the time to prefill what is not cached.
type PrefillScorer struct{}

// Score implements Scorer.
func (PrefillScorer) Score(r Request, c Candidate) time.Duration {
	if r.Role == Decode {
		return 0
	}
	return seconds(float64(uncached(r, c)), prefillRate(c.Load))
}

// uncached leaves at least one token: the last one is always computed.
func uncached(r Request, c Candidate) int {
	return max(1, r.PromptTokens-KVBlockTokens*c.CachedBlocks)
}
