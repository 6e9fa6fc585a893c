package route

import "time"

// farPenalty is the cost of another data centre: a few round trips, and KV
// cache that crosses the network between them.
const farPenalty = 20 * time.Millisecond

// DistanceScorer prefers the request's own data centre. It decides between
// near-equals only: half a millisecond of distance outweighs no queue.
type DistanceScorer struct{}

// Score implements Scorer.
func (DistanceScorer) Score(r Request, c Candidate) time.Duration {
	if r.DataCentre == "" || r.DataCentre == c.DataCentre {
		return 0
	}
	return farPenalty
}
