package route

import "time"

// WeightScorer scales the queue delay and prefill time of a backend server by
// the inverse of its weight: at half the weight, they count twice.
type WeightScorer struct{}

// Score implements Scorer.
func (WeightScorer) Score(r Request, c Candidate) time.Duration {
	w := weight(c)
	if w >= 1 {
		return 0
	}
	base := QueueDelayScorer{}.Score(r, c) + PrefillScorer{}.Score(r, c) + minWeightBase
	return time.Duration(float64(base) * (1/w - 1))
}

// minWeightBase is added to the time that is scaled, so that the weight also
// has an effect while the queue is empty.
const minWeightBase = 50 * time.Millisecond

func weight(c Candidate) float64 {
	if c.Weight <= 0 || c.Weight > 1 {
		return 1
	}
	return c.Weight
}
