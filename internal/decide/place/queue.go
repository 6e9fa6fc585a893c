package place

import (
	"slices"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
)

// prefill is one prompt that an engine has to prefill.
type prefill struct {
	job  JobID
	work predict.PrefillWork
	// cumulativeWork is the work that was queued when it was sent, its own included,
	// and expectedTime how long it was expected to take.
	cumulativeWork predict.PrefillWork
	expectedTime   time.Duration
	sentAt         time.Time
	// unrepresentative is set if its duration is no sample of the engine's speed: it
	// waits for a slot, or the engine is stalled.
	unrepresentative bool
	// interrupted is set if the engine was silent meanwhile.
	interrupted bool
}

// queue is the prompts that an engine has to prefill, oldest first.
type queue struct {
	prefills []*prefill
	// work is the sum over all prefills, largest the work of the largest one.
	work, largest predict.PrefillWork
}

func (q *queue) empty() bool { return len(q.prefills) == 0 }

func (q *queue) oldest() *prefill {
	if q.empty() {
		return nil
	}
	return q.prefills[0]
}

func (q *queue) add(p *prefill) {
	q.prefills = append(q.prefills, p)
	q.count(p)
}

func (q *queue) count(p *prefill) {
	q.work = q.work.Plus(p.work)
	if p.work.Tokens > q.largest.Tokens {
		q.largest = p.work
	}
}

// recount recomputes the sums: subtracting from them would leave rounding errors.
func (q *queue) recount() {
	q.work, q.largest = predict.PrefillWork{}, predict.PrefillWork{}
	for _, p := range q.prefills {
		q.count(p)
	}
}

func (q *queue) index(id JobID) int {
	return slices.IndexFunc(q.prefills, func(p *prefill) bool { return p.job == id })
}

func (q *queue) find(id JobID) *prefill {
	i := q.index(id)
	if i < 0 {
		return nil
	}
	return q.prefills[i]
}

func (q *queue) remove(id JobID) *prefill {
	i := q.index(id)
	if i < 0 {
		return nil
	}
	p := q.prefills[i]
	q.prefills = append(q.prefills[:i], q.prefills[i+1:]...)
	q.recount()
	return p
}

// expire removes prefills that are overdue by prefillExpiry and reports whether there
// were any.
func (q *queue) expire(now time.Time) bool {
	remaining := q.prefills[:0]
	for _, p := range q.prefills {
		if now.Sub(p.sentAt) < p.expectedTime+prefillExpiry {
			remaining = append(remaining, p)
		}
	}
	if len(remaining) == len(q.prefills) {
		return false
	}
	clear(q.prefills[len(remaining):])
	q.prefills = remaining
	q.recount()
	return true
}
