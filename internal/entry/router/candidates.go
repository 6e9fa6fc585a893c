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

// candidates returns the backend servers of the request's service as the
// decisions see them, for the work of a role.
func (s *state) candidates(now time.Time, r *Request, role route.Role) []route.Candidate {
	cached := map[string]int{}
	if role != route.Decode {
		cached = s.prefix.CachedBlocks(now, r.PrefixBlocks)
	}
	outliers := s.group(r.group()).outlier(role)
	candidates := make([]route.Candidate, 0, len(s.servers))
	for name, known := range s.servers {
		if known.vm.Service != r.Service || known.load == nil {
			continue
		}
		c := s.candidate(known, r)
		c.Name = name
		c.Load, _, _ = s.picture(role).Load(now, name)
		c.CachedBlocks = cached[name]
		c.Weight = outliers.Weight(now, name)
		candidates = append(candidates, c)
	}
	// The order of a map is random; the choice must depend on the seed alone.
	slices.SortFunc(candidates, func(a, b route.Candidate) int { return strings.Compare(a.Name, b.Name) })
	return candidates
}

func (s *state) candidate(known *server, r *Request) route.Candidate {
	row, _ := s.view.PlanRow(known.vm.Name)
	c := route.Candidate{
		DataCentre: known.vm.DataCentre,
		Service:    known.vm.Service,
		Adapters:   row.Adapters,
		Admitting:  known.load.GetAdmitting() && known.link == links.Up && !known.drained,
		Leaving:    known.vm.Leaving,
	}
	if r.Service != sharedstate.ServiceModels {
		return c
	}
	c.Role = route.Role(known.load.GetRole())
	if c.Role == "" {
		c.Role = route.Mixed
	}
	if c.Role == route.Decode {
		c.MaxSpilloverPrompt = shift.DefaultMaxSpilloverPrompt
	}
	c.Model = modelOf(known, row, r.Model)
	return c
}

// modelOf returns the model that the engine serves now: the request's, if the
// engine reports it. An engine that reports none serves what the plan says;
// without a plan it is asked, and refuses what it does not serve.
func modelOf(known *server, row plan.Engine, model string) string {
	models := known.load.GetModels()
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

// pick is one choice of a backend server and what it was made on.
type pick struct {
	route.Decision
	candidate route.Candidate
}

// pickOne chooses a backend server for the work of a role.
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

// firstRole is the work that a request asks for first.
func firstRole(r *Request) route.Role {
	if r.Model == "" {
		return ""
	}
	return route.Prefill
}

// uncached is the prompt that p still has to read.
func (p pick) uncached(r *Request) int {
	return max(1, r.PromptTokens-route.KVBlockTokens*p.candidate.CachedBlocks)
}
