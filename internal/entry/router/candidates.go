package router

import (
	"slices"
	"strings"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/route"
	"pistachioroad.dev/pistachioroad/internal/decide/shift"
	"pistachioroad.dev/pistachioroad/internal/entry/links"
	"pistachioroad.dev/pistachioroad/internal/plan"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// candidates returns the backend servers of the request's service with their
// load, cached blocks and outlier weight for work of the given role.
func (s *state) candidates(now time.Time, r *Request, role route.Role) []route.Candidate {
	cached := map[string]int{}
	if role != route.Decode {
		cached = s.prefixIndex.CachedBlocks(now, r.PrefixBlocks)
	}
	outliers := s.group(r.group()).outlierDetector(role)
	candidates := make([]route.Candidate, 0, len(s.servers))
	for name, srv := range s.servers {
		if srv.vm.Service != r.Service || srv.load == nil {
			continue
		}
		c := s.candidate(srv, r)
		c.Name = name
		c.Load, _, _ = s.loadTracker(role).Load(now, name)
		c.CachedBlocks = cached[name]
		c.Weight = outliers.Weight(now, name)
		candidates = append(candidates, c)
	}
	// Map iteration order is random; the choice must depend on the seed only.
	slices.SortFunc(candidates, func(a, b route.Candidate) int { return strings.Compare(a.Name, b.Name) })
	return candidates
}

func (s *state) candidate(srv *server, r *Request) route.Candidate {
	row, _ := s.view.PlanRow(srv.vm.Name)
	c := route.Candidate{
		DataCentre: srv.vm.DataCentre,
		Service:    srv.vm.Service,
		Adapters:   row.Adapters,
		Admitting:  srv.load.GetAdmitting() && srv.link == links.Up && !srv.drained,
		Leaving:    srv.vm.Draining,
	}
	if r.Service != sharedstate.ServiceModels {
		return c
	}
	c.Role = route.Role(srv.load.GetRole())
	if c.Role == "" {
		c.Role = route.Mixed
	}
	if c.Role == route.Decode {
		c.MaxSpilloverPrompt = shift.DefaultMaxSpilloverPrompt
	}
	c.Model = servedModel(srv, row, r.Model)
	return c
}

// servedModel returns the model that the engine currently serves: the request's,
// if the engine reports it. For an engine that reports none it is the model in
// the plan, and without a plan the request's: the engine rejects a request for a
// model that it does not serve.
func servedModel(srv *server, row plan.Engine, model string) string {
	models := srv.load.GetModels()
	switch {
	case slices.Contains(models, model):
		return model
	case len(models) > 0:
		return models[0]
	case row.Model != "":
		return row.Model
	default:
		return model
	}
}

// pick is a chosen backend server and the candidate data that the choice was
// based on.
type pick struct {
	route.Decision
	candidate route.Candidate
}

// pickOne chooses a backend server for work of the given role.
func (s *state) pickOne(now time.Time, r *Request, role route.Role, excluded []string) (pick, bool) {
	candidates := s.candidates(now, r, role)
	decision, ok := route.Pick(s.rng, route.Request{
		Service:      r.Service,
		Model:        r.Model,
		Adapter:      r.Adapter,
		PromptTokens: r.PromptTokens,
		OutputTokens: r.OutputTokens,
		PrefixBlocks: r.PrefixBlocks,
		DataCentre:   s.config.DataCentre,
		Role:         role,
		Excluded:     excluded,
	}, candidates)
	p := pick{Decision: decision}
	for _, c := range candidates {
		if c.Name == decision.Name {
			p.candidate = c
		}
	}
	return p, ok
}

// firstRole returns the role for the first step of a request: prefill for a
// completion, none for a plain service.
func firstRole(r *Request) route.Role {
	if r.Model == "" {
		return ""
	}
	return route.Prefill
}

// uncachedTokens returns how many prompt tokens the chosen server has to prefill.
func (p pick) uncachedTokens(r *Request) int {
	return max(1, r.PromptTokens-route.KVBlockTokens*p.candidate.CachedBlocks)
}
