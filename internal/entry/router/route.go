package router

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/claims"
	"pistachioroad.dev/pistachioroad/internal/decide/outlier"
	"pistachioroad.dev/pistachioroad/internal/decide/retry"
	"pistachioroad.dev/pistachioroad/internal/decide/route"
	"pistachioroad.dev/pistachioroad/internal/entry/call"
	"pistachioroad.dev/pistachioroad/internal/entry/links"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

const (
	// noServerRetryAfter is the Retry-After when no backend server admits a
	// request: about the time that a role change takes.
	noServerRetryAfter = 2 * time.Second
	// plannedChangeRetryIn is the delay before a request that waits for a planned
	// change is routed again.
	plannedChangeRetryIn = 100 * time.Millisecond
	// minExpectedTTFT is the lower bound of the expected time to first token.
	// Below it, outlier detection would take scheduling noise for a slow server.
	minExpectedTTFT = 100 * time.Millisecond
)

var (
	retryBudgetSpent = metrics.GetOrRegisterCounter("router.retry_budget_spent", nil)
	notRouted        = metrics.GetOrRegisterCounter("router.not_routed", nil)
)

// sentAttempt is an attempt that was routed to a backend server.
type sentAttempt struct {
	server       string
	role         route.Role
	expectedTTFT time.Duration
}

// route selects the backend server for an attempt.
func (s *state) route(now time.Time, r *Request, effect call.Route) call.Event {
	if r.Keyed {
		return s.routeKeyed(now, r, effect)
	}
	if err := s.allowRetry(now, r, effect); err != nil {
		return call.Unroutable{Attempt: effect.Attempt, Err: err}
	}
	first, second, ok := s.pickWithFallback(now, r, effect)
	if !ok {
		return s.unroutable(now, r, effect, "no backend server admits the request", isContinuation(effect))
	}
	role := firstRole(r)
	if effect.Resume {
		role = route.Decode
	}
	s.addAttempt(now, r, first, role)
	if second == nil {
		s.explain(now, r.ID, "routed to "+first.Name, first.Reason)
		return call.Routed{Attempt: effect.Attempt, Server: first.Name}
	}
	s.addAttempt(now, r, *second, route.Decode)
	s.explain(now, r.ID, "routed to "+first.Name+" for prefill, "+second.Name+" for decode",
		"prefill: "+first.Reason+"; decode: "+second.Reason)
	return call.Routed{Attempt: effect.Attempt, Server: second.Name, PrefillServer: first.Name}
}

// isContinuation reports whether the attempt resumes an answer, or repeats an
// attempt that a planned change of its backend server ended.
func isContinuation(effect call.Route) bool {
	return effect.Resume || effect.Retry != nil && effect.Retry.ServerDraining
}

// pickWithFallback chooses like pickServers. If no other server is left, a
// continuation may return to an excluded one: that is better than breaking off an
// answer that the caller has partly received.
func (s *state) pickWithFallback(now time.Time, r *Request, effect call.Route) (first pick, second *pick, ok bool) {
	first, second, ok = s.pickServers(now, r, effect)
	if ok || !isContinuation(effect) {
		return first, second, ok
	}
	effect.Excluded = nil
	return s.pickServers(now, r, effect)
}

// pickServers chooses one backend server, or a pair if the first is a prefill
// engine: it computes the KV cache that the decode engine imports.
func (s *state) pickServers(now time.Time, r *Request, effect call.Route) (first pick, second *pick, ok bool) {
	if r.Model != "" && effect.Resume {
		first, ok = s.pickOne(now, r, route.Decode, effect.Excluded)
		return first, nil, ok
	}
	first, ok = s.pickOne(now, r, firstRole(r), effect.Excluded)
	if !ok && r.Model != "" {
		// Without a prefill engine, a decode engine prefills the prompt itself.
		first, ok = s.pickOne(now, r, route.Decode, effect.Excluded)
	}
	if !ok || first.candidate.Role != route.Prefill {
		return first, nil, ok
	}
	decode, ok := s.pickOne(now, r, route.Decode, effect.Excluded)
	return first, &decode, ok
}

// allowRetry checks a retry against the retry budget. The budget does not apply
// if the previous attempt never left this process, since it cost no backend
// server anything, or if a planned change ended it, since that is no failure.
func (s *state) allowRetry(now time.Time, r *Request, effect call.Route) *verdict.Error {
	if effect.Retry == nil || !effect.Retry.Sent || effect.Retry.ServerDraining {
		return nil
	}
	allowed := s.group(r.group()).budget.Allow(now, retry.Attempt{
		NotRun:     effect.Retry.NotRun,
		Idempotent: r.Idempotent,
		CostTokens: r.costTokens,
		Remaining:  effect.Remaining,
	})
	if allowed {
		return nil
	}
	retryBudgetSpent.Inc(1)
	s.explain(now, r.ID, "not tried again", "the retry budget is spent")
	return verdict.NewRejection(verdict.CodeOverloaded, "too many requests fail to try this one again", noServerRetryAfter)
}

// addAttempt records that an attempt is sent to the chosen server.
func (s *state) addAttempt(now time.Time, r *Request, p pick, role route.Role) {
	tokens := 1
	if role == route.Prefill {
		tokens = p.uncachedTokens(r)
		s.prefixIndex.AddExpected(now, p.Name, r.PrefixBlocks)
	}
	s.loadTracker(role).AddRequest(now, p.Name, r.ID, tokens)
	r.unanswered = append(r.unanswered, sentAttempt{server: p.Name, role: role, expectedTTFT: max(p.ExpectedTTFT, minExpectedTTFT)})
}

// routeKeyed routes to the owner of the key's slot. Any other sidecar rejects the
// request: if two of them ran the same key, the call would run twice.
func (s *state) routeKeyed(now time.Time, r *Request, effect call.Route) call.Event {
	slots := s.view.SlotCount(r.Service)
	if slots == 0 {
		return s.unroutable(now, r, effect, "the plan has no key slots for the service yet", false)
	}
	slot := claims.SlotOfHash(r.KeyHash, slots)
	owner, ok := s.view.SlotOwner(r.Service, slot)
	if !ok {
		return s.unroutable(now, r, effect, fmt.Sprintf("key slot %d has no owner", slot), true)
	}
	if s.isLeaving(owner) {
		return s.unroutable(now, r, effect, fmt.Sprintf("%s, owner of key slot %d, is leaving", owner, slot), true)
	}
	s.addAttempt(now, r, pick{Decision: route.Decision{Name: owner}}, "")
	s.explain(now, r.ID, "routed to "+owner, fmt.Sprintf("owner of key slot %d", slot))
	return call.Routed{Attempt: effect.Attempt, Server: owner}
}

// isLeaving reports whether a backend server is leaving or unknown, and so gets
// no new work.
func (s *state) isLeaving(name string) bool {
	srv, ok := s.servers[name]
	return !ok || srv.link == links.Draining || srv.vm.Draining
}

// unroutable returns the event for an attempt without a backend server. With
// wait, a planned change is expected to provide one, and routing is retried.
func (s *state) unroutable(now time.Time, r *Request, effect call.Route, why string, wait bool) call.Event {
	event := call.Unroutable{
		Attempt: effect.Attempt,
		Err:     verdict.NewRejection(verdict.CodeNoBackend, why, noServerRetryAfter),
	}
	if wait {
		event.RetryIn = plannedChangeRetryIn
		why += "; asked again in " + plannedChangeRetryIn.String()
	}
	notRouted.Inc(1)
	s.explain(now, r.ID, "not routed", why)
	return event
}

// recordOutcome records the outcome of an attempt at a backend server. Rejected
// attempts are not counted by outlier detection.
func (s *state) recordOutcome(now time.Time, r *Request, name string, o Outcome) {
	for i, a := range r.unanswered {
		if a.server != name {
			continue
		}
		r.unanswered = append(r.unanswered[:i], r.unanswered[i+1:]...)
		s.loadTracker(a.role).RemoveRequest(now, name, r.ID)
		if !o.Rejected {
			s.group(r.group()).outlierDetector(a.role).Observe(now, name, outlier.Observation{
				Took:     o.TimeToFirstChunk,
				Expected: a.expectedTTFT,
				Failed:   o.Failed,
			})
		}
		return
	}
}

// finish releases an admitted request. A success adds to the retry budget.
func (s *state) finish(now time.Time, r *Request, succeeded bool) {
	for _, a := range r.unanswered {
		s.loadTracker(a.role).RemoveRequest(now, a.server, r.ID)
	}
	g := s.group(r.group())
	g.admitter.Finished(now, r.Caller, r.costTokens)
	if succeeded {
		g.budget.Succeeded(now, r.costTokens)
	}
}

func (s *state) explain(now time.Time, id, decision, why string) {
	s.config.Explain.Add(now, id, decision, why)
}
