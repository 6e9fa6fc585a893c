package kvmemory

import (
	"math"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
)

const (
	// rateHalfLife is the half-life of a placement's weight in the rates.
	rateHalfLife = time.Second
	// delayHalfLife is the half-life of a long announcement delay.
	delayHalfLife = 5 * time.Second
	// marginDeviations is by how many standard deviations the margin exceeds the mean of
	// the unknown tokens. With one, engines crashed in two of 36 simulated bursts.
	marginDeviations = 2
	// lostGain is the weight of one prefill in the fraction of lost placements, and maxLost
	// the largest fraction that is assumed.
	lostGain = 0.01
	maxLost  = 0.5
	// startTime is how long after the first announcement unknown prefills are assumed to
	// have been placed before.
	startTime = time.Second
	// holdingGain is the weight of one reservation in the mean holding time.
	holdingGain = 0.02
)

// Unannounced estimates how many tokens other gateways have placed that this one does not
// know of yet: what they place within the announcement delay.
type Unannounced struct {
	// tokens and squares are decayed sums of the placed tokens and their squares.
	tokens, squares float64
	// tokenSeconds is the same sum of the tokens times the time that their callers allow.
	tokenSeconds float64
	// delay is the longest recent announcement delay, decayed.
	delay     float64
	decayedAt time.Time
	// since is when the first one was observed.
	since time.Time
	// earlier is set if others had placed requests before.
	earlier bool
	// lost is the fraction of placements whose announcement did not arrive.
	lost float64
}

// Observe adds a placement by another gateway that was announced after a delay, and the
// time that its caller allows.
func (u *Unannounced) Observe(now time.Time, tokens int, delay, remaining time.Duration) {
	if u.since.IsZero() {
		u.since = now
	}
	u.decay(now)
	u.tokens += float64(tokens)
	u.squares += float64(tokens) * float64(tokens)
	u.tokenSeconds += float64(tokens) * max(0, remaining.Seconds())
	u.delay = max(u.delay, delay.Seconds())
}

func (u *Unannounced) decay(now time.Time) {
	if elapsed := now.Sub(u.decayedAt); elapsed > 0 {
		factor := predict.DecayFactor(elapsed, rateHalfLife)
		u.tokens *= factor
		u.squares *= factor
		u.tokenSeconds *= factor
		u.delay *= predict.DecayFactor(elapsed, delayHalfLife)
		u.decayedAt = now
	}
}

// Margin returns an upper limit for the unknown tokens at one engine: the mean and
// marginDeviations standard deviations of a compound Poisson process. It assumes that all
// gateways choose the same engine within the delay, since they all see the same room.
func (u *Unannounced) Margin(now time.Time) int {
	u.decay(now)
	perSecond := math.Ln2 / rateHalfLife.Seconds()
	mean := u.tokens * perSecond * u.delay
	return blocks(int(mean + marginDeviations*math.Sqrt(u.squares*perSecond*u.delay)))
}

// ObservePrefill records that another gateway announced the end of a prefill, whose
// placement is known or not. An unknown one soon after the start was placed before.
func (u *Unannounced) ObservePrefill(now time.Time, known bool) {
	if known {
		u.lost -= lostGain * u.lost
		return
	}
	if u.since.IsZero() || now.Sub(u.since) < startTime {
		u.earlier = true
		return
	}
	u.lost += lostGain * (1 - u.lost)
}

// Lost returns how many tokens lost placements are expected to hold for each known one.
func (u *Unannounced) Lost() float64 {
	lost := min(u.lost, maxLost)
	return lost / (1 - lost)
}

// Earlier returns the expected tokens of placements that were announced before this gateway
// started to listen and are still held: at the current rate, with exponentially distributed
// holding times, or those that callers allow while these are unknown.
//
// It guards against a gateway that starts in a burst and would place requests at engines
// that others have filled. It returns 0 if the other gateways started at the same time.
func (u *Unannounced) Earlier(now time.Time, h *HoldingTime) int {
	u.decay(now)
	if !u.earlier || u.tokens <= 0 {
		return 0
	}
	mean := h.mean()
	if mean <= 0 {
		mean = u.tokenSeconds / u.tokens
	}
	perSecond := u.tokens * math.Ln2 / rateHalfLife.Seconds()
	return int(perSecond * mean * math.Exp(-now.Sub(u.since).Seconds()/max(mean, 1e-9)))
}

// HoldingTime estimates how long reservations are held, weighted by their tokens: the time
// that all have been held so far, divided by the tokens that were released. Released ones
// alone would seem too short at first, since short answers end first.
type HoldingTime struct {
	// reserved is the sum of all reservations, tokenSeconds its integral over time, and
	// released the sum of the released ones. Both decay with each release.
	reserved     int
	tokenSeconds float64
	released     float64
	updatedAt    time.Time
}

func (h *HoldingTime) update(now time.Time) {
	if elapsed := now.Sub(h.updatedAt); elapsed > 0 {
		h.tokenSeconds += float64(h.reserved) * elapsed.Seconds()
		h.updatedAt = now
	}
}

// Reserve records that tokens are reserved.
func (h *HoldingTime) Reserve(now time.Time, tokens int) {
	h.update(now)
	h.reserved += tokens
}

// Release records that tokens are released.
func (h *HoldingTime) Release(now time.Time, tokens int) {
	h.update(now)
	h.reserved -= tokens
	h.released = (1 - holdingGain) * (h.released + float64(tokens))
	h.tokenSeconds *= 1 - holdingGain
}

// Until returns when an engine is expected to have released some tokens, given how many
// are reserved there; false if that is unknown.
func (h *HoldingTime) Until(missing, reserved int) (time.Duration, bool) {
	if h.mean() <= 0 || reserved <= 0 {
		return 0, false
	}
	seconds := h.mean() * float64(missing) / float64(reserved)
	return time.Duration(seconds * float64(time.Second)), true
}

// mean returns the mean holding time in seconds, 0 if it is unknown.
func (h *HoldingTime) mean() float64 {
	if h.released <= 0 {
		return 0
	}
	return h.tokenSeconds / h.released
}

// PriorityClasses is the number of route priorities that are distinguished; less urgent
// ones count as the last.
const PriorityClasses = 8

// remainingGain is the weight of one request in the mean remaining time.
const remainingGain = 0.02

// PriorityClass returns the class of a route priority.
func PriorityClass(priority int) int { return min(max(0, priority), PriorityClasses-1) }

// Claims compares the claims of requests to the last part of an engine's memory.
type Claims struct {
	// demanded are the decayed sums of the demanded tokens by priority.
	demanded  [PriorityClasses]float64
	decayedAt time.Time
	// meanRemaining is the mean remaining time of requests, in seconds.
	meanRemaining float64
}

// Observe adds a request and returns which fraction of the last part of the memory is kept
// for requests with a better claim: the demand's share of those with a more urgent
// priority and, within a priority, of those with less time left.
func (c *Claims) Observe(now time.Time, priority, tokens int, remaining time.Duration) float64 {
	if elapsed := now.Sub(c.decayedAt); elapsed > 0 {
		factor := predict.DecayFactor(elapsed, delayHalfLife)
		for i := range c.demanded {
			c.demanded[i] *= factor
		}
		c.decayedAt = now
	}
	class := PriorityClass(priority)
	c.demanded[class] += float64(max(1, tokens))
	left := max(0, remaining.Seconds())
	if c.meanRemaining == 0 {
		c.meanRemaining = left
	}
	c.meanRemaining += remainingGain * (left - c.meanRemaining)
	before, total := 0.0, 0.0
	for i, demanded := range c.demanded {
		if i < class {
			before += demanded
		}
		total += demanded
	}
	laterShare := left / max(1e-9, left+c.meanRemaining)
	return (before + laterShare*c.demanded[class]) / total
}
