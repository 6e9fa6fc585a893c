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
	// typicalOutputRatio is the typical length of an answer as a fraction of the
	// caller's output limit. maxExpectedOutput caps the estimate, in tokens:
	// callers set generous limits that their answers do not come near.
	typicalOutputRatio = 0.75
	maxExpectedOutput  = 512
	// The assumed rates of an engine, in tokens per second, until it reports them.
	defaultPrefillRate = 8_000.0
	defaultDecodeRate  = 2_000.0
	// defaultSlots is the assumed batch size of an engine that reports none.
	defaultSlots = 64
	// defaultServiceTime is the assumed time of a plain service's call until the
	// backend server reports a measured one.
	defaultServiceTime = 5 * time.Millisecond
)

var (
	admissions = metrics.GetOrRegisterCounter("router.admitted", nil)
	rejections = map[admit.Reason]metrics.Counter{
		admit.PastDeadline: metrics.GetOrRegisterCounter("router.refused.past_deadline", nil),
		admit.OverShare:    metrics.GetOrRegisterCounter("router.refused.over_share", nil),
		admit.OverLimit:    metrics.GetOrRegisterCounter("router.refused.over_limit", nil),
		admit.NoCapacity:   metrics.GetOrRegisterCounter("router.refused.no_capacity", nil),
	}
)

// admit performs admission control for the request. It returns nil if the
// request is admitted, or else the reason for the rejection. Rejected requests
// count as demand too, up to what their caller is entitled to.
func (s *state) admit(now time.Time, r *Request) *verdict.Error {
	p, ok := s.pickOne(now, r, firstRole(r), nil)
	g := s.group(r.group())
	r.costTokens = cost(r, p)
	e := s.estimate(now, r, p)
	applyAccountLimit(r, g)
	decision := g.admitter.Decide(now, admit.Request{
		Caller:     r.Caller,
		CostTokens: r.costTokens,
		Deadline:   r.Deadline.Sub(now),
		RunTime:    e.runTime,
		Class:      r.Class,
		Service:    r.Service,
	}, admit.LoadSnapshot{
		QueueDelay: e.queueDelay,
		DrainRate:  e.drainRate,
		EntryShare: s.entryShare(),
		// Only the owner of the key slot can run a keyed request, so it does not
		// matter whether other servers admit.
		NoCapacity: !ok && !r.Keyed,
	})
	if r.Model != "" {
		g.demandMeter.Add(now, int(decision.EntitledFraction*float64(p.uncachedTokens(r))), int(decision.EntitledFraction*expectedOutputTokens(r)))
	}
	return s.recordAdmission(now, r, decision, e)
}

// recordAdmission counts and explains the decision, and converts it to an error.
func (s *state) recordAdmission(now time.Time, r *Request, decision admit.Decision, e estimate) *verdict.Error {
	why := fmt.Sprintf("%s; wait %v, run %v, cost %d", decision.Reason,
		e.queueDelay.Round(time.Millisecond), e.runTime.Round(time.Millisecond), r.costTokens)
	if decision.Admit {
		admissions.Inc(1)
		s.explain(now, r.ID, "admitted", why)
		return nil
	}
	rejections[decision.Reason].Inc(1)
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

// expectedOutputTokens returns the expected length of the answer.
func expectedOutputTokens(r *Request) float64 {
	return min(maxExpectedOutput, typicalOutputRatio*float64(r.OutputTokens))
}

// cost returns the work of the request in cost tokens: 1 for a call, and for a
// completion the equivalent in prompt tokens.
func cost(r *Request, p pick) int {
	if r.Model == "" {
		return 1
	}
	return p.uncachedTokens(r) + int(expectedOutputTokens(r)*outputTokenCost(p.candidate.Load))
}

// outputTokenCost returns the cost of an output token in prompt tokens.
func outputTokenCost(l route.Load) float64 {
	return rateOr(l.PrefillRate, defaultPrefillRate) / rateOr(l.DecodeRate, defaultDecodeRate)
}

func rateOr(rate, fallback float64) float64 {
	if rate <= 0 {
		return fallback
	}
	return rate
}

// estimate holds the estimates that the admission decision is based on.
type estimate struct {
	queueDelay, runTime time.Duration
	// drainRate is the cost tokens per second that the backend servers finish.
	drainRate float64
}

func (s *state) estimate(now time.Time, r *Request, p pick) estimate {
	if r.Model == "" {
		return s.estimateCall(now, r, p)
	}
	decode, _ := s.pickOne(now, r, route.Decode, nil)
	load := p.candidate.Load
	prefill := float64(p.uncachedTokens(r)) / rateOr(load.PrefillRate, defaultPrefillRate)
	slots := load.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	step := float64(slots) / rateOr(load.DecodeRate, defaultDecodeRate)
	return estimate{
		queueDelay: p.QueueDelay + decode.QueueDelay,
		runTime:    time.Duration((prefill + expectedOutputTokens(r)*step) * float64(time.Second)),
		drainRate:  s.drainRate(now, r),
	}
}

func (s *state) estimateCall(now time.Time, r *Request, p pick) estimate {
	e := estimate{queueDelay: p.QueueDelay, runTime: defaultServiceTime}
	if srv, ok := s.servers[p.Name]; ok && srv.load.GetServiceMs() > 0 {
		e.runTime = time.Duration(srv.load.GetServiceMs() * float64(time.Millisecond))
	}
	for _, c := range s.candidates(now, r, "") {
		if c.Admitting && !c.Leaving {
			e.drainRate += c.Load.PrefillRate
		}
	}
	return e
}

// drainRate returns the cost tokens per second that the engines of the model
// finish at the current mix of prefill and decode.
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
		ratio = outputTokenCost(c.Load)
	}
	demand := s.group(r.group()).demandMeter.Demand(now)
	return admit.DrainRate(prefill, decode, demand.PrefillTokens, demand.DecodeTokens, ratio)
}

// entryShare returns this entry's fraction of the region's load. The balancer
// spreads the load evenly.
func (s *state) entryShare() float64 {
	entries := 0
	for _, vm := range s.view.VMs {
		if vm.Kind == sharedstate.VMEntry && !vm.Draining && vm.Region == s.config.Region {
			entries++
		}
	}
	return 1 / float64(max(1, entries))
}

// applyAccountLimit applies the limit that operators set for every account to
// the account of r.
func applyAccountLimit(r *Request, g *group) {
	if g.accountLimit <= 0 || len(g.policies) >= admit.DefaultMaxAccounts {
		return
	}
	if _, ok := g.policies[r.Caller]; !ok {
		g.policies[r.Caller] = admit.AccountPolicy{Limit: g.accountLimit}
	}
}
