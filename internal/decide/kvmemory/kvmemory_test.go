package kvmemory_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/kvmemory"
	"pistachioroad.dev/pistachioroad/internal/request"
)

var start = time.Unix(1_000_000_000, 0)

// Guards against counting segments as shared whose KV cache differs: after another prefix,
// or with another stated length.
func TestSegmentsAreSharedWithTheirPrefix(t *testing.T) {
	RegisterTestingT(t)
	demand := func(segments ...request.Segment) kvmemory.Demand {
		p := request.Prompt{Segments: append(segments, request.Segment{ID: 99, Tokens: 16})}
		for _, s := range p.Segments {
			p.Tokens += s.Tokens
		}
		return kvmemory.NewDemand(p, p.Tokens, 0)
	}
	a, b := request.Segment{ID: 1, Tokens: 160}, request.Segment{ID: 2, Tokens: 320}
	var m kvmemory.Memory
	m.Reserve(demand(a, b))
	Expect(m.Added(demand(a, b))).To(Equal(16))
	Expect(m.Added(demand(a))).To(Equal(16))
	Expect(m.Added(demand(b))).To(Equal(336))
	Expect(m.Added(demand(request.Segment{ID: 1, Tokens: 161}))).To(Equal(192))
	m.Release(demand(a, b))
	Expect(m.Reserved()).To(BeZero())
}

// Guards against less urgent requests that take the last memory, and, within a priority,
// those with more time left.
func TestClaimsFollowPriorityThenTimeLeft(t *testing.T) {
	RegisterTestingT(t)
	var c kvmemory.Claims
	for range 500 {
		for priority := range 3 {
			c.Observe(start, priority, 10_000, 5*time.Second)
		}
	}
	last := -1.0
	for priority := range 3 {
		for _, left := range []time.Duration{0, time.Second, 10 * time.Second} {
			kept := c.Observe(start, priority, 10_000, left)
			Expect(kept).To(BeNumerically(">", last))
			last = kept
		}
	}
	Expect(last).To(BeNumerically("<", 1))
}

// Guards against margins that do not follow the announcement delay, and that remain after
// the other gateways have stopped.
func TestMarginFollowsRateAndDelay(t *testing.T) {
	RegisterTestingT(t)
	margin := func(delay time.Duration) (busy, idle int) {
		var u kvmemory.Unannounced
		for ms := range 10_000 {
			u.Observe(start.Add(time.Duration(ms)*time.Millisecond), 100, delay, time.Second)
		}
		return u.Margin(start.Add(10 * time.Second)), u.Margin(start.Add(time.Minute))
	}
	// 100,000 tokens a second in requests of 100: 1,000 within 10 ms, and twice their
	// standard deviation of 316.
	busy, idle := margin(10 * time.Millisecond)
	Expect(busy).To(BeNumerically("~", 1_632, 32))
	Expect(idle).To(BeZero())
	late, _ := margin(100 * time.Millisecond)
	Expect(late).To(BeNumerically("~", 12_000, 100))
}

// Guards against a Retry-After from the first answers that end, which are the short ones.
func TestHoldingTimeCountsReservationsThatAreStillHeld(t *testing.T) {
	RegisterTestingT(t)
	var h kvmemory.HoldingTime
	_, known := h.Until(1, 1)
	Expect(known).To(BeFalse())
	for range 10 {
		h.Reserve(start, 100)
	}
	h.Release(start.Add(time.Second), 100)
	until, known := h.Until(100, 900)
	Expect(known).To(BeTrue())
	Expect(until.Seconds()).To(BeNumerically("~", 10.0/9, 0.05))
}
