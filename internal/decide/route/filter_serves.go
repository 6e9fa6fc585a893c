package route

import "slices"

// ServesFilter keeps candidates that serve the service, model, adapter and role
// of the request.
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
	spillover := r.Role == Prefill && c.Role == Decode
	return spillover && c.MaxSpilloverPrompt > 0 && uncached(r, c) <= c.MaxSpilloverPrompt
}
