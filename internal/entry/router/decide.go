package router

import (
	"fmt"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/admit"
	"pistachioroad.dev/pistachioroad/internal/decide/outlier"
	"pistachioroad.dev/pistachioroad/internal/decide/retry"
	"pistachioroad.dev/pistachioroad/internal/decide/route"
	"pistachioroad.dev/pistachioroad/internal/entry/call"
	"pistachioroad.dev/pistachioroad/internal/entry/links"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

const (
	// defaultOutputCost is the work of an output token in prompt tokens, until
	// engines report their rates.
	defaultOutputCost = 4.0
	// noServerRetryAfter is what a caller is told when no backend server takes
	// its request: about the time of a change of roles.
	noServerRetryAfter = 2 * time.Second
	// changeRetryIn is when a request that waits for a planned change asks for a
	// route again.
	changeRetryIn = 100 * time.Millisecond
	// typicalAnswer is the part of the output limit that an answer uses.
	typicalAnswer = 0.5
)

// admit decides whether the request is let in.
func (s *state) admit(now time.Time, r *Request) *verdict.Error {
	candidates := s.candidates(now, r)
	picture := s.admission(r, candidates)
	if r.Keyed {
		// Its owner alone can run it; whether the others are busy says nothing.
		picture.Closed = false
	}
	r.cost = s.cost(r, candidates)
	decision := s.group(r).admitter.Decide(now, admit.Request{
		Caller:     r.Caller,
		CostTokens: r.cost,
		Deadline:   r.Deadline.Sub(now),
		RunTime:    s.runTime(r, candidates),
		Class:      r.Class,
		Service:    r.Service,
	}, picture)
	why := fmt.Sprintf("%s; queue %v, %d backend servers", decision.Reason,
		picture.QueueWait.Round(time.Millisecond), len(candidates))
	if decision.Admit {
		s.explain(now, r.ID, "admitted", why)
		return nil
	}
	s.explain(now, r.ID, "refused", why)
	return verdict.Refused(codeOf(decision.Reason), decision.Reason.String(), decision.RetryAfter)
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

// admission sums up the candidates: a request is routed to the shortest queue.
func (s *state) admission(r *Request, candidates []route.Candidate) admit.Picture {
	picture := admit.Picture{Closed: true}
	for _, c := range candidates {
		if !serves(r, c) {
			continue
		}
		wait := route.WaitScorer{}.Score(s.request(r, firstRole(c), nil), c)
		if picture.Closed || wait < picture.QueueWait {
			picture.QueueWait = wait
		}
		picture.Closed = false
		picture.DrainRate += c.Load.PrefillRate
	}
	return picture
}

// firstRole is the work that a request asks an engine for first.
func firstRole(c route.Candidate) route.Role {
	if c.Role == route.Decode {
		return route.Decode
	}
	return route.Prefill
}

func serves(r *Request, c route.Candidate) bool {
	return c.Model == r.Model && route.AdmittingFilter{}.Keep(route.Request{}, c)
}

// cost is the request's work in prompt tokens, or 1 for a call.
func (s *state) cost(r *Request, candidates []route.Candidate) int {
	if r.Model == "" {
		return 1
	}
	ratio := defaultOutputCost
	for _, c := range candidates {
		if c.Load.PrefillRate > 0 && c.Load.DecodeRate > 0 {
			ratio = c.Load.PrefillRate / c.Load.DecodeRate
			break
		}
	}
	return r.PromptTokens + int(ratio*typicalAnswer*float64(r.OutputTokens))
}

// runTime is the least time that the request takes once it runs. The length of
// the answer is not known beforehand, so that of a model is left out.
func (s *state) runTime(r *Request, candidates []route.Candidate) time.Duration {
	best := time.Duration(0)
	for i, c := range candidates {
		took := s.expected(r, c)
		if i == 0 || took < best {
			best = took
		}
	}
	return best
}

// expected is what the request takes at c on an empty queue.
func (s *state) expected(r *Request, c route.Candidate) time.Duration {
	if r.Model != "" {
		return route.PrefillScorer{}.Score(s.request(r, route.Prefill, nil), c)
	}
	known := s.servers[c.Name]
	return time.Duration(known.load.GetServiceMs() * float64(time.Millisecond))
}

// route picks the backend server of an attempt.
func (s *state) route(now time.Time, r *Request, ask call.Route) call.Event {
	candidates := s.candidates(now, r)
	if r.Keyed {
		return s.routeKeyed(now, r, ask, candidates)
	}
	if err := s.allowRetry(now, r, ask, candidates); err != nil {
		return call.Unroutable{Attempt: ask.Attempt, Err: err}
	}
	picked, ok := s.pickAgain(r, ask, candidates)
	if !ok {
		return s.unroutable(now, r, ask, "no backend server admits the request", continues(ask))
	}
	first := picked.Server
	if picked.Prefill != "" {
		first = picked.Prefill
	}
	s.sent(now, r, first, candidates)
	s.explain(now, r.ID, "routed to "+picked.Server, picked.why)
	return call.Routed{Attempt: ask.Attempt, Server: picked.Server, Prefill: picked.Prefill}
}

// continues reports whether the attempt goes on with one that a change or a
// fault of its backend server ended.
func continues(ask call.Route) bool {
	return ask.Resume || ask.Retry != nil && ask.Retry.Planned
}

// pickAgain picks. An answer that has begun rather goes back to a backend
// server that failed it than be broken off.
func (s *state) pickAgain(r *Request, ask call.Route, candidates []route.Candidate) (picked, bool) {
	p, ok := s.pick(r, ask, candidates)
	if ok || !continues(ask) {
		return p, ok
	}
	ask.Excluded = nil
	return s.pick(r, ask, candidates)
}

// allowRetry asks the retry budget. An attempt that never left this process
// has cost no backend server anything and needs none, and one that a planned
// change ended is no failure.
func (s *state) allowRetry(now time.Time, r *Request, ask call.Route, candidates []route.Candidate) *verdict.Error {
	if ask.Retry == nil || !ask.Retry.Sent || ask.Retry.Planned {
		return nil
	}
	allowed := s.group(r).budget.Allow(now, retry.Attempt{
		NotRun:     ask.Retry.NotRun,
		Idempotent: r.Idempotent,
		CostTokens: r.cost,
		Remaining:  ask.Remaining,
		RunTime:    s.runTime(r, candidates),
	})
	if allowed {
		return nil
	}
	s.explain(now, r.ID, "not tried again", "the retry budget is spent or the deadline too near")
	return verdict.Refused(verdict.CodeOverloaded, "too many requests fail to try this one again", noServerRetryAfter)
}

// picked is the outcome of a pick.
type picked struct {
	Server, Prefill string
	why             string
}

// pick chooses one backend server, or a pair where prefill and decode are
// split: the prefill engine fills a KV cache that the decode engine imports.
func (s *state) pick(r *Request, ask call.Route, candidates []route.Candidate) (picked, bool) {
	if r.Model == "" {
		return s.pickOne(r, "", ask, candidates)
	}
	if ask.Resume {
		return s.pickOne(r, route.Decode, ask, candidates)
	}
	first, ok := s.pickOne(r, route.Prefill, ask, candidates)
	if !ok {
		return s.pickOne(r, route.Decode, ask, candidates)
	}
	if roleOf(candidates, first.Server) != route.Prefill {
		return first, true
	}
	second, ok := s.pickOne(r, route.Decode, ask, candidates)
	if !ok {
		return picked{}, false
	}
	return picked{
		Server:  second.Server,
		Prefill: first.Server,
		why:     "prefill at " + first.Server + ": " + first.why + "; decode: " + second.why,
	}, true
}

func (s *state) pickOne(r *Request, role route.Role, ask call.Route, candidates []route.Candidate) (picked, bool) {
	decision, ok := route.Pick(s.rng, s.request(r, role, ask.Excluded), candidates)
	return picked{Server: decision.Name, why: decision.Why}, ok
}

func roleOf(candidates []route.Candidate, name string) route.Role {
	for _, c := range candidates {
		if c.Name == name {
			return c.Role
		}
	}
	return ""
}

// sent notes the request at the backend server that gets it first.
func (s *state) sent(now time.Time, r *Request, server string, candidates []route.Candidate) {
	tokens := r.PromptTokens
	for _, c := range candidates {
		if c.Name == server {
			tokens = max(1, tokens-route.PieceTokens*c.CachedPieces)
		}
	}
	s.picture.Sent(now, server, r.ID, tokens)
	s.prefix.Sent(now, server, r.Pieces)
}

// routeKeyed goes to the owner of the key's slot. Any other sidecar would
// refuse: two that ran the same key would run the call twice.
func (s *state) routeKeyed(now time.Time, r *Request, ask call.Route, candidates []route.Candidate) call.Event {
	slots := s.view.Slots(r.Service)
	if slots == 0 {
		return s.unroutable(now, r, ask, "the plan has no key slots for the service yet", false)
	}
	slot := int(r.KeyHash % uint64(slots))
	owner, ok := s.view.Owner(r.Service, slot)
	if !ok {
		return s.unroutable(now, r, ask, fmt.Sprintf("key slot %d has no owner", slot), true)
	}
	if s.isLeaving(owner) {
		return s.unroutable(now, r, ask, fmt.Sprintf("%s, owner of key slot %d, is leaving", owner, slot), true)
	}
	s.sent(now, r, owner, candidates)
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
		Err:     verdict.Refused(verdict.CodeNoBackend, why, noServerRetryAfter),
	}
	if wait {
		event.RetryIn = changeRetryIn
		why += "; asked again in " + changeRetryIn.String()
	}
	s.explain(now, r.ID, "not routed", why)
	return event
}

// attempted takes the outcome of one attempt.
func (s *state) attempted(now time.Time, r *Request, name string, o Outcome) {
	s.picture.Done(now, name, r.ID)
	if o.Refused {
		return
	}
	known, ok := s.servers[name]
	if !ok || known.load == nil {
		return
	}
	c := s.candidate(now, name, known, r)
	s.group(r).outliers.Observe(now, name, outlier.Observation{
		Took:     o.Took,
		Expected: s.expected(r, c),
		Failed:   o.Failed,
	})
}

// ended takes the end of an admitted request.
func (s *state) ended(now time.Time, r *Request, succeeded bool) {
	g := s.group(r)
	g.admitter.Finished(now, r.Caller, r.cost)
	if succeeded {
		g.budget.Succeeded(now, r.cost)
	}
}

func (s *state) explain(now time.Time, id, decision, why string) {
	s.config.Explain.Add(now, id, decision, why)
}

// Dump is the router's state for people.
type Dump struct {
	Servers map[string]ServerDump `json:"servers"`
	Pieces  int                   `json:"cached_pieces"`
	Groups  int                   `json:"groups"`
}

// ServerDump is one backend server in a Dump.
type ServerDump struct {
	Service   string        `json:"service"`
	Link      string        `json:"link"`
	Leaving   bool          `json:"leaving"`
	Admitting bool          `json:"admitting"`
	Role      string        `json:"role,omitempty"`
	Models    []string      `json:"models,omitempty"`
	Load      route.Load    `json:"load"`
	Age       time.Duration `json:"report_age_ns"`
}

// loads returns the last report of each backend server that sent one.
func (s *state) loads() map[string]Load {
	loads := make(map[string]Load, len(s.servers))
	for name, known := range s.servers {
		loads[name] = Load{At: known.loadAt, Load: known.load, Link: known.link, Drained: known.drained}
	}
	return loads
}

func (s *state) dump(now time.Time) Dump {
	d := Dump{Servers: map[string]ServerDump{}, Pieces: s.prefix.Len(), Groups: len(s.groups)}
	for name, known := range s.servers {
		load, age, _ := s.picture.Load(now, name)
		d.Servers[name] = ServerDump{
			Service:   known.vm.Service,
			Link:      known.link.String(),
			Leaving:   known.vm.Leaving,
			Admitting: known.load.GetAdmitting(),
			Role:      known.load.GetRole(),
			Models:    known.load.GetModels(),
			Load:      load,
			Age:       age,
		}
	}
	return d
}
