package route

import "time"

// PrefillScorer scores the time to prefill the uncached prompt tokens.
type PrefillScorer struct{}

// Score implements Scorer.
func (PrefillScorer) Score(r Request, c Candidate) time.Duration {
	if r.Role == Decode {
		return 0
	}
	return durationAt(float64(uncached(r, c)), prefillRate(c.Load))
}

// uncached returns the number of prompt tokens to prefill. It is at least one, as
// the last token is always computed.
func uncached(r Request, c Candidate) int {
	return max(1, r.PromptTokens-KVBlockTokens*c.CachedBlocks)
}
