package retry

// Arrivals counts the arrivals of one request at backend servers, run or rejected. The
// first prefill that a server accepts is not counted once the request has been sent for
// generation; until then the first arrival is not counted, whatever it is. An attempt whose
// outcome is unknown counts as an arrival, and a prefill then counts as rejected.
type Arrivals struct {
	ended, pending  counts
	prefillAccepted bool
}

// counts are numbers of attempts.
type counts struct{ sends, prefills int }

// Kind is the kind of an attempt.
type Kind uint8

// The kinds.
const (
	// Send is a request for the answer.
	Send Kind = iota
	// Prefill is a request for a prefill only.
	Prefill
)

func (c *counts) add(k Kind, n int) {
	if k == Prefill {
		c.prefills += n
		return
	}
	c.sends += n
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
func (a *Arrivals) Begin(k Kind) { a.pending.add(k, 1) }

// End records the outcome of an attempt.
func (a *Arrivals) End(k Kind, o Outcome) {
	a.pending.add(k, -1)
	if o == NotSent {
		return
	}
	a.ended.add(k, 1)
	a.prefillAccepted = a.prefillAccepted || o == PrefillAccepted
}

// EndAll records all pending attempts as arrived but for n of them.
func (a *Arrivals) EndAll(but int) {
	for a.Pending() > but {
		k := Send
		if a.pending.sends == 0 {
			k = Prefill
		}
		a.End(k, Arrived)
	}
}

// Extra returns the number of extra attempts, including those whose outcome is pending.
func (a *Arrivals) Extra() int { return a.extra(a.all(), a.prefillAccepted) }

// Pending returns the number of attempts that have begun and not ended.
func (a *Arrivals) Pending() int { return a.pending.sends + a.pending.prefills }

// ExtraEnded returns the number of extra attempts among those that have ended. It never
// decreases.
func (a *Arrivals) ExtraEnded() int { return a.extra(a.ended, a.prefillAccepted) }

// ExtraAfterSend returns the number of extra attempts after one more request for the answer.
func (a *Arrivals) ExtraAfterSend() int {
	after := a.all()
	after.sends++
	return a.extra(after, a.prefillAccepted)
}

// ExtraAfterPrefill returns the number of extra attempts after a prefill and, if a server
// accepts it, a request to generate the answer.
func (a *Arrivals) ExtraAfterPrefill() int {
	after := a.all()
	after.prefills++
	after.sends++
	return a.extra(after, true)
}

func (a *Arrivals) all() counts {
	return counts{sends: a.ended.sends + a.pending.sends, prefills: a.ended.prefills + a.pending.prefills}
}

func (a *Arrivals) extra(c counts, prefillAccepted bool) int {
	counted := c.sends + c.prefills
	if prefillAccepted && c.sends > 0 {
		counted--
	}
	return max(0, counted-1)
}
