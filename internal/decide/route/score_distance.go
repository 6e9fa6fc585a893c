package route

import "time"

// crossDataCentrePenalty is the cost of using another data centre: a few round
// trips, and KV transfer over the network between the data centres.
const crossDataCentrePenalty = 20 * time.Millisecond

// DistanceScorer prefers the data centre of the request. It only decides between
// candidates of nearly equal cost: the network latency between data centres, half
// a millisecond, does not justify queueing.
type DistanceScorer struct{}

// Score implements Scorer.
func (DistanceScorer) Score(r Request, c Candidate) time.Duration {
	if r.DataCentre == "" || r.DataCentre == c.DataCentre {
		return 0
	}
	return crossDataCentrePenalty
}
