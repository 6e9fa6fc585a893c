package place

import (
	"slices"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
)

// read is one prompt that an engine reads.
type read struct {
	job  JobID
	work predict.PrefillWork
	// before is the work that stood before its end when it was sent, its own
	// included, and expected how long it was to take.
	before   predict.PrefillWork
	expected time.Duration
	sent     time.Time
	// poisoned says that the time it takes tells nothing of the engine: it
	// waits for a slot, or for an engine that hangs.
	poisoned bool
}

// queue is the prompts that an engine has to read, oldest first.
type queue struct {
	reads []*read
	// work is that of all reads, longest that of the largest one.
	work, longest predict.PrefillWork
}

func (q *queue) empty() bool { return len(q.reads) == 0 }

func (q *queue) oldest() *read {
	if q.empty() {
		return nil
	}
	return q.reads[0]
}

func (q *queue) add(r *read) {
	q.reads = append(q.reads, r)
	q.count(r)
}

func (q *queue) count(r *read) {
	q.work = q.work.Plus(r.work)
	if r.work.Tokens > q.longest.Tokens {
		q.longest = r.work
	}
}

// recount adds the work up anew: differences of large and small numbers would
// leave a rest.
func (q *queue) recount() {
	q.work, q.longest = predict.PrefillWork{}, predict.PrefillWork{}
	for _, r := range q.reads {
		q.count(r)
	}
}

func (q *queue) index(id JobID) int {
	return slices.IndexFunc(q.reads, func(r *read) bool { return r.job == id })
}

func (q *queue) find(id JobID) *read {
	i := q.index(id)
	if i < 0 {
		return nil
	}
	return q.reads[i]
}

func (q *queue) remove(id JobID) *read {
	i := q.index(id)
	if i < 0 {
		return nil
	}
	r := q.reads[i]
	q.reads = append(q.reads[:i], q.reads[i+1:]...)
	q.recount()
	return r
}

// expire drops reads that are readTTL overdue and reports whether there were any.
func (q *queue) expire(now time.Time) bool {
	kept := q.reads[:0]
	for _, r := range q.reads {
		if now.Sub(r.sent) < r.expected+readTTL {
			kept = append(kept, r)
		}
	}
	if len(kept) == len(q.reads) {
		return false
	}
	clear(q.reads[len(kept):])
	q.reads = kept
	q.recount()
	return true
}
