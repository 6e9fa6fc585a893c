package route

import "slices"

// ExcludedFilter drops candidates that an earlier attempt has tried.
type ExcludedFilter struct{}

// Keep implements Filter.
func (ExcludedFilter) Keep(r Request, c Candidate) bool {
	return !slices.Contains(r.Excluded, c.Name)
}
