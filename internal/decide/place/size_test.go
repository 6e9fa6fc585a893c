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

// simRequest is one request of a prefillSim: a prompt with a short answer.
type simRequest struct {
	tokens int
	// retried reports whether it was rejected and its caller has retried.
	retried bool
	served  bool
}

// simEvent is an action scheduled in a prefillSim.
type simEvent struct {
	at time.Time
	do func()
}

// prefillSim simulates prompts of very different lengths on engines that prefill them
// one after the other, placed by a calibrated fleet. A rejected caller retries once.
type prefillSim struct {
	fleet  *place.Fleet
	rng    *rand.Rand
	now    time.Time
	freeAt map[string]time.Time
	all    []*simRequest
	jobs   place.JobID
	events []simEvent
}

const (
	requestObjective = 200 * time.Millisecond
	requestTimeout   = 2 * time.Second
	// handoverTime is the time from the end of a prefill to the first token.
	handoverTime = 5 * time.Millisecond
)

func (s *prefillSim) schedule(at time.Time, do func()) {
	i, _ := slices.BinarySearchFunc(s.events, at, func(e simEvent, at time.Time) int { return e.at.Compare(at) })
	s.events = slices.Insert(s.events, i, simEvent{at, do})
}

// advanceTo runs all events before the given time.
func (s *prefillSim) advanceTo(until time.Time) {
	for len(s.events) > 0 && s.events[0].at.Before(until) {
		next := s.events[0]
		s.events = s.events[1:]
		s.now = next.at
		next.do()
	}
	s.now = until
}

// arrive simulates arrivals for some time.
func (s *prefillSim) arrive(d time.Duration, perSecond float64) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.advanceTo(s.now.Add(time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second))))
		r := &simRequest{tokens: int(1_600 * math.Exp(0.45*s.rng.NormFloat64()))}
		s.all = append(s.all, r)
		s.send(r, requestTimeout)
	}
}

func (s *prefillSim) send(r *simRequest, remaining time.Duration) {
	s.jobs++
	id := s.jobs
	j := place.Job{ID: id, Prompt: prompt(uint64(id), 0, r.tokens, uint64(id)), Route: "checks"}
	plan, admission, ok := s.fleet.Plan(s.now, j, place.Constraints{Objective: requestObjective - (requestTimeout - remaining), Remaining: remaining})
	Expect(ok).To(BeTrue())
	if !admission.Admit {
		if !r.retried {
			r.retried = true
			s.schedule(s.now.Add(admission.RetryAfter), func() { s.send(r, remaining-admission.RetryAfter) })
		}
		return
	}
	s.fleet.AddPlacement(s.now, place.Placement{ID: id, Prompt: j.Prompt, Plan: plan, Remaining: remaining})
	s.prefill(id, r, plan, s.now.Add(remaining))
}

// prefill has an engine prefill the prompt after those that it has queued.
func (s *prefillSim) prefill(id place.JobID, r *simRequest, plan place.Plan, deadline time.Time) {
	begin := s.now
	if free := s.freeAt[plan.PrefillEngine]; free.After(begin) {
		begin = free
	}
	latency := prefillTime(plan.Split(), 0)
	end := begin.Add(prefillTime(plan.Split(), r.tokens) - latency)
	s.freeAt[plan.PrefillEngine] = end
	s.schedule(end.Add(latency), func() { s.fleet.LocalPrefillDone(s.now, id) })
	s.schedule(end.Add(latency+handoverTime), func() {
		s.fleet.FirstToken(s.now, id)
		s.fleet.JobFinished(s.now, id)
		r.served = s.now.Before(deadline)
	})
}

// servedRates returns the fractions of the longest tenth, of the fifth below it and of
// all requests that were served.
func servedRates(requests []*simRequest) (longest, fifth, all float64) {
	sorted := slices.SortedFunc(slices.Values(requests), func(a, b *simRequest) int { return cmp.Compare(b.tokens, a.tokens) })
	servedRate := func(of []*simRequest) float64 {
		served := 0
		for _, r := range of {
			if r.served {
				served++
			}
		}
		return float64(served) / float64(len(of))
	}
	n := len(sorted)
	return servedRate(sorted[:n/10]), servedRate(sorted[n/10 : 3*n/10]), servedRate(sorted)
}

// Guards against bursts in which the longest prompts are all rejected: short ones fill
// the acceptable queue delay and leave no time to prefill a long one.
func TestLongPromptsAreServedInABurst(t *testing.T) {
	RegisterTestingT(t)
	for _, perSecond := range []float64{600, 900, 1_500} {
		for seed := range uint64(4) {
			s := &prefillSim{fleet: calibratedFleet(4, 2), rng: rand.New(rand.NewPCG(seed, 51)), now: start, freeAt: map[string]time.Time{}}
			s.arrive(5*time.Second, 150)
			s.arrive(8*time.Second, perSecond)
			s.advanceTo(s.now.Add(2 * time.Second))
			longest, fifth, all := servedRates(s.all)
			if longest < all/2 || fifth < all/2 {
				t.Errorf("%s requests per second, seed %d: served %.2f of the longest tenth, %.2f of the fifth below, %.2f of all",
					strconv.Itoa(int(perSecond)), seed, longest, fifth, all)
			}
		}
	}
}

// Guards against admitting long prompts for their length although their deadline would
// cut off their answers.
func TestLongPromptsThatWouldMissDeadlineAreRejected(t *testing.T) {
	RegisterTestingT(t)
	s := &prefillSim{fleet: calibratedFleet(4, 2), rng: rand.New(rand.NewPCG(1, 52)), now: start, freeAt: map[string]time.Time{}}
	s.arrive(3*time.Second, 900)
	long := place.Job{ID: 1 << 40, Prompt: prompt(1<<40, 0, 20_000, 1<<40), Route: "checks"}
	for range 100 {
		_, a, _ := s.fleet.Plan(s.now, long, place.Constraints{Objective: 100 * time.Millisecond, Remaining: 300 * time.Millisecond})
		Expect(a.Admit).To(BeFalse())
	}
}

// Guards against a route whose first prompt has no length: with thresholds of zero all
// other prompts count as long, and none of them is admitted for its length.
func TestLongPromptsAreServedAfterOneWithoutLength(t *testing.T) {
	RegisterTestingT(t)
	s := &prefillSim{fleet: calibratedFleet(4, 2), rng: rand.New(rand.NewPCG(2, 53)), now: start, freeAt: map[string]time.Time{}}
	s.fleet.Plan(s.now, place.Job{ID: 1 << 40, Route: "checks"}, unhurried)
	s.arrive(5*time.Second, 150)
	s.arrive(8*time.Second, 900)
	s.advanceTo(s.now.Add(2 * time.Second))
	longest, _, all := servedRates(s.all)
	Expect(longest).To(BeNumerically(">=", all/2))
}
