package admit

// DrainRate is the cost tokens a second that a fleet of split roles finishes
// for a mix of work: the role that the mix needs more sets the pace. The rates
// are those of all engines of a role together; prompt and output describe the
// mix, in tokens of any common unit of requests; an output token costs
// outputCost prompt tokens.
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
