package route

// AdmittingFilter drops candidates that do not admit requests or are leaving:
// they would reject the request or abort it.
type AdmittingFilter struct{}

// Keep implements Filter.
func (AdmittingFilter) Keep(_ Request, c Candidate) bool {
	return c.Admitting && !c.Leaving
}
