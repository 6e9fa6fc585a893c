package loadplay

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/outlier"
	"pistachioroad.dev/pistachioroad/internal/decide/retry"
	"pistachioroad.dev/pistachioroad/internal/decide/route"
	"pistachioroad.dev/pistachioroad/internal/decide/shift"
)

// prefillFinished records the prefill time and moves the job to a decode engine.
func (e *entry) prefillFinished(j *job) {
	now := e.sim.now
	e.prefillLoads.RemoveRequest(now, j.prefill.name, j.id)
	e.outliers[route.Prefill].Observe(now, j.prefill.name, outlier.Observation{
		Took:     now.Sub(j.sentAt),
		Expected: max(j.expectedPrefill, minExpectedPrefill),
	})
	e.chooseDecode(j)
}

// minExpectedPrefill keeps the rounding to ticks from counting as a slowdown.
const minExpectedPrefill = 100 * time.Millisecond

// chooseDecode picks a decode engine for a prefilled job or a stream that leaves
// its engine, and transfers the KV cache.
func (e *entry) chooseDecode(j *job) {
	sim := e.sim
	if j.ended {
		return
	}
	d, ok := e.pick(j.call, route.Decode)
	if !ok {
		sim.after(decodeRetryDelay, func() { e.chooseDecode(j) })
		return
	}
	j.decode = sim.byName[d.Name]
	e.decodeLoads.AddRequest(sim.now, d.Name, j.id, 1)
	sim.after(time.Millisecond+time.Duration(j.kvBlocks())*blockTransferTime, func() { sim.enqueueDecode(j) })
}

// decodeRetryDelay is the delay before a job without a decode engine retries.
const decodeRetryDelay = 50 * time.Millisecond

func (e *entry) firstToken(j *job) {
	e.decodeLoads.RemoveRequest(e.sim.now, j.decode.name, j.id)
	j.startedAt = e.sim.now
	if j.call.firstTokenAt.IsZero() {
		j.call.firstTokenAt = e.sim.now
	}
}

// completed handles a complete answer. It is in time, since a call is cancelled
// at its deadline.
func (e *entry) completed(j *job) {
	now := e.sim.now
	if j.req.Service == Lookups {
		j.call.firstTokenAt = now
		e.prefillLoads.RemoveRequest(now, j.prefill.name, j.id)
		e.outliers[""].Observe(now, j.prefill.name, outlier.Observation{Took: now.Sub(j.sentAt), Expected: plainTime})
	}
	e.retryBudget.Succeeded(now, j.call.costTokens)
	e.endCall(j.call, outcomeGood)
}

// observeInterTokenLatency feeds the outlier detector the inter-token latency of
// running streams. With observations at the end of streams only, a slow engine
// would be detected after a whole batch had missed its deadlines.
func (e *entry) observeInterTokenLatency() {
	latencies := make(map[string]time.Duration)
	for _, s := range e.sim.servers {
		for _, j := range s.streams {
			if j.entry == e {
				latencies[s.name] = s.stepTime()
			}
		}
	}
	for _, s := range e.sim.servers {
		if latency, ok := latencies[s.name]; ok {
			e.outliers[route.Decode].Observe(e.sim.now, s.name, outlier.Observation{
				Took:     max(latency, shift.DefaultMaxInterTokenLatency),
				Expected: shift.DefaultMaxInterTokenLatency,
			})
		}
	}
}

// rejected handles a rejection by a sidecar: the job has not run.
func (e *entry) rejected(j *job) {
	e.endAttempt(j)
	e.retryElsewhere(j, true)
}

// failed handles an attempt that failed after it had started.
func (e *entry) failed(j *job) {
	e.endAttempt(j)
	e.outliers[route.Prefill].Observe(e.sim.now, j.prefill.name, outlier.Observation{Failed: true})
	e.retryElsewhere(j, false)
}

// retryElsewhere sends a call to another server if the retry budget allows it.
// Drafts are idempotent.
func (e *entry) retryElsewhere(j *job, notRun bool) {
	c := j.call
	if c.finished {
		return
	}
	c.excluded = append(c.excluded, j.prefill.name)
	allowed := e.retryBudget.Allow(e.sim.now, retry.Attempt{
		NotRun:     notRun,
		Idempotent: true,
		CostTokens: c.costTokens,
		Remaining:  c.deadline.Sub(e.sim.now),
	})
	d, ok := e.pick(c, prefillRole(c.req))
	if !allowed || !ok {
		e.endCall(c, outcomeFailed)
		return
	}
	e.sim.result.retriedTokens += c.costTokens
	e.send(c, d)
}

// requeue moves a job that was queued at a server which changes its role. This
// does not count against the retry budget, since nothing failed.
func (e *entry) requeue(j *job) {
	if j.ended {
		return
	}
	if j.decode != nil {
		e.chooseDecode(j)
		return
	}
	e.endAttempt(j)
	d, ok := e.pick(j.call, prefillRole(j.req))
	if !ok {
		e.endCall(j.call, outcomeFailed)
		return
	}
	e.send(j.call, d)
}

// removedFromQueue ends the call of a job that a sidecar removed from its queue.
func (e *entry) removedFromQueue(j *job, o outcome) {
	e.endCall(j.call, o)
}

// deadlineExpired cancels a call that has not finished by its deadline.
func (e *entry) deadlineExpired(c *call) {
	if !c.finished {
		e.endCall(c, outcomeLate)
	}
}

// endAttempt removes the job from its servers and load trackers and adds its work
// to that of the call.
func (e *entry) endAttempt(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	e.sim.removeJob(j)
	delete(e.sim.jobs, j.id)
	e.prefillLoads.RemoveRequest(e.sim.now, j.prefill.name, j.id)
	if j.decode != nil {
		e.decodeLoads.RemoveRequest(e.sim.now, j.decode.name, j.id)
	}
	j.call.work += j.work
}

func (e *entry) endCall(c *call, o outcome) {
	if c.finished {
		return
	}
	c.finished = true
	e.endAttempt(c.job)
	if e.sim.policy.Admission {
		e.admitters[c.req.Service].Finished(e.sim.now, c.req.Caller, c.costTokens)
	}
	e.sim.result.addOutcome(c, o)
}
