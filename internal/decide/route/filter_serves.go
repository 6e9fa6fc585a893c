package route

import "slices"

// ServesFilter keeps candidates that serve the request's service, model,
// adapter and role.
type ServesFilter struct{}

// Keep implements Filter.
func (ServesFilter) Keep(r Request, c Candidate) bool {
	if r.Service != c.Service || r.Model != c.Model {
		return false
	}
	if r.Adapter != "" && !slices.Contains(c.Adapters, r.Adapter) {
		return false
	}
	return servesRole(r, c)
}

func servesRole(r Request, c Candidate) bool {
	if r.Role == "" || c.Role == r.Role || c.Role == Mixed {
		return true
	}
	spills := r.Role == Prefill && c.Role == Decode
	return spills && c.MaxSpilloverPrompt > 0 && uncached(r, c) <= c.MaxSpilloverPrompt
}
