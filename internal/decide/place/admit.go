package place

import "time"

const (
	// lateWaitPart is the part of the time left for which a prompt that cannot be
	// in time any more may wait: it makes those after it late.
	lateWaitPart = 0.03
	// inTimePart is the part of the objective within which a first token must be
	// expected. In saturation the last one let in is just in time by expectation,
	// and half of those would be late by chance.
	inTimePart = 0.85
	// refusalGain is the part of a new outcome that the share of refusals takes
	// on: the last twenty requests count, a second or less under load.
	refusalGain = 0.05
	// lastingRefusals is the share of refused requests from which a burst counts as
	// one that lasts.
	lastingRefusals = 0.3
	// latePart is the part of the time left that a late first token may take.
	// The rest is for the stream itself: a longer prompt would be read for an
	// answer that its deadline cuts.
	latePart = 0.6
	// hopelessMiss is the chance of missing the deadline above which an answer is refused.
	hopelessMiss = 0.97
	// leastRetryAfter and maxRetryPart bound what a refused caller is told:
	// callers keep to a third of the time that they have left.
	leastRetryAfter = 100 * time.Millisecond
	maxRetryPart    = 1.0 / 3
)

// The priorities of prompts at an engine, most urgent first.
const (
	// GeneratePriority is for prompts that another engine has read. They need a
	// step and no reading, and must not wait behind the prompts that their engine
	// reads itself.
	DecodePriority = 1
	// OnTimePriority is for prompts that can meet their objective.
	OnTimePriority = 4
	// LatePriority is for those that cannot any more: they take what the others
	// leave.
	LatePriority = 7
)

// Urgency is what a caller still expects.
type Constraints struct {
	// Objective is the time left until the first token is late, Left until the
	// caller gives up.
	Objective, Remaining time.Duration
	// Committed says that the request may have run, or that its caller has a part of
	// the answer: it is not refused as one that cannot end in time.
	Committed bool
}

// Admission is whether a request is let in.
type Admission struct {
	Admit bool
	// Priority orders it at the engines.
	Priority int
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
	// BySize says that it is let in because prompts of its length were too seldom.
	BySize bool
}

// admit decides whether a planned request is let in.
//
// It answers saturation, and a fleet that has lost engines or the knowledge of
// their caches. Were every prompt let in, all would wait behind each other, each
// be read for a caller who has left by then, and the fleet be busy with work
// that is worth nothing; one notices by engines that read at full speed while
// no answer is in time, and it does not end when the cause does.
func admit(p Plan, u Constraints, refusals float64) Admission {
	if p.hopeless(u) {
		return Admission{RetryAfter: MaxRetryAfter(u.Remaining)}
	}
	expected := p.ExpectedTTFT()
	if expected <= part(inTimePart, u.Objective) || !p.Calibrated {
		return Admission{Admit: true, Priority: OnTimePriority}
	}
	if p.QueueDelay+p.PrefillLag <= part(lateWaitPart, u.Remaining) && p.canEnd(u) {
		return Admission{Admit: true, Priority: latePriority(p)}
	}
	return Admission{RetryAfter: max(leastRetryAfter, comeBack(expected, u, refusals))}
}

// hopeless reports whether the answer would miss its deadline.
func (p Plan) hopeless(u Constraints) bool { return p.MissProbability > hopelessMiss && !u.Committed }

// canEnd reports whether a late first token leaves time for the answer.
func (p Plan) canEnd(u Constraints) bool {
	return !p.hopeless(u) && p.ExpectedTTFT() <= part(latePart, u.Remaining)
}

// latePriority is the priority of a prompt that cannot be in time. A short one does
// not go behind the others: it costs them next to nothing, and in a burst, in which
// engines always have something more urgent to read, it would wait until its caller
// leaves.
func latePriority(p Plan) int {
	if p.Short {
		return OnTimePriority
	}
	return LatePriority
}

// comeBack is when a refused caller may return.
//
// While few are refused, a queue is a little too long for a moment, and a caller
// who returns as soon as it is shorter can still be in time. While many are, the
// burst lasts for seconds: callers who return within it are refused once more,
// and for good. They are told to come as late as they would.
func comeBack(expected time.Duration, u Constraints, refusals float64) time.Duration {
	latest := MaxRetryAfter(u.Remaining)
	soon := min(expected-max(0, u.Objective), latest)
	lasts := refusals / lastingRefusals
	return soon + part(min(1, lasts*lasts), latest-soon)
}

// LatestReturn is when a refused caller returns at the latest, by the time that it has
// left.
func MaxRetryAfter(left time.Duration) time.Duration { return part(maxRetryPart, left) }

func part(of float64, d time.Duration) time.Duration {
	return time.Duration(of * float64(d))
}
