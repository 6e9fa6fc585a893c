package requests

import "time"

// Dump is the state of a Table for operators.
type Dump struct {
	Admitting bool   `json:"admitting"`
	Closed    string `json:"closed,omitempty"`
	Suspect   bool   `json:"suspect"`
	Claiming  int    `json:"claiming"`
	Queued    int    `json:"queued"`
	Running   int    `json:"running"`
	Slots     int    `json:"slots"`
	Records   int    `json:"records"`
	KeptBytes int    `json:"kept_bytes"`
	// Requests are those without outcome, the oldest first.
	Requests []RequestDump `json:"requests"`
}

// RequestDump is one request without outcome.
type RequestDump struct {
	ID      string `json:"id"`
	Attempt uint32 `json:"attempt"`
	Phase   string `json:"phase"`
	// Left is the time to the deadline.
	Left     string `json:"left"`
	Orphan   bool   `json:"orphan"`
	Stopping bool   `json:"stopping"`
	Tokens   uint32 `json:"tokens"`
}

// Dump returns a copy of the state.
func (t *Table) Dump(now time.Time) Dump {
	d := Dump{
		Admitting: t.Admitting(),
		Suspect:   t.suspect,
		Claiming:  len(t.claims),
		Queued:    t.queue.Len(),
		Running:   len(t.runs),
		Slots:     t.cfg.Slots,
		Records:   len(t.ledger.records),
		KeptBytes: t.ledger.keptBytes,
		Requests:  []RequestDump{},
	}
	if t.closed != nil {
		d.Closed = t.closed.Message
	}
	for _, r := range t.inOrder() {
		d.Requests = append(d.Requests, RequestDump{
			ID:       r.key.item(),
			Attempt:  r.attempt,
			Phase:    r.phase.String(),
			Left:     r.deadline.Sub(now).Round(time.Millisecond).String(),
			Orphan:   r.stream == nil,
			Stopping: r.stopping,
			Tokens:   r.answer.tokens,
		})
	}
	return d
}

func (p phase) String() string {
	return [...]string{"claiming", "queued", "running"}[p]
}
