package route

import "slices"

// ExcludedFilter drops candidates that the request must not be sent to again.
type ExcludedFilter struct{}

// Keep implements Filter.
func (ExcludedFilter) Keep(r Request, c Candidate) bool {
	return !slices.Contains(r.Excluded, c.Name)
}
