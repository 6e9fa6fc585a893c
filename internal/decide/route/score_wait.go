package route

import "time"

// WaitScorer is the expected time in the queue: the uncached prompt tokens
// ahead for a prefill, the slots that must come free for a decode.
type WaitScorer struct{}

// Score implements Scorer.
func (WaitScorer) Score(r Request, c Candidate) time.Duration {
	if r.Role == Decode {
		return slotWait(r, c.Load)
	}
	return seconds(float64(c.Load.QueuedTokens), prefillRate(c.Load))
}

const (
	// defaultPrefillRate and defaultDecodeRate stand in until the first report.
	defaultPrefillRate = 8_000.0
	defaultDecodeRate  = 2_000.0
	// outputPart is the part of the tokens asked for that answers usually take.
	outputPart = 0.75
	// batchDelay is what a full batch adds to the first token of one more
	// stream.
	batchDelay = 200 * time.Millisecond
)

// slotWait grows with the batch, which slows each of its streams, and once no
// slot is free, by the time until enough streams have ended: those ahead are
// taken to be as long as the request's own.
func slotWait(r Request, l Load) time.Duration {
	if l.Slots <= 0 {
		return 0
	}
	inUse := float64(l.Running+l.Queued) / float64(l.Slots)
	wait := time.Duration(min(1, inUse) * float64(batchDelay))
	if inUse > 1 {
		ahead := (inUse - 1) * float64(l.Slots) * outputPart * float64(r.OutputTokens)
		wait += seconds(ahead, decodeRate(l))
	}
	return wait
}

func decodeRate(l Load) float64 {
	if l.DecodeRate <= 0 {
		return defaultDecodeRate
	}
	return l.DecodeRate
}

func prefillRate(l Load) float64 {
	if l.PrefillRate <= 0 {
		return defaultPrefillRate
	}
	return l.PrefillRate
}

func seconds(tokens, rate float64) time.Duration {
	return time.Duration(tokens / rate * float64(time.Second))
}
