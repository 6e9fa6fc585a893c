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
	// noServerRetryAfter is what a caller is told when no backend server takes
	// its request: about the time of a change of roles.
	noServerRetryAfter = 2 * time.Second
	// changeRetryIn is when a request that waits for a planned change asks for a
	// route again.
	changeRetryIn = 100 * time.Millisecond
	// minExpected keeps scheduling noise from looking like a slow server.
	minExpected = 100 * time.Millisecond
)

var (
	spentBudgets = metrics.GetOrRegisterCounter("router.retry_budget_spent", nil)
	unroutables  = metrics.GetOrRegisterCounter("router.not_routed", nil)
)

// sent is an attempt as the router sent it.
type sent struct {
	server   string
	role     route.Role
	expected time.Duration
}

// route picks the backend server of an attempt.
func (s *state) route(now time.Time, r *Request, ask call.Route) call.Event {
	if r.Keyed {
		return s.routeKeyed(now, r, ask)
	}
	if err := s.allowRetry(now, r, ask); err != nil {
		return call.Unroutable{Attempt: ask.Attempt, Err: err}
	}
	first, second, ok := s.pickAgain(now, r, ask)
	if !ok {
		return s.unroutable(now, r, ask, "no backend server admits the request", continues(ask))
	}
	role := firstRole(r)
	if ask.Resume {
		role = route.Decode
	}
	s.sent(now, r, first, role)
	if second == nil {
		s.explain(now, r.ID, "routed to "+first.Name, first.Reason)
		return call.Routed{Attempt: ask.Attempt, Server: first.Name}
	}
	s.sent(now, r, *second, route.Decode)
	s.explain(now, r.ID, "routed to "+first.Name+" for prefill, "+second.Name+" for decode",
		"prefill: "+first.Reason+"; decode: "+second.Reason)
	return call.Routed{Attempt: ask.Attempt, Server: second.Name, PrefillServer: first.Name}
}

// continues reports whether the attempt goes on with one that a change or a
// fault of its backend server ended.
func continues(ask call.Route) bool {
	return ask.Resume || ask.Retry != nil && ask.Retry.ServerDraining
}

// pickAgain picks. An answer that has begun rather goes back to a backend
// server that failed it than be broken off.
func (s *state) pickAgain(now time.Time, r *Request, ask call.Route) (first pick, second *pick, ok bool) {
	first, second, ok = s.pick(now, r, ask)
	if ok || !continues(ask) {
		return first, second, ok
	}
	ask.Excluded = nil
	return s.pick(now, r, ask)
}

// pick chooses one backend server, or a pair where prefill and decode are
// split: the prefill engine fills a KV cache that the decode engine imports.
func (s *state) pick(now time.Time, r *Request, ask call.Route) (first pick, second *pick, ok bool) {
	if r.Model != "" && ask.Resume {
		first, ok = s.pickOne(now, r, route.Decode, ask.Excluded)
		return first, nil, ok
	}
	first, ok = s.pickOne(now, r, firstRole(r), ask.Excluded)
	if !ok && r.Model != "" {
		// Without a prefill engine, a decode engine reads the prompt itself.
		first, ok = s.pickOne(now, r, route.Decode, ask.Excluded)
	}
	if !ok || first.candidate.Role != route.Prefill {
		return first, nil, ok
	}
	decode, ok := s.pickOne(now, r, route.Decode, ask.Excluded)
	return first, &decode, ok
}

// allowRetry asks the retry budget. An attempt that never left this process
// has cost no backend server anything and needs none, and one that a planned
// change ended is no failure.
func (s *state) allowRetry(now time.Time, r *Request, ask call.Route) *verdict.Error {
	if ask.Retry == nil || !ask.Retry.Sent || ask.Retry.ServerDraining {
		return nil
	}
	allowed := s.group(r.group()).budget.Allow(now, retry.Attempt{
		NotRun:     ask.Retry.NotRun,
		Idempotent: r.Idempotent,
		CostTokens: r.cost,
		Remaining:  ask.Remaining,
	})
	if allowed {
		return nil
	}
	spentBudgets.Inc(1)
	s.explain(now, r.ID, "not tried again", "the retry budget is spent")
	return verdict.NewRejection(verdict.CodeOverloaded, "too many requests fail to try this one again", noServerRetryAfter)
}

// sent notes an attempt on its way.
func (s *state) sent(now time.Time, r *Request, p pick, role route.Role) {
	tokens := 1
	if role == route.Prefill {
		tokens = p.uncached(r)
		s.prefix.AddExpected(now, p.Name, r.PrefixBlocks)
	}
	s.picture(role).AddRequest(now, p.Name, r.ID, tokens)
	r.sent = append(r.sent, sent{server: p.Name, role: role, expected: max(p.ExpectedTTFT, minExpected)})
}

// routeKeyed goes to the owner of the key's slot. Any other sidecar would
// refuse: two that ran the same key would run the call twice.
func (s *state) routeKeyed(now time.Time, r *Request, ask call.Route) call.Event {
	slots := s.view.SlotCount(r.Service)
	if slots == 0 {
		return s.unroutable(now, r, ask, "the plan has no key slots for the service yet", false)
	}
	slot := claims.SlotOfHash(r.KeyHash, slots)
	owner, ok := s.view.SlotOwner(r.Service, slot)
	if !ok {
		return s.unroutable(now, r, ask, fmt.Sprintf("key slot %d has no owner", slot), true)
	}
	if s.isLeaving(owner) {
		return s.unroutable(now, r, ask, fmt.Sprintf("%s, owner of key slot %d, is leaving", owner, slot), true)
	}
	s.sent(now, r, pick{Decision: route.Decision{Name: owner}}, "")
	s.explain(now, r.ID, "routed to "+owner, fmt.Sprintf("owner of key slot %d", slot))
	return call.Routed{Attempt: ask.Attempt, Server: owner}
}

// isLeaving reports whether a backend server gets no new work.
func (s *state) isLeaving(name string) bool {
	known, ok := s.servers[name]
	return !ok || known.link == links.Draining || known.vm.Leaving
}

// unroutable says that there is no backend server; with wait, that a planned
// change is about to bring one.
func (s *state) unroutable(now time.Time, r *Request, ask call.Route, why string, wait bool) call.Event {
	event := call.Unroutable{
		Attempt: ask.Attempt,
		Err:     verdict.NewRejection(verdict.CodeNoBackend, why, noServerRetryAfter),
	}
	if wait {
		event.RetryIn = changeRetryIn
		why += "; asked again in " + changeRetryIn.String()
	}
	unroutables.Inc(1)
	s.explain(now, r.ID, "not routed", why)
	return event
}

// attempted takes the outcome of an attempt at a backend server.
func (s *state) attempted(now time.Time, r *Request, name string, o Outcome) {
	for i, a := range r.sent {
		if a.server != name {
			continue
		}
		r.sent = append(r.sent[:i], r.sent[i+1:]...)
		s.picture(a.role).RemoveRequest(now, name, r.ID)
		if !o.Rejected {
			s.group(r.group()).outlier(a.role).Observe(now, name, outlier.Observation{
				Took:     o.TimeToFirstPiece,
				Expected: a.expected,
				Failed:   o.Failed,
			})
		}
		return
	}
}

// ended takes the end of an admitted request.
func (s *state) ended(now time.Time, r *Request, succeeded bool) {
	for _, a := range r.sent {
		s.picture(a.role).RemoveRequest(now, a.server, r.ID)
	}
	g := s.group(r.group())
	g.admitter.Finished(now, r.Caller, r.cost)
	if succeeded {
		g.budget.Succeeded(now, r.cost)
	}
}

func (s *state) explain(now time.Time, id, decision, why string) {
	s.config.Explain.Add(now, id, decision, why)
}
