package route

import (
	"fmt"
	"time"
)

func decision(r Request, s Scored, kept int) Decision {
	wait := WaitScorer{}.Score(r, s.Candidate)
	return Decision{
		Name:         s.Name,
		ExpectedTTFT: s.ExpectedTTFT,
		QueueDelay:   wait,
		Reason: fmt.Sprintf("expected %s: wait %s, %d of %d pieces cached, weight %.2f, best of %d",
			s.ExpectedTTFT.Round(time.Millisecond), wait.Round(time.Millisecond),
			s.CachedBlocks, len(r.PrefixBlocks), weight(s.Candidate), kept),
	}
}
