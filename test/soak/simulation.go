// Package soak runs the real state machines of entries, sidecars, claims, orders
// and the planner together in virtual time, under random faults, and checks
// their invariants.
//
// Only the network, the store, the plain service and the engine are simulated.
// Runs with equal seeds have equal events.
package soak

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// simulation is the virtual clock and the recorded state of one run.
type simulation struct {
	now          time.Time
	rng          *rand.Rand
	queue        eventQueue
	lastSequence uint64
	trace        []string
	loadProfile
	// faultsEnded is set at the end of the fault phase.
	faultsEnded bool
	// frameFaults enables faults of single frames.
	frameFaults bool
	connsOf     func(*sidecar) []*conn
	leaving     map[string]bool
	// runsByRequest and runsByKey count the runs at backend servers;
	// reportedNotRun holds the requests whose callers received not_run.
	runsByRequest  map[uuid.UUID]int
	runsByKey      map[string]int
	reportedNotRun map[uuid.UUID]bool
	editOutcomes   map[string]sharedstate.Outcome
	Report
}

// traceSize is the number of last events that are shown with a violation.
const traceSize = 60

func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		now: time.Unix(1_000_000, 0),
		rng: rand.New(rand.NewPCG(seed, 0x50a1)),

		leaving:        map[string]bool{},
		runsByRequest:  map[uuid.UUID]int{},
		runsByKey:      map[string]int{},
		reportedNotRun: map[uuid.UUID]bool{},
		editOutcomes:   map[string]sharedstate.Outcome{},
		Report: Report{
			Seed:     seed,
			Faults:   map[string]int{},
			Verdicts: map[string]int{},
			Outcomes: map[string]int{},
		},
	}
	sim.loadProfile = sim.newLoadProfile()
	return sim
}

// scheduled is a scheduled event.
type scheduled struct {
	at       time.Time
	sequence uint64
	run      func()
}

type eventQueue []scheduled

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
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

// after schedules f at d from now.
func (sim *simulation) after(d time.Duration, f func()) {
	sim.lastSequence++
	heap.Push(&sim.queue, scheduled{at: sim.now.Add(max(0, d)), sequence: sim.lastSequence, run: f})
}

// runUntil runs the events due up to end and moves the clock there.
func (sim *simulation) runUntil(end time.Time) {
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		next := heap.Pop(&sim.queue).(scheduled)
		sim.now = next.at
		sim.Steps++
		next.run()
	}
	sim.now = end
}

// randomDuration draws a duration between low and high.
func (sim *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.rng.Int64N(int64(high-low)+1))
}

func (sim *simulation) chance(share float64) bool { return sim.rng.Float64() < share }

func (sim *simulation) addTrace(format string, args ...any) {
	sim.trace = append(sim.trace, sim.now.Format("05.000 ")+fmt.Sprintf(format, args...))
	if len(sim.trace) > traceSize {
		sim.trace = sim.trace[1:]
	}
}

// violation is the panic value for a violated invariant.
type violation struct {
	invariant string
	detail    string
}

func (b violation) Error() string { return b.invariant + ": " + b.detail }

// checkInvariant panics with a violation unless ok.
func (sim *simulation) checkInvariant(ok bool, name, format string, args ...any) {
	sim.Checks++
	if !ok {
		panic(violation{invariant: name, detail: fmt.Sprintf(format, args...)})
	}
}

// process is a simulated process that can be killed and paused.
type process struct {
	name        string
	up          bool
	incarnation int
	pausedUntil time.Time
}

// startID identifies the current start of the process.
func (p *process) startID() string { return fmt.Sprintf("%s#%d", p.name, p.incarnation) }

// runOn schedules f in the process at d from now. While the process is paused, f
// is deferred; if it has ended or restarted, f is dropped.
func (sim *simulation) runOn(p *process, d time.Duration, f func()) {
	incarnation := p.incarnation
	var run func()
	run = func() {
		if !p.up || p.incarnation != incarnation {
			return
		}
		if sim.now.Before(p.pausedUntil) {
			sim.after(p.pausedUntil.Sub(sim.now), run)
			return
		}
		f()
	}
	sim.after(d, run)
}
