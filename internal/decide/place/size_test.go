package place_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/place"
)

// check is one request of a readPlay: a prompt with a short answer.
type check struct {
	tokens int
	// again says that it was refused and its caller is back.
	again  bool
	served bool
}

// readEvent is what happens at a moment of a readPlay.
type readEvent struct {
	at time.Time
	do func()
}

// readPlay plays prompts of very different lengths at engines that read them one after
// the other, by a fleet that knows how fast these are. A refused caller returns once.
type readPlay struct {
	fleet  *place.Fleet
	rng    *rand.Rand
	now    time.Time
	free   map[string]time.Time
	all    []*check
	jobs   place.JobID
	events []readEvent
}

const (
	checkObjective = 200 * time.Millisecond
	checkPatience  = 2 * time.Second
	// handedOverIn is the time from the end of a read to the first token.
	handedOverIn = 5 * time.Millisecond
)

func (p *readPlay) schedule(at time.Time, do func()) {
	i, _ := slices.BinarySearchFunc(p.events, at, func(e readEvent, at time.Time) int { return e.at.Compare(at) })
	p.events = slices.Insert(p.events, i, readEvent{at, do})
}

// pass lets everything happen that happens before a moment.
func (p *readPlay) pass(until time.Time) {
	for len(p.events) > 0 && p.events[0].at.Before(until) {
		next := p.events[0]
		p.events = p.events[1:]
		p.now = next.at
		next.do()
	}
	p.now = until
}

// arrive has requests come for some time.
func (p *readPlay) arrive(d time.Duration, perSecond float64) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.pass(p.now.Add(time.Duration(p.rng.ExpFloat64() / perSecond * float64(time.Second))))
		c := &check{tokens: int(1_600 * math.Exp(0.45*p.rng.NormFloat64()))}
		p.all = append(p.all, c)
		p.send(c, checkPatience)
	}
}

func (p *readPlay) send(c *check, left time.Duration) {
	p.jobs++
	id := p.jobs
	j := place.Job{ID: id, Prompt: prompt(uint64(id), 0, c.tokens, uint64(id)), Route: "checks"}
	plan, admission, ok := p.fleet.Plan(p.now, j, place.Constraints{Objective: checkObjective - (checkPatience - left), Remaining: left})
	Expect(ok).To(BeTrue())
	if !admission.Admit {
		if !c.again {
			c.again = true
			p.schedule(p.now.Add(admission.RetryAfter), func() { p.send(c, left-admission.RetryAfter) })
		}
		return
	}
	p.fleet.AddPlacement(p.now, place.Placement{ID: id, Prompt: j.Prompt, Plan: plan, Remaining: left})
	p.read(id, c, plan, p.now.Add(left))
}

// read has an engine read the prompt after those that it has.
func (p *readPlay) read(id place.JobID, c *check, plan place.Plan, deadline time.Time) {
	begin := p.now
	if free := p.free[plan.PrefillEngine]; free.After(begin) {
		begin = free
	}
	latency := readTime(plan.Split(), 0)
	end := begin.Add(readTime(plan.Split(), c.tokens) - latency)
	p.free[plan.PrefillEngine] = end
	p.schedule(end.Add(latency), func() { p.fleet.LocalPrefillDone(p.now, id) })
	p.schedule(end.Add(latency+handedOverIn), func() {
		p.fleet.FirstToken(p.now, id)
		p.fleet.JobFinished(p.now, id)
		c.served = p.now.Before(deadline)
	})
}

// servedOf returns which part of the longest tenth, of the fifth below it and of all
// were served.
func servedOf(checks []*check) (longest, fifth, all float64) {
	sorted := slices.SortedFunc(slices.Values(checks), func(a, b *check) int { return cmp.Compare(b.tokens, a.tokens) })
	part := func(of []*check) float64 {
		served := 0
		for _, c := range of {
			if c.served {
				served++
			}
		}
		return float64(served) / float64(len(of))
	}
	n := len(sorted)
	return part(sorted[:n/10]), part(sorted[n/10 : 3*n/10]), part(sorted)
}

// Guards against bursts in which the longest prompts are all refused, as the wait that
// short ones fill leaves no time to read a long one.
func TestLongPromptsAreServedInABurst(t *testing.T) {
	RegisterTestingT(t)
	for _, perSecond := range []float64{600, 900, 1_500} {
		for seed := range uint64(4) {
			p := &readPlay{fleet: taught(4, 2), rng: rand.New(rand.NewPCG(seed, 51)), now: start, free: map[string]time.Time{}}
			p.arrive(5*time.Second, 150)
			p.arrive(8*time.Second, perSecond)
			p.pass(p.now.Add(2 * time.Second))
			longest, fifth, all := servedOf(p.all)
			if longest < all/2 || fifth < all/2 {
				t.Errorf("%s a second, seed %d: of the longest tenth %.2f were served, of the fifth below %.2f, of all %.2f",
					strconv.Itoa(int(perSecond)), seed, longest, fifth, all)
			}
		}
	}
}

// Guards against long prompts being let in for their length though their deadline would
// cut them.
func TestLongPromptsThatCannotEndAreRefused(t *testing.T) {
	RegisterTestingT(t)
	p := &readPlay{fleet: taught(4, 2), rng: rand.New(rand.NewPCG(1, 52)), now: start, free: map[string]time.Time{}}
	p.arrive(3*time.Second, 900)
	long := place.Job{ID: 1 << 40, Prompt: prompt(1<<40, 0, 20_000, 1<<40), Route: "checks"}
	for range 100 {
		_, a, _ := p.fleet.Plan(p.now, long, place.Constraints{Objective: 100 * time.Millisecond, Remaining: 300 * time.Millisecond})
		Expect(a.Admit).To(BeFalse())
	}
}

// Guards against a route whose first prompt has no length calling all others long: then
// none of them is let in for its length.
func TestLongPromptsAreKnownAfterOneWithoutLength(t *testing.T) {
	RegisterTestingT(t)
	p := &readPlay{fleet: taught(4, 2), rng: rand.New(rand.NewPCG(2, 53)), now: start, free: map[string]time.Time{}}
	p.fleet.Plan(p.now, place.Job{ID: 1 << 40, Route: "checks"}, patient)
	p.arrive(5*time.Second, 150)
	p.arrive(8*time.Second, 900)
	p.pass(p.now.Add(2 * time.Second))
	longest, _, all := servedOf(p.all)
	Expect(longest).To(BeNumerically(">=", all/2))
}
