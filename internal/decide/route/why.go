package route

import (
	"fmt"
	"time"
)

func decision(r Request, s Scored, kept int) Decision {
	wait := WaitScorer{}.Score(r, s.Candidate)
	return Decision{
		Name:     s.Name,
		Expected: s.Expected,
		Wait:     wait,
		Why: fmt.Sprintf("expected %s: wait %s, %d of %d pieces cached, weight %.2f, best of %d",
			s.Expected.Round(time.Millisecond), wait.Round(time.Millisecond),
			s.CachedPieces, len(r.Pieces), weight(s.Candidate), kept),
	}
}
