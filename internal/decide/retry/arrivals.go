package retry

// Arrivals counts the arrivals of one request at backend servers, run or rejected. The
// first prefill that a server accepts is not counted. An attempt whose outcome is unknown
// counts as an arrival, and a prefill then counts as rejected.
type Arrivals struct {
	attempts        int
	pending         int
	prefillAccepted bool
}

// Outcome is what became of an attempt.
type Outcome uint8

// The outcomes.
const (
	// Arrived is that of an attempt which has, or may have, reached a server.
	Arrived Outcome = iota
	// NotSent is that of an attempt of which no byte was sent.
	NotSent
	// PrefillAccepted is that of a prefill which a server has accepted.
	PrefillAccepted
)

// Begin counts an attempt, which is about to be sent.
func (a *Arrivals) Begin() {
	a.attempts++
	a.pending++
}

// End records the outcome of an attempt.
func (a *Arrivals) End(o Outcome) {
	a.pending--
	switch o {
	case NotSent:
		a.attempts--
	case PrefillAccepted:
		a.prefillAccepted = true
	}
}

// Extra returns the number of extra attempts, including those whose outcome is pending.
func (a *Arrivals) Extra() int { return a.ExtraAfter(0) }

// Pending returns the number of attempts that have begun and not ended.
func (a *Arrivals) Pending() int { return a.pending }

// ExtraEnded returns the number of extra attempts among those that have ended. It never
// decreases.
func (a *Arrivals) ExtraEnded() int { return a.ExtraAfter(-a.pending) }

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
