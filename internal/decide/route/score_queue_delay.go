package route

import "time"

// QueueDelayScorer scores the expected queue delay: for a prefill, the time to
// process the uncached prompt tokens ahead; for a decode, the time until a slot
// is free.
type QueueDelayScorer struct{}

// Score implements Scorer.
func (QueueDelayScorer) Score(r Request, c Candidate) time.Duration {
	if r.Role == Decode {
		return slotDelay(r, c.Load)
	}
	return durationAt(float64(c.Load.QueuedTokens), prefillRate(c.Load))
}

const (
	// defaultPrefillRate and defaultDecodeRate are used before the first report.
	defaultPrefillRate = 8_000.0
	defaultDecodeRate  = 2_000.0
	// outputFraction is the usual length of an answer relative to the requested
	// output tokens.
	outputFraction = 0.75
	// fullBatchDelay is how much a full batch delays the first token of an
	// additional stream.
	fullBatchDelay = 200 * time.Millisecond
)

// slotDelay returns the expected delay of a decode. It grows with the batch size,
// as a larger batch slows each stream. If no slot is free, it includes the time
// until enough streams have finished, assuming that they are as long as the
// request's own.
func slotDelay(r Request, l Load) time.Duration {
	if l.Slots <= 0 {
		return 0
	}
	inUse := float64(l.Running+l.Queued) / float64(l.Slots)
	delay := time.Duration(min(1, inUse) * float64(fullBatchDelay))
	if inUse > 1 {
		ahead := (inUse - 1) * float64(l.Slots) * outputFraction * float64(r.OutputTokens)
		delay += durationAt(ahead, decodeRate(l))
	}
	return delay
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

func durationAt(tokens, rate float64) time.Duration {
	return time.Duration(tokens / rate * float64(time.Second))
}
