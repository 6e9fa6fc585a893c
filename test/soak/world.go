// Package soak runs the real state machines of entries, sidecars, claims,
// orders and the planner together in virtual time, under random faults, and
// checks what must always hold.
//
// Only the edges are fakes: the network, the store, the plain service and the
// engine. One seed gives one run, event for event.
package soak

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// world is the virtual time of one run.
type world struct {
	now    time.Time
	rng    *rand.Rand
	queue  eventQueue
	number uint64
	trace  []string
	profile
	// calm begins when the faults end.
	calm bool
	// frameFaults switches faults of single frames on.
	frameFaults bool
	connsOf     func(*sidecar) []*conn
	leaving     map[string]bool
	// runs counts the runs of each request, keyRuns those of each key; notRun
	// holds the requests whose callers were told so.
	runs    map[uuid.UUID]int
	keyRuns map[string]int
	notRun  map[uuid.UUID]bool
	edits   map[string]sharedstate.Outcome
	Report
}

// traceSize is how many of the last events a breach shows.
const traceSize = 60

func newWorld(seed uint64) *world {
	w := &world{
		now: time.Unix(1_000_000, 0),
		rng: rand.New(rand.NewPCG(seed, 0x50a1)),

		leaving: map[string]bool{},
		runs:    map[uuid.UUID]int{},
		keyRuns: map[string]int{},
		notRun:  map[uuid.UUID]bool{},
		edits:   map[string]sharedstate.Outcome{},
		Report: Report{
			Seed:     seed,
			Faults:   map[string]int{},
			Verdicts: map[string]int{},
			Outcomes: map[string]int{},
		},
	}
	w.profile = w.newProfile()
	return w
}

// scheduled is one event to come.
type scheduled struct {
	at     time.Time
	number uint64
	run    func()
}

type eventQueue []scheduled

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].number < q[j].number
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduled)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// after runs f once d has passed.
func (w *world) after(d time.Duration, f func()) {
	w.number++
	heap.Push(&w.queue, scheduled{at: w.now.Add(max(0, d)), number: w.number, run: f})
}

// runUntil passes time up to end.
func (w *world) runUntil(end time.Time) {
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(scheduled)
		w.now = next.at
		w.Steps++
		next.run()
	}
	w.now = end
}

// between returns a random duration.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)+1))
}

func (w *world) chance(share float64) bool { return w.rng.Float64() < share }

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, w.now.Format("05.000 ")+fmt.Sprintf(format, args...))
	if len(w.trace) > traceSize {
		w.trace = w.trace[1:]
	}
}

// breach is the panic value of a promise that was broken.
type breach struct {
	promise string
	detail  string
}

func (b breach) Error() string { return b.promise + ": " + b.detail }

// promise checks one thing that must always hold.
func (w *world) promise(ok bool, name, format string, args ...any) {
	w.Checks++
	if !ok {
		panic(breach{promise: name, detail: fmt.Sprintf(format, args...)})
	}
}

// node is a process that can be killed and paused.
type node struct {
	name        string
	up          bool
	incarnation int
	resumes     time.Time
}

// id returns the name of this start of the process.
func (n *node) id() string { return fmt.Sprintf("%s#%d", n.name, n.incarnation) }

// on runs f in the node after d: later if it is paused then, and not at all if
// it has ended by then.
func (w *world) on(n *node, d time.Duration, f func()) {
	incarnation := n.incarnation
	var run func()
	run = func() {
		if !n.up || n.incarnation != incarnation {
			return
		}
		if w.now.Before(n.resumes) {
			w.after(n.resumes.Sub(w.now), run)
			return
		}
		f()
	}
	w.after(d, run)
}
