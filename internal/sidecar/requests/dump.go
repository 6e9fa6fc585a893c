package requests

import "time"

// Dump is the state of a Table for operators.
type Dump struct {
	Admitting   bool   `json:"admitting"`
	Closed      string `json:"closed,omitempty"`
	Suspect     bool   `json:"suspect"`
	Claiming    int    `json:"claiming"`
	Queued      int    `json:"queued"`
	Running     int    `json:"running"`
	Slots       int    `json:"slots"`
	Records     int    `json:"records"`
	AnswerBytes int    `json:"kept_bytes"`
	// Requests lists the active requests, oldest first.
	Requests []RequestDump `json:"requests"`
}

// RequestDump is the state of an active request.
type RequestDump struct {
	ID      string `json:"id"`
	Attempt uint32 `json:"attempt"`
	Phase   string `json:"phase"`
	// Remaining is the time until the deadline.
	Remaining  string `json:"left"`
	Orphan     bool   `json:"orphan"`
	Cancelling bool   `json:"stopping"`
	Tokens     uint32 `json:"tokens"`
}

// Dump returns a copy of the table's state.
func (t *Table) Dump(now time.Time) Dump {
	d := Dump{
		Admitting:   t.Admitting(),
		Suspect:     t.suspect,
		Claiming:    len(t.byClaim),
		Queued:      t.queue.Len(),
		Running:     len(t.byRun),
		Slots:       t.cfg.Slots,
		Records:     len(t.ledger.records),
		AnswerBytes: t.ledger.answerBytes,
		Requests:    []RequestDump{},
	}
	if t.closedReason != nil {
		d.Closed = t.closedReason.Message
	}
	for _, r := range t.activeBySerial() {
		d.Requests = append(d.Requests, RequestDump{
			ID:         r.key.queueItemID(),
			Attempt:    r.attempt,
			Phase:      r.phase.String(),
			Remaining:  r.deadline.Sub(now).Round(time.Millisecond).String(),
			Orphan:     r.subscriber == nil,
			Cancelling: r.cancelling,
			Tokens:     r.answer.tokens,
		})
	}
	return d
}

func (p phase) String() string {
	return [...]string{"claiming", "queued", "running"}[p]
}
