package loadplay

import (
	"container/heap"
	"time"
)

// work is the least work of a request in engine-seconds, if every KV block of an
// earlier prompt is cached and decode batches are always full.
type work struct{ prefill, decode float64 }

func (w work) total() float64 { return w.prefill + w.decode }

// minimumWork returns the least work of each request of the trace.
func minimumWork(trace []Request) []work {
	seen := make(map[uint64]bool)
	works := make([]work, len(trace))
	for i, r := range trace {
		if r.Service == Lookups {
			continue
		}
		cached := 0
		for cached < len(r.PrefixBlocks) && seen[r.PrefixBlocks[cached]] {
			cached++
		}
		for _, block := range r.PrefixBlocks {
			seen[block] = true
		}
		works[i] = work{
			prefill: float64(r.PromptTokens-cached*kvBlockTokens) / prefillRate,
			decode:  float64(r.OutputTokens) / decodeRate,
		}
	}
	return works
}

// WorkBound returns an upper bound on the work, in engine-seconds, that any
// planner can finish in time. It assumes that all engines do both kinds of work
// at full speed, roles change instantly, caches hold everything, and a request
// may run on all engines concurrently or in part. Each time slice serves the
// earliest deadline first; by Glover's theorem on convex bipartite graphs this
// serves the most work before its deadlines.
func WorkBound(d Deployment, s Scenario, trace []Request) float64 {
	works := minimumWork(trace)
	var waiting deadlineHeap
	next := 0
	total := 0.0
	for t := time.Duration(0); t < s.Duration+time.Minute; t += boundSlice {
		for next < len(trace) && trace[next].At < t+boundSlice {
			r := trace[next]
			heap.Push(&waiting, &pendingWork{deadline: r.At + r.Budget, remaining: works[next].total()})
			next++
		}
		total += spendCapacity(&waiting, t, engineCapacity(d, s, t)*boundSlice.Seconds())
	}
	return total
}

const boundSlice = 100 * time.Millisecond

// spendCapacity serves the work of one slice with the given engine-seconds, and
// returns the engine-seconds used.
func spendCapacity(waiting *deadlineHeap, t time.Duration, room float64) float64 {
	served := 0.0
	for len(*waiting) > 0 && room > 0 {
		head := (*waiting)[0]
		if head.deadline <= t || head.remaining <= 0 {
			heap.Pop(waiting)
			continue
		}
		part := min(room, head.remaining)
		head.remaining -= part
		room -= part
		served += part
	}
	return served
}

// engineCapacity returns the number of engines, a slow engine counted as the
// fraction of its speed.
func engineCapacity(d Deployment, s Scenario, t time.Duration) float64 {
	engines := float64(d.Engines)
	for _, f := range s.Faults {
		if f.SlowSpeed > 0 && t >= f.From && t < f.To {
			engines -= float64(f.Engines) * (1 - f.SlowSpeed)
		}
	}
	return engines
}

type pendingWork struct {
	deadline  time.Duration
	remaining float64
}

type deadlineHeap []*pendingWork

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(*pendingWork)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
