package loadplay

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which every simulation starts.
var epoch = time.Unix(1_000_000_000, 0).UTC()

// clock is a virtual clock with its scheduled events.
type clock struct {
	now          time.Time
	lastSequence int
	events       eventHeap
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

// after schedules run at d from now. Events of equal time run in the order in
// which they were scheduled.
func (c *clock) after(d time.Duration, run func()) {
	c.lastSequence++
	heap.Push(&c.events, event{at: c.now.Add(d), sequence: c.lastSequence, run: run})
}

// every calls run once per period until the simulation ends.
func (c *clock) every(period time.Duration, run func()) {
	c.after(period, func() {
		run()
		c.every(period, run)
	})
}

// advance runs the events due up to the given time and moves the clock there.
func (c *clock) advance(to time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(to) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = to
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
