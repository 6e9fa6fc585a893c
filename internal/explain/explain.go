// Package explain keeps a bounded log of decisions, so that operators can ask
// why a request or an engine was treated as it was.
package explain

import (
	"sync"
	"time"
)

// Record is one decision.
type Record struct {
	At time.Time `json:"at"`
	// Subject is a request id or the name of a backend server.
	Subject string `json:"subject"`
	// Decision says what was decided, Why from which inputs.
	Decision string `json:"decision"`
	Why      string `json:"why"`
}

// Log holds the newest records. Any goroutine may use it.
type Log struct {
	mu      sync.Mutex
	records []Record
	next    int
	full    bool
}

// New returns a Log for the newest size records.
func New(size int) *Log {
	return &Log{records: make([]Record, size)}
}

// Add appends a record and forgets the oldest when the log is full.
func (l *Log) Add(now time.Time, subject, decision, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records[l.next] = Record{At: now, Subject: subject, Decision: decision, Why: why}
	l.next = (l.next + 1) % len(l.records)
	l.full = l.full || l.next == 0
}

// About returns the records of a subject, the oldest first; of all subjects if
// it is empty.
func (l *Log) About(subject string) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := []Record{}
	for _, r := range l.inOrder() {
		if subject == "" || r.Subject == subject {
			found = append(found, r)
		}
	}
	return found
}

func (l *Log) inOrder() []Record {
	if !l.full {
		return l.records[:l.next]
	}
	return append(append([]Record(nil), l.records[l.next:]...), l.records[:l.next]...)
}
