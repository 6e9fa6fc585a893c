// Package truetime estimates the true time from the clocks of all gateways.
//
// The time of day of a VM may be wrong by seconds and may jump. The estimate is an offset
// to the boot-time clock, which does not jump. Gateways that hear from all others take the
// median of all clocks, and the rest take the median of their estimates. Once the estimate
// is anchored, it changes by maxSlew at most, so that the jump of even half of the clocks
// moves it by milliseconds.
package truetime

import (
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// maxSlew is the maximum change of an anchored estimate, as a fraction of the time
	// that has passed. Clocks drift by a tenth of it.
	maxSlew = 0.001
	// sampleTime is how long a sample is used. The delay of a datagram makes the sender's
	// clock appear late, so that the sample with the least delay within this time counts.
	sampleTime = 5 * time.Second
	// anchorDelay is how long after its start a gateway waits for an estimate of others
	// before it relies on the median of the clocks.
	anchorDelay = 3 * time.Second
	// anchorClocks is the number of clocks whose median is relied on.
	anchorClocks = 2
	// aloneDelay is how long after its start a gateway waits for other clocks before it
	// relies on its own.
	aloneDelay = 10 * time.Second
	// logThreshold is the difference between the time of day of this VM and the estimate
	// above which it is logged.
	logThreshold = 500 * time.Millisecond
)

// sample is the largest offset of a clock to this VM's boot-time clock that was seen
// within sampleTime.
type sample struct {
	offset time.Duration
	at     time.Duration
}

// samples are the latest samples by sender.
type samples map[uint32]sample

func (s samples) add(sender uint32, offset, now time.Duration) {
	if old, ok := s[sender]; ok && now-old.at < sampleTime && old.offset >= offset {
		return
	}
	s[sender] = sample{offset: offset, at: now}
}

// recent returns the offsets of the samples that are still used, and drops the others.
func (s samples) recent(now time.Duration) []time.Duration {
	var offsets []time.Duration
	for sender, x := range s {
		if now-x.at > 2*sampleTime {
			delete(s, sender)
			continue
		}
		offsets = append(offsets, x.offset)
	}
	return offsets
}

// Estimator estimates the true time. It is safe for concurrent use. All times named now are
// boot-time clock readings, and all offsets are differences to them.
type Estimator struct {
	mu sync.Mutex
	// clocks are the times of day of other gateways, estimates their estimates.
	clocks, estimates samples
	startedAt         time.Duration
	updatedAt         time.Duration
	offset            time.Duration
	anchored          bool
	// stepLogged is set while the time of day of this VM differs from the estimate.
	stepLogged bool

	// anchor and anchorTime are a reading of the monotonic clock and the true time then.
	anchor, anchorTime time.Time
}

// New returns an Estimator that starts with the time of day of this VM. clock is the boot-time clock.
func New(now time.Duration, clock time.Time) *Estimator {
	e := &Estimator{clocks: samples{}, estimates: samples{}, startedAt: now, updatedAt: now, offset: offsetOf(clock, now)}
	e.setAnchor(now, clock)
	return e
}

func offsetOf(t time.Time, now time.Duration) time.Duration {
	return time.Duration(t.UnixNano()) - now
}

// ObserveClock records the time of day of another gateway, received now.
func (e *Estimator) ObserveClock(sender uint32, clock time.Time, now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clocks.add(sender, offsetOf(clock, now), now)
}

// ObserveEstimate records the anchored estimate of another gateway, received now.
func (e *Estimator) ObserveEstimate(sender uint32, estimate time.Time, now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.estimates.add(sender, offsetOf(estimate, now), now)
}

// Update corrects the estimate. clock is the time of day of this VM. It must be called
// several times a second.
func (e *Estimator) Update(now time.Duration, clock time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	target, anchors := e.target(now, clock)
	e.logStep(offsetOf(clock, now))
	if e.anchored {
		limit := time.Duration(maxSlew * float64(now-e.updatedAt))
		target = e.offset + min(max(target-e.offset, -limit), limit)
	}
	e.offset, e.updatedAt = target, now
	e.anchored = e.anchored || anchors
	e.setAnchor(now, clock)
}

// target returns the offset to approach, and whether it is reliable.
func (e *Estimator) target(now time.Duration, clock time.Time) (offset time.Duration, reliable bool) {
	clocks, estimates := e.clocks.recent(now), e.estimates.recent(now)
	switch {
	case !e.anchored && len(estimates) > 0:
		return median(estimates, e.offset), true
	case len(clocks)+1 >= anchorClocks:
		clocks = append(clocks, offsetOf(clock, now))
		return median(clocks, e.offset), now-e.startedAt >= anchorDelay
	case len(estimates) > 0:
		return median(estimates, e.offset), true
	case e.anchored:
		return e.offset, true
	default:
		return offsetOf(clock, now), now-e.startedAt >= aloneDelay
	}
}

// median returns the median of values. Of two values in the middle, it returns the one
// that is closer to current.
func median(values []time.Duration, current time.Duration) time.Duration {
	slices.Sort(values)
	low, high := values[(len(values)-1)/2], values[len(values)/2]
	if (current - low).Abs() <= (high - current).Abs() {
		return low
	}
	return high
}

// logStep logs when the time of day of this VM departs from the estimate, and when it is back.
func (e *Estimator) logStep(own time.Duration) {
	differs := e.anchored && (own-e.offset).Abs() > logThreshold
	if differs == e.stepLogged {
		return
	}
	e.stepLogged = differs
	log.WithField("difference_ms", (own-e.offset).Milliseconds()).WithField("differs", differs).
		Warn("time of day of this VM compared with those of the other gateways")
}

func (e *Estimator) setAnchor(now time.Duration, clock time.Time) {
	e.anchor, e.anchorTime = clock, time.Unix(0, int64(now+e.offset))
}

// At returns the estimate of the true time at a reading of time.Now.
func (e *Estimator) At(t time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.anchorTime.Add(t.Sub(e.anchor))
}

// Anchored returns the estimate at now; false if it is not reliable.
func (e *Estimator) Anchored(now time.Duration) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Unix(0, int64(now+e.offset)), e.anchored
}
