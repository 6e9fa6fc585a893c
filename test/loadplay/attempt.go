package loadplay

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/outlier"
	"pistachioroad.dev/pistachioroad/internal/decide/retry"
	"pistachioroad.dev/pistachioroad/internal/decide/route"
	"pistachioroad.dev/pistachioroad/internal/decide/shift"
)

// prefilled moves a job on to its decode engine.
func (e *entry) prefilled(j *job) {
	now := e.play.now
	e.prefills.RemoveRequest(now, j.prefill.name, j.id)
	e.outliers[route.Prefill].Observe(now, j.prefill.name, outlier.Observation{
		Took:     now.Sub(j.sent),
		Expected: max(j.expected, minExpected),
	})
	e.chooseDecode(j)
}

// minExpected keeps a tick's rounding from looking like slowness.
const minExpected = 100 * time.Millisecond

// chooseDecode picks a decode engine for a prefilled job or a moving stream and
// transfers its KV cache.
func (e *entry) chooseDecode(j *job) {
	p := e.play
	if j.done {
		return
	}
	d, ok := e.pick(j.call, route.Decode)
	if !ok {
		p.after(retryDecode, func() { e.chooseDecode(j) })
		return
	}
	j.decode = p.byName[d.Name]
	e.decodes.AddRequest(p.now, d.Name, j.id, 1)
	p.after(time.Millisecond+time.Duration(j.pieces())*transferPiece, func() { p.pushDecode(j) })
}

// retryDecode is how soon a job without a decode engine looks again.
const retryDecode = 50 * time.Millisecond

func (e *entry) firstToken(j *job) {
	e.decodes.RemoveRequest(e.play.now, j.decode.name, j.id)
	j.begun = e.play.now
	if j.call.first.IsZero() {
		j.call.first = e.play.now
	}
}

// finished is the end of a whole answer; one past its deadline was cancelled
// before.
func (e *entry) finished(j *job) {
	now := e.play.now
	if j.req.Service == Lookups {
		j.call.first = now
		e.prefills.RemoveRequest(now, j.prefill.name, j.id)
		e.outliers[""].Observe(now, j.prefill.name, outlier.Observation{Took: now.Sub(j.sent), Expected: plainTime})
	}
	e.budget.Succeeded(now, j.call.cost)
	e.end(j.call, outcomeGood)
}

// watchGaps compares the decode engines by the time between tokens, while
// streams run: by their ends, a slow engine would be known only after it has
// made a whole batch late.
func (e *entry) watchGaps() {
	gaps := make(map[string]time.Duration)
	for _, s := range e.play.servers {
		for _, j := range s.streams {
			if j.entry == e {
				gaps[s.name] = s.step()
			}
		}
	}
	for _, s := range e.play.servers {
		if gap, ok := gaps[s.name]; ok {
			e.outliers[route.Decode].Observe(e.play.now, s.name, outlier.Observation{
				Took:     max(gap, shift.DefaultMaxInterTokenLatency),
				Expected: shift.DefaultMaxInterTokenLatency,
			})
		}
	}
}

// refused is a sidecar's refusal: the job has not run.
func (e *entry) refused(j *job) {
	e.forget(j)
	e.again(j, true)
}

// broken is an attempt that broke off part-way.
func (e *entry) broken(j *job) {
	e.forget(j)
	e.outliers[route.Prefill].Observe(e.play.now, j.prefill.name, outlier.Observation{Failed: true})
	e.again(j, false)
}

// again sends a failed call elsewhere, if the budget allows it. Drafts are
// idempotent.
func (e *entry) again(j *job, notRun bool) {
	c := j.call
	if c.ended {
		return
	}
	c.excluded = append(c.excluded, j.prefill.name)
	allowed := e.budget.Allow(e.play.now, retry.Attempt{
		NotRun:     notRun,
		Idempotent: true,
		CostTokens: c.cost,
		Remaining:  c.deadline.Sub(e.play.now),
	})
	d, ok := e.pick(c, prefillRole(c.req))
	if !allowed || !ok {
		e.end(c, outcomeFailed)
		return
	}
	e.play.result.retried += c.cost
	e.send(c, d)
}

// handedBack is a job that waited at a server which now changes: it goes on
// elsewhere, at no cost to the retry budget, because nothing failed.
func (e *entry) handedBack(j *job) {
	if j.done {
		return
	}
	if j.decode != nil {
		e.chooseDecode(j)
		return
	}
	e.forget(j)
	d, ok := e.pick(j.call, prefillRole(j.req))
	if !ok {
		e.end(j.call, outcomeFailed)
		return
	}
	e.send(j.call, d)
}

// lost is a job that a sidecar took out of its queue.
func (e *entry) lost(j *job, o outcome) {
	e.end(j.call, o)
}

// deadline cancels what has not finished.
func (e *entry) deadline(c *call) {
	if !c.ended {
		e.end(c, outcomeLate)
	}
}

// forget ends an attempt.
func (e *entry) forget(j *job) {
	if j.done {
		return
	}
	j.done = true
	e.play.drop(j)
	delete(e.play.jobs, j.id)
	e.prefills.RemoveRequest(e.play.now, j.prefill.name, j.id)
	if j.decode != nil {
		e.decodes.RemoveRequest(e.play.now, j.decode.name, j.id)
	}
	j.call.work += j.work
}

func (e *entry) end(c *call, o outcome) {
	if c.ended {
		return
	}
	c.ended = true
	e.forget(c.job)
	if e.play.policy.Admission {
		e.admits[c.req.Service].Finished(e.play.now, c.req.Caller, c.cost)
	}
	e.play.result.end(c, o)
}
