package admit

// DrainRate returns the rate, in cost tokens per second, at which a fleet with separate
// prefill and decode roles completes a mix of work: the bottleneck role determines it. The
// rates are totals over all engines of a role. prompt and output are the tokens of the mix,
// over any common number of requests; an output token costs outputCost prompt tokens.
func DrainRate(prefillRate, decodeRate, prompt, output, outputCost float64) float64 {
	seconds := 0.0
	if prompt > 0 {
		seconds = prompt / max(1, prefillRate)
	}
	if output > 0 {
		seconds = max(seconds, output/max(1, decodeRate))
	}
	if seconds <= 0 {
		return prefillRate + outputCost*decodeRate
	}
	return (prompt + outputCost*output) / seconds
}
