package retry

// Arrivals counts the arrivals of one request at backend servers, run or rejected. The
// first prefill that a server accepts is not counted. A prefill counts as rejected until it
// is known to be accepted, also if its outcome never becomes known.
type Arrivals struct {
	attempts        int
	prefillAccepted bool
}

// Begin counts an attempt, which is about to be sent.
func (a *Arrivals) Begin() { a.attempts++ }

// NotSent takes back an attempt of which no byte was sent.
func (a *Arrivals) NotSent() { a.attempts-- }

// PrefillAccepted records that a server has accepted a prefill.
func (a *Arrivals) PrefillAccepted() { a.prefillAccepted = true }

// Extra returns the number of extra attempts so far.
func (a *Arrivals) Extra() int { return a.ExtraAfter(0) }

// ExtraAfter returns the number of extra attempts after n more attempts.
func (a *Arrivals) ExtraAfter(n int) int {
	counted := a.attempts + n
	if a.prefillAccepted {
		counted--
	}
	return max(0, counted-1)
}

// ExtraAfterPrefill returns the number of extra attempts after a prefill and, if a server
// accepts it, a request to generate the answer.
func (a *Arrivals) ExtraAfterPrefill() int {
	if a.prefillAccepted {
		return a.ExtraAfter(2)
	}
	return a.ExtraAfter(1)
}
