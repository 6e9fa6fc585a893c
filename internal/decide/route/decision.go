package route

import (
	"fmt"
	"time"
)

func newDecision(r Request, s Scored, eligible int) Decision {
	queueDelay := QueueDelayScorer{}.Score(r, s.Candidate)
	return Decision{
		Name:         s.Name,
		ExpectedTTFT: s.ExpectedTTFT,
		QueueDelay:   queueDelay,
		Reason: fmt.Sprintf("expected %s: wait %s, %d of %d pieces cached, weight %.2f, best of %d",
			s.ExpectedTTFT.Round(time.Millisecond), queueDelay.Round(time.Millisecond),
			s.CachedBlocks, len(r.PrefixBlocks), weight(s.Candidate), eligible),
	}
}
