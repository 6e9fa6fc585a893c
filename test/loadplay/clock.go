package loadplay

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which every play begins.
var epoch = time.Unix(1_000_000_000, 0).UTC()

// clock is virtual time with the events that are due.
type clock struct {
	now    time.Time
	serial int
	events eventHeap
}

type event struct {
	at     time.Time
	serial int
	run    func()
}

// after calls run once d has passed; events at the same time run in order.
func (c *clock) after(d time.Duration, run func()) {
	c.serial++
	heap.Push(&c.events, event{at: c.now.Add(d), serial: c.serial, run: run})
}

// every calls run each period, for as long as the play goes on.
func (c *clock) every(period time.Duration, run func()) {
	c.after(period, func() {
		run()
		c.every(period, run)
	})
}

// advance moves to the given time and runs what is due.
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
		return h[i].serial < h[j].serial
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
