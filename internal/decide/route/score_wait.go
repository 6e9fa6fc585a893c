package route

import "time"

// WaitScorer is the expected time in the queue: the uncached prompt tokens
// ahead for a prefill, the slots that must come free for a decode.
type WaitScorer struct{}

// Score implements Scorer.
func (WaitScorer) Score(r Request, c Candidate) time.Duration {
	if r.Role == Decode {
		return slotWait(c.Load)
	}
	return seconds(float64(c.Load.QueuedTokens), prefillRate(c.Load))
}

const (
	// defaultPrefillRate stands in until the first report.
	defaultPrefillRate = 8_000.0
	// typicalStream is how long one stream holds a slot, until measured.
	typicalStream = 5 * time.Second
)

// slotWait grows with the batch, which slows each of its streams, and steeply
// once no slot is free.
func slotWait(l Load) time.Duration {
	if l.Slots <= 0 {
		return 0
	}
	inUse := float64(l.Running+l.Queued) / float64(l.Slots)
	wait := time.Duration(inUse * float64(batchDelay))
	if inUse > 1 {
		wait += time.Duration((inUse - 1) * float64(typicalStream))
	}
	return wait
}

// batchDelay is what a full batch adds to the first token of one more stream.
const batchDelay = 200 * time.Millisecond

func prefillRate(l Load) float64 {
	if l.PrefillRate <= 0 {
		return defaultPrefillRate
	}
	return l.PrefillRate
}

func seconds(tokens, rate float64) time.Duration {
	return time.Duration(tokens / rate * float64(time.Second))
}
