package route

// AdmittingFilter drops candidates that drain, change or leave: work sent there
// would be refused, or cut.
type AdmittingFilter struct{}

// Keep implements Filter.
func (AdmittingFilter) Keep(_ Request, c Candidate) bool {
	return c.Admitting && !c.Leaving
}
