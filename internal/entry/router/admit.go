package router

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/decide/admit"
	"pistachioroad.dev/pistachioroad/internal/decide/route"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

const (
	// typicalOutput is the part of the tokens asked for that answers take, and
	// maxTypicalOutput the most that is reckoned with: callers set generous
	// limits that their answers do not come near.
	typicalOutput    = 0.75
	maxTypicalOutput = 512
	// The rates of an engine, in tokens a second, until it reports them.
	defaultPrefillRate = 8_000.0
	defaultDecodeRate  = 2_000.0
	// defaultSlots is the batch of an engine that reports none.
	defaultSlots = 64
	// defaultCallTime is the time of one call of a plain service until it is
	// measured.
	defaultCallTime = 5 * time.Millisecond
)

var (
	admissions = metrics.GetOrRegisterCounter("router.admitted", nil)
	refusals   = map[admit.Reason]metrics.Counter{
		admit.PastDeadline: metrics.GetOrRegisterCounter("router.refused.past_deadline", nil),
		admit.OverShare:    metrics.GetOrRegisterCounter("router.refused.over_share", nil),
		admit.OverLimit:    metrics.GetOrRegisterCounter("router.refused.over_limit", nil),
		admit.NoCapacity:   metrics.GetOrRegisterCounter("router.refused.no_capacity", nil),
	}
)

// admit decides whether the request is let in.
func (s *state) admit(now time.Time, r *Request) *verdict.Error {
	p, ok := s.pickOne(now, r, firstRole(r), nil)
	g := s.group(r.group())
	r.cost = cost(r, p)
	e := s.expect(now, r, p)
	limitAccount(r, g)
	decision := g.admitter.Decide(now, admit.Request{
		Caller:     r.Caller,
		CostTokens: r.cost,
		Deadline:   r.Deadline.Sub(now),
		RunTime:    e.run,
		Class:      r.Class,
		Service:    r.Service,
	}, admit.LoadSnapshot{
		QueueDelay: e.wait,
		DrainRate:  e.drain,
		EntryShare: s.part(),
		// The owner of a key alone can run it: whether others admit says
		// nothing.
		NoCapacity: !ok && !r.Keyed,
	})
	if r.Model != "" {
		g.meter.Add(now, int(decision.EntitledFraction*float64(p.uncached(r))), int(decision.EntitledFraction*output(r)))
	}
	return s.admitted(now, r, decision, e)
}

func (s *state) admitted(now time.Time, r *Request, decision admit.Decision, e expectation) *verdict.Error {
	why := fmt.Sprintf("%s; wait %v, run %v, cost %d", decision.Reason,
		e.wait.Round(time.Millisecond), e.run.Round(time.Millisecond), r.cost)
	if decision.Admit {
		admissions.Inc(1)
		s.explain(now, r.ID, "admitted", why)
		return nil
	}
	refusals[decision.Reason].Inc(1)
	s.explain(now, r.ID, "refused", why)
	return verdict.NewRejection(codeOf(decision.Reason), decision.Reason.String(), decision.RetryAfter)
}

func codeOf(reason admit.Reason) verdict.Code {
	switch reason {
	case admit.OverShare, admit.OverLimit:
		return verdict.CodeAccountLimit
	case admit.NoCapacity:
		return verdict.CodeNoBackend
	default:
		return verdict.CodeOverloaded
	}
}

// output is how many tokens the answer likely has.
func output(r *Request) float64 {
	return min(maxTypicalOutput, typicalOutput*float64(r.OutputTokens))
}

// cost is the request's work in prompt tokens, or 1 for a call.
func cost(r *Request, p pick) int {
	if r.Model == "" {
		return 1
	}
	return p.uncached(r) + int(output(r)*outputCost(p.candidate.Load))
}

// outputCost is the work of an output token in prompt tokens.
func outputCost(l route.Load) float64 {
	return rateOr(l.PrefillRate, defaultPrefillRate) / rateOr(l.DecodeRate, defaultDecodeRate)
}

func rateOr(rate, fallback float64) float64 {
	if rate <= 0 {
		return fallback
	}
	return rate
}

// expectation is what admission is told about a request and the fleet.
type expectation struct {
	wait, run time.Duration
	// drain is the cost tokens a second that the backend servers finish.
	drain float64
}

func (s *state) expect(now time.Time, r *Request, p pick) expectation {
	if r.Model == "" {
		return s.expectCall(now, r, p)
	}
	decode, _ := s.pickOne(now, r, route.Decode, nil)
	load := p.candidate.Load
	prefill := float64(p.uncached(r)) / rateOr(load.PrefillRate, defaultPrefillRate)
	slots := load.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	step := float64(slots) / rateOr(load.DecodeRate, defaultDecodeRate)
	return expectation{
		wait:  p.QueueDelay + decode.QueueDelay,
		run:   time.Duration((prefill + output(r)*step) * float64(time.Second)),
		drain: s.drainRate(now, r),
	}
}

func (s *state) expectCall(now time.Time, r *Request, p pick) expectation {
	e := expectation{wait: p.QueueDelay, run: defaultCallTime}
	if known, ok := s.servers[p.Name]; ok && known.load.GetServiceMs() > 0 {
		e.run = time.Duration(known.load.GetServiceMs() * float64(time.Millisecond))
	}
	for _, c := range s.candidates(now, r, "") {
		if c.Admitting && !c.Leaving {
			e.drain += c.Load.PrefillRate
		}
	}
	return e
}

// drainRate is what the engines of the model finish of the present mix.
func (s *state) drainRate(now time.Time, r *Request) float64 {
	prefill, decode, ratio := 0.0, 0.0, 0.0
	for _, c := range s.candidates(now, r, route.Prefill) {
		if !c.Admitting || c.Leaving || c.Model != r.Model {
			continue
		}
		if c.Role != route.Decode {
			prefill += rateOr(c.Load.PrefillRate, defaultPrefillRate)
		}
		if c.Role != route.Prefill {
			decode += rateOr(c.Load.DecodeRate, defaultDecodeRate)
		}
		ratio = outputCost(c.Load)
	}
	demand := s.group(r.group()).meter.Demand(now)
	return admit.DrainRate(prefill, decode, demand.PrefillTokens, demand.DecodeTokens, ratio)
}

// part is this entry's part of the load: the balancer spreads it evenly.
func (s *state) part() float64 {
	entries := 0
	for _, vm := range s.view.VMs {
		if vm.Kind == sharedstate.VMEntry && !vm.Leaving && vm.Region == s.config.Region {
			entries++
		}
	}
	return 1 / float64(max(1, entries))
}

// limitAccount gives the account of r the limit that operators set for all.
func limitAccount(r *Request, g *group) {
	if g.limit <= 0 || len(g.terms) >= admit.DefaultMaxAccounts {
		return
	}
	if _, ok := g.terms[r.Caller]; !ok {
		g.terms[r.Caller] = admit.AccountPolicy{Limit: g.limit}
	}
}
