// Package explain keeps a bounded in-memory log of decisions, so that operators
// can find out why a request was routed or an engine was assigned as it was.
package explain

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
)

const (
	// maxRecordsPerSubject bounds the records of one subject. A request has only
	// a few; an engine whose planned role flaps may get one each second.
	maxRecordsPerSubject = 64
	// maxOtherRecords bounds the records of subjects that are not requests. They
	// are few: an engine gets one only when its wanted state changes.
	maxOtherRecords = 8192
)

// Record is one decision.
type Record struct {
	At time.Time `json:"at"`
	// Subject is a request id or the name of a backend server.
	Subject string `json:"subject"`
	// Decision is what was decided, and Reason the inputs that led to it.
	Decision string `json:"decision"`
	Reason   string `json:"why"`
}

// Log holds the newest records. It is safe for concurrent use.
//
// Records of requests are kept separately from all others: otherwise thousands
// of requests a minute would evict the only record that explains why an engine
// changed its role an hour ago.
type Log struct {
	mu       sync.Mutex
	requests *boundedLog
	others   *boundedLog
}

// New returns a Log that keeps size records about requests, but no fewer than
// maxRecordsPerSubject, and maxOtherRecords records about everything else.
func New(size int) *Log {
	return &Log{
		requests: newBoundedLog(max(size, maxRecordsPerSubject)),
		others:   newBoundedLog(maxOtherRecords),
	}
}

// Add appends a record. A subject that is a UUID is taken as a request id.
func (l *Log) Add(now time.Time, subject, decision, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logFor(subject).add(Record{At: now, Subject: subject, Decision: decision, Reason: reason})
}

// RecordsFor returns the records of subject, oldest first, or those of all subjects
// if subject is empty.
func (l *Log) RecordsFor(subject string) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	if subject != "" {
		return l.logFor(subject).recordsFor(subject)
	}
	all := append(l.requests.all(), l.others.all()...)
	slices.SortStableFunc(all, func(a, b Record) int { return a.At.Compare(b.At) })
	return all
}

func (l *Log) logFor(subject string) *boundedLog {
	if uuid.Validate(subject) == nil {
		return l.requests
	}
	return l.others
}

// boundedLog holds at most size records. It drops the oldest records of a subject
// that has more than maxRecordsPerSubject. When full, it evicts all records of
// the least recently updated subject.
type boundedLog struct {
	size     int
	count    int
	subjects map[string]*list.Element
	// byLastUpdate has a *history for each subject, the most recently updated at
	// the back.
	byLastUpdate *list.List
}

// history holds the records of one subject.
type history struct {
	subject string
	records []Record
}

func newBoundedLog(size int) *boundedLog {
	return &boundedLog{size: size, subjects: map[string]*list.Element{}, byLastUpdate: list.New()}
}

func (s *boundedLog) add(r Record) {
	h := s.historyOf(r.Subject)
	h.records = append(h.records, r)
	s.count++
	if len(h.records) > maxRecordsPerSubject {
		h.records = slices.Delete(h.records, 0, 1)
		s.count--
	}
	for s.count > s.size {
		s.evictOldest()
	}
}

// historyOf returns the history of a subject, which it creates if needed, and
// marks it as the most recently updated.
func (s *boundedLog) historyOf(subject string) *history {
	element, known := s.subjects[subject]
	if !known {
		element = s.byLastUpdate.PushBack(&history{subject: subject})
		s.subjects[subject] = element
	}
	s.byLastUpdate.MoveToBack(element)
	return element.Value.(*history)
}

func (s *boundedLog) evictOldest() {
	oldest := s.byLastUpdate.Remove(s.byLastUpdate.Front()).(*history)
	delete(s.subjects, oldest.subject)
	s.count -= len(oldest.records)
}

func (s *boundedLog) recordsFor(subject string) []Record {
	element, known := s.subjects[subject]
	if !known {
		return []Record{}
	}
	return slices.Clone(element.Value.(*history).records)
}

func (s *boundedLog) all() []Record {
	all := make([]Record, 0, s.count)
	for element := s.byLastUpdate.Front(); element != nil; element = element.Next() {
		all = append(all, element.Value.(*history).records...)
	}
	return all
}
