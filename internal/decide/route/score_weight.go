package route

import "time"

// WeightScorer makes a backend server of low weight look slower in proportion:
// at half the weight, its wait and prefill count twice.
type WeightScorer struct{}

// Score implements Scorer.
func (WeightScorer) Score(r Request, c Candidate) time.Duration {
	w := weight(c)
	if w >= 1 {
		return 0
	}
	base := WaitScorer{}.Score(r, c) + PrefillScorer{}.Score(r, c) + weightFloor
	return time.Duration(float64(base) * (1/w - 1))
}

// weightFloor lets the weight count also at an empty queue.
const weightFloor = 50 * time.Millisecond

func weight(c Candidate) float64 {
	if c.Weight <= 0 || c.Weight > 1 {
		return 1
	}
	return c.Weight
}
