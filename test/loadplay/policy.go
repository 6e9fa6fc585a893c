package loadplay

import (
	"math/rand/v2"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/queue"
	"pistachioroad.dev/pistachioroad/internal/decide/route"
)

// Policy is a set of decisions to simulate. Most alternatives differ from the
// production policy in one decision, so that their row shows its value.
type Policy struct {
	Name string
	// RouteProfile returns the routing profile; nil selects the default one.
	RouteProfile func() route.Profile
	Admission    bool
	// FIFOQueues replaces the sidecars' queues by fifo, which keeps expired items.
	FIFOQueues bool
	Planner    func(d Deployment, trace []Request) planner
	// OraclePlanners are simulated instead of Planner, each on its own; the best
	// result counts.
	OraclePlanners []func(d Deployment, trace []Request) planner
}

// Names of the policies that rows are compared with. ProductionName is that of
// the decision code as it is deployed.
const (
	ProductionName = "ours"
	OracleName     = "oracle"
	EagerName      = "eager"
)

// Policies lists the production policy, then the oracle, then the simple
// alternatives.
var Policies = []Policy{
	{Name: ProductionName, Admission: true, Planner: newProductionPlanner},
	{Name: OracleName, Admission: true, OraclePlanners: oraclePlanners()},
	{Name: EagerName, Admission: true, Planner: newEagerPlanner},
	{Name: "fixed", Admission: true, Planner: newFixedPlanner},
	{Name: "round-robin", Admission: true, Planner: newProductionPlanner, RouteProfile: roundRobinProfile},
	{Name: "least-conn", Admission: true, Planner: newProductionPlanner, RouteProfile: leastConnectionsProfile},
	{Name: "no-admission", Planner: newProductionPlanner, FIFOQueues: true},
	{Name: "all-plain", FIFOQueues: true, Planner: newFixedPlanner, RouteProfile: leastConnectionsProfile},
}

func roundRobinProfile() route.Profile {
	p := route.DefaultProfile()
	p.Scorers = nil
	p.Picker = &roundRobin{}
	return p
}

// roundRobin picks the candidates in turn.
type roundRobin struct{ last int }

// Pick implements route.Picker.
func (r *roundRobin) Pick(_ *rand.Rand, scored []route.Scored) route.Scored {
	r.last++
	return scored[r.last%len(scored)]
}

func leastConnectionsProfile() route.Profile {
	p := route.DefaultProfile()
	p.Scorers = []route.Scorer{connectionScorer{}}
	p.Picker = leastScorePicker{}
	return p
}

// connectionScorer scores by the number of requests at a backend server,
// regardless of their size.
type connectionScorer struct{}

// Score implements route.Scorer.
func (connectionScorer) Score(_ route.Request, c route.Candidate) time.Duration {
	return time.Duration(c.Load.Running + c.Load.Queued)
}

// leastScorePicker picks a candidate of the least score, at random among equals.
type leastScorePicker struct{}

// Pick implements route.Picker.
func (leastScorePicker) Pick(rng *rand.Rand, scored []route.Scored) route.Scored {
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

// fifo is a first-in, first-out queue that rejects nothing and expires nothing.
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
	if (head.PromptTokens+head.OutputTokens+kvBlockTokens-1)/kvBlockTokens > room.KVBlocks {
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
