package place

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/fairshare"
)

const (
	// maxLateQueueFraction is the fraction of the remaining time for which a prompt
	// that can no longer meet its objective may queue: it makes those behind it late.
	maxLateQueueFraction = 0.03
	// admitObjectiveFraction is the fraction of the objective within which the first
	// token must be expected. In saturation the last prompt admitted is expected just
	// in time; with the full objective, half of those would be late by chance.
	admitObjectiveFraction = 0.85
	// rejectionRateGain is the EWMA weight of a new outcome in the rejection rate: the
	// last twenty requests count, a second or less under load.
	rejectionRateGain = 0.05
	// sustainedRejectionRate is the rejection rate from which a burst counts as
	// sustained.
	sustainedRejectionRate = 0.3
	// maxLateTTFTFraction is the fraction of the remaining time that a late first token
	// may take. The rest is for the answer itself: a longer prompt would be prefilled
	// for an answer that its deadline cuts off.
	maxLateTTFTFraction = 0.6
	// maxMissProbability is the probability of missing the deadline above which a
	// request is rejected.
	maxMissProbability = 0.97
	// minRetryAfter and maxRetryFraction bound the Retry-After of a rejected caller:
	// callers wait for at most a third of their remaining time before they retry.
	minRetryAfter    = 100 * time.Millisecond
	maxRetryFraction = 1.0 / 3
)

// Priorities of prompts at an engine, most urgent first.
const (
	// DecodePriority is for prompts that another engine has prefilled. They need a
	// decode step and no prefill, and must not queue behind the prompts that their
	// engine prefills itself.
	DecodePriority = 1
	// OnTimePriority is for prompts that can meet their objective.
	OnTimePriority = 4
	// LatePriority is for prompts that can no longer meet it: they get the capacity
	// that the others leave.
	LatePriority = 7
)

// Constraints are the time limits of a request.
type Constraints struct {
	// Objective is the time until the first token is late, Remaining the time until the
	// caller times out.
	Objective, Remaining time.Duration
	// Committed is set if the request may have run, or if its caller has received some
	// of the answer: it is not rejected for an expected deadline miss.
	Committed bool
}

// Admission is the outcome of admission control for a request.
type Admission struct {
	Admit bool
	// Priority is its priority at the engines.
	Priority int
	// RetryAfter is when a rejected caller may retry.
	RetryAfter time.Duration
	// BySize is set if it is admitted because prompts of its length were admitted too
	// rarely.
	BySize bool
	// OverShare is set if it is rejected because its client account is above its share, with
	// the Standing of the account.
	OverShare bool
	Standing  fairshare.Standing
	// Memory says why it is rejected for want of KV memory, and LongRoom that small
	// requests begin to leave room for prompts of its length.
	Memory   MemoryShortage
	LongRoom bool
}

// admit decides whether a planned request is admitted.
//
// It guards against overload, also after the loss of engines or of the estimates of
// their caches. If every prompt were admitted, all would queue behind each other and be
// prefilled for callers that have timed out by then. Symptom: engines prefill at full
// speed while no answer is in time, and this continues after the cause is gone.
func admit(p Plan, c Constraints, rejectionRate float64) Admission {
	if p.willMissDeadline(c) {
		return Admission{RetryAfter: MaxRetryAfter(c.Remaining)}
	}
	expected := p.ExpectedTTFT()
	if expected <= scale(admitObjectiveFraction, c.Objective) || !p.Calibrated {
		return Admission{Admit: true, Priority: OnTimePriority}
	}
	if p.QueueDelay+p.PrefillLag <= scale(maxLateQueueFraction, c.Remaining) && p.canFinishInTime(c) {
		return Admission{Admit: true, Priority: latePriority(p)}
	}
	return Admission{RetryAfter: max(minRetryAfter, retryAfter(expected-max(0, c.Objective), c, rejectionRate))}
}

// willMissDeadline reports whether the request is to be rejected because its answer
// would almost certainly miss its deadline.
func (p Plan) willMissDeadline(c Constraints) bool {
	return p.MissProbability > maxMissProbability && !c.Committed
}

// canFinishInTime reports whether a late first token leaves time for the answer.
func (p Plan) canFinishInTime(c Constraints) bool {
	return !p.willMissDeadline(c) && p.ExpectedTTFT() <= scale(maxLateTTFTFraction, c.Remaining)
}

// latePriority returns the priority of a prompt that cannot meet its objective. A short
// one is not put behind the others: it costs them little, and in a burst, when engines
// always have more urgent prompts, it would wait until its caller times out.
func latePriority(p Plan) int {
	if p.ShortPrefill {
		return OnTimePriority
	}
	return LatePriority
}

// retryAfter returns when a rejected caller may retry.
//
// While few are rejected, a queue is slightly too long for a moment, and a caller that
// retries as soon as it is shorter can still be in time. While many are, the burst
// lasts for seconds, and callers that retry within it are rejected again, for good.
// Their retry is delayed from earliest up to MaxRetryAfter.
func retryAfter(earliest time.Duration, c Constraints, rejectionRate float64) time.Duration {
	latest := MaxRetryAfter(c.Remaining)
	earliest = min(earliest, latest)
	sustained := rejectionRate / sustainedRejectionRate
	return earliest + scale(min(1, sustained*sustained), latest-earliest)
}

// MaxRetryAfter returns the longest retry delay for a rejected caller with this much
// time remaining.
func MaxRetryAfter(remaining time.Duration) time.Duration { return scale(maxRetryFraction, remaining) }

func scale(factor float64, d time.Duration) time.Duration {
	return time.Duration(factor * float64(d))
}
