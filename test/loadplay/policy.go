package loadplay

import (
	"math/rand/v2"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/queue"
	"pistachioroad.dev/pistachioroad/internal/decide/route"
)

// Policy is a way to decide. The plain ones differ from Ours in one decision
// each, so that a row shows what that decision is worth.
type Policy struct {
	Name string
	// Route is nil for the profile of the decision code.
	Route     func() route.Profile
	Admission bool
	// FirstIn queues are first in, first out, and keep what has expired.
	FirstIn bool
	Planner func(d Deployment, trace []Request) planner
	// Oracles are the futures that a planner that knows them may prepare for;
	// the best play counts.
	Oracles []func(d Deployment, trace []Request) planner
}

// The names of the policies that rows are compared with.
const (
	OursName   = "ours"
	OracleName = "oracle"
	EagerName  = "eager"
)

// Policies lists Ours first, then the planner that knows the future, then the
// plain alternatives.
var Policies = []Policy{
	{Name: OursName, Admission: true, Planner: newOurs},
	{Name: OracleName, Admission: true, Oracles: oracles()},
	{Name: EagerName, Admission: true, Planner: newEager},
	{Name: "fixed", Admission: true, Planner: newFixed},
	{Name: "round-robin", Admission: true, Planner: newOurs, Route: roundRobinProfile},
	{Name: "least-conn", Admission: true, Planner: newOurs, Route: leastConnectionsProfile},
	{Name: "no-admission", Planner: newOurs, FirstIn: true},
	{Name: "all-plain", FirstIn: true, Planner: newFixed, Route: leastConnectionsProfile},
}

func roundRobinProfile() route.Profile {
	p := route.DefaultProfile()
	p.Scorers = nil
	p.Picker = &roundRobin{}
	return p
}

// roundRobin takes the candidates in turn.
type roundRobin struct{ last int }

// Pick implements route.Picker.
func (r *roundRobin) Pick(_ *rand.Rand, scored []route.Scored) route.Scored {
	r.last++
	return scored[r.last%len(scored)]
}

func leastConnectionsProfile() route.Profile {
	p := route.DefaultProfile()
	p.Scorers = []route.Scorer{connections{}}
	p.Picker = least{}
	return p
}

// connections scores by the requests at a backend server, whatever their size.
type connections struct{}

// Score implements route.Scorer.
func (connections) Score(_ route.Request, c route.Candidate) time.Duration {
	return time.Duration(c.Load.Running + c.Load.Queued)
}

// least takes a candidate of the least score, by chance among equals.
type least struct{}

// Pick implements route.Picker.
func (least) Pick(rng *rand.Rand, scored []route.Scored) route.Scored {
	best := scored[0]
	ties := 1
	for _, s := range scored[1:] {
		switch {
		case s.ExpectedTTFT < best.ExpectedTTFT:
			best, ties = s, 1
		case s.ExpectedTTFT == best.ExpectedTTFT:
			ties++
			if rng.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

// fifo is the plain queue: first in, first out, nothing is refused or expires.
type fifo struct {
	items  []queue.Item
	tokens int
}

func (f *fifo) Push(_ time.Time, i queue.Item) (bool, time.Duration) {
	f.items = append(f.items, i)
	f.tokens += i.PromptTokens - i.CachedTokens
	return true, 0
}

func (f *fifo) Pop(_ time.Time, room queue.Capacity) (queue.Item, bool) {
	if room.Slots <= 0 || len(f.items) == 0 {
		return queue.Item{}, false
	}
	head := f.items[0]
	if (head.PromptTokens+head.OutputTokens+pieceTokens-1)/pieceTokens > room.KVBlocks {
		return queue.Item{}, false
	}
	f.Remove(head.ID)
	return head, true
}

func (f *fifo) Remove(id string) bool {
	for i, item := range f.items {
		if item.ID == id {
			f.items = append(f.items[:i:i], f.items[i+1:]...)
			f.tokens -= item.PromptTokens - item.CachedTokens
			return true
		}
	}
	return false
}

func (f *fifo) TakeExpired(time.Time) []queue.Removed { return nil }
func (f *fifo) Len() int                              { return len(f.items) }
func (f *fifo) QueuedTokens() int                     { return f.tokens }
