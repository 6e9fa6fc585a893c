package loadplay

import (
	"container/heap"
	"time"
)

// work is what a request needs at least, in engine-seconds: each prompt piece
// that anyone sent before is cached, and decode batches are always full.
type work struct{ prefill, decode float64 }

func (w work) total() float64 { return w.prefill + w.decode }

// ideal returns the least work of each request of the trace.
func ideal(trace []Request) []work {
	seen := make(map[uint64]bool)
	works := make([]work, len(trace))
	for i, r := range trace {
		if r.Service == Lookups {
			continue
		}
		cached := 0
		for cached < len(r.Pieces) && seen[r.Pieces[cached]] {
			cached++
		}
		for _, p := range r.Pieces {
			seen[p] = true
		}
		works[i] = work{
			prefill: float64(r.Prompt-cached*pieceTokens) / prefillRate,
			decode:  float64(r.Output) / decodeRate,
		}
	}
	return works
}

// Bound is the most work, in engine-seconds, that any planner could finish in
// time: all engines serve both kinds of work at full speed, roles change in no
// time, caches hold everything, and a request may be served by all engines at
// once or in part. For each slice of time the work with the earliest deadline
// goes first; by Glover's theorem on convex bipartite graphs that serves the
// most work before its deadlines.
func Bound(d Deployment, s Scenario, trace []Request) float64 {
	works := ideal(trace)
	var waiting deadlineHeap
	next := 0
	total := 0.0
	for t := time.Duration(0); t < s.Length+time.Minute; t += boundSlice {
		for next < len(trace) && trace[next].At < t+boundSlice {
			r := trace[next]
			heap.Push(&waiting, &piece{deadline: r.At + r.Budget, left: works[next].total()})
			next++
		}
		total += serve(&waiting, t, capacity(d, s, t)*boundSlice.Seconds())
	}
	return total
}

const boundSlice = 100 * time.Millisecond

// serve spends the engine-seconds of one slice.
func serve(waiting *deadlineHeap, t time.Duration, room float64) float64 {
	served := 0.0
	for len(*waiting) > 0 && room > 0 {
		head := (*waiting)[0]
		if head.deadline <= t || head.left <= 0 {
			heap.Pop(waiting)
			continue
		}
		part := min(room, head.left)
		head.left -= part
		room -= part
		served += part
	}
	return served
}

// capacity is the engines of the fleet, less what slow ones lack.
func capacity(d Deployment, s Scenario, t time.Duration) float64 {
	engines := float64(d.Engines)
	for _, f := range s.Faults {
		if f.Slow > 0 && t >= f.From && t < f.To {
			engines -= float64(f.Engines) * (1 - f.Slow)
		}
	}
	return engines
}

type piece struct {
	deadline time.Duration
	left     float64
}

type deadlineHeap []*piece

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(*piece)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
