package place

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
	"pistachioroad.dev/pistachioroad/internal/request"
)

// job is a request placed on engines. It has pointers to engines instead of their IDs:
// the end of a job must not lower the load of a restarted engine.
type job struct {
	// prefillEngine and decodeEngine are nil if the engine was unknown.
	prefillEngine, decodeEngine *engine
	prefilling                  bool
	// prefilledAt is when the prefill ended; zero if the end was not seen here or the
	// answer has moved to another decode engine since.
	prefilledAt time.Time
	// addedSegments were added to prefillEngine's estimated cache by this job, and
	// handoverSegments are added to decodeEngine's after the prefill.
	addedSegments, handoverSegments []request.Segment
	// kvTransfer is the planned KV transfer time, and handoverBacklog the queue delay
	// at decodeEngine when the prefill ended.
	kvTransfer, handoverBacklog time.Duration
	// contextTokens is the size of its context at placement, and streamStart when its
	// stream was counted at decodeEngine.
	contextTokens int
	streamStart   time.Time
	// answer is what is known of the answer, and delayCostRate its share of
	// decodeEngine's.
	answer        predict.Answer
	delayCostRate float64
	// deadline is when its caller times out.
	deadline time.Time
}

// AddPlacement records that a request is placed as planned.
func (f *Fleet) AddPlacement(now time.Time, p Placement) {
	f.JobFinished(now, p.ID)
	f.placementCount++
	prefillEngine, ok := f.engines[p.Plan.PrefillEngine]
	if !ok {
		return
	}
	tokens := f.contextTokens(p.Prompt)
	work := predict.NewPrefillWork(tokens, p.Plan.CachedTokens)
	f.meanPrefillTokens += meanPrefillGain * (work.Tokens - f.meanPrefillTokens)
	prefillEngine.addPrefill(now, &prefill{job: p.ID, work: work, sentAt: now})
	added := prefillEngine.cache.touch(p.Prompt.Segments)
	j := &job{prefillEngine: prefillEngine, prefilling: true, addedSegments: added, contextTokens: tokens, answer: answerOf(p.Prompt), deadline: now.Add(p.Remaining)}
	f.jobs[p.ID] = j
	if d, ok := f.engines[p.Plan.DecodeEngine]; ok {
		f.moveStream(now, j, d)
		f.recordExpectedMiss(now, d, j.answer, p.Remaining)
		if p.Plan.Split() {
			j.handoverSegments = p.Prompt.Segments
			d.handovers.add(now)
			j.kvTransfer = f.kvTransferTime(p.Prompt, prefillEngine, d)
		}
	}
}

// SetDecodeEngine records that another engine than planned generates a job's answer.
func (f *Fleet) SetDecodeEngine(now time.Time, id JobID, decodeEngine string) {
	if j, ok := f.jobs[id]; ok {
		f.moveStream(now, j, f.engines[decodeEngine])
		j.prefilledAt = time.Time{}
		if j.decodeEngine != nil {
			j.decodeEngine.handovers.add(now)
			j.decodeEngine.cache.touch(j.handoverSegments)
		}
	}
}

// moveStream counts the job's stream at d, or nowhere if d is nil.
func (f *Fleet) moveStream(now time.Time, j *job, d *engine) {
	if j.decodeEngine != nil {
		j.decodeEngine.delayCostRate = max(0, j.decodeEngine.delayCostRate-j.delayCostRate)
		j.decodeEngine.endStream(j.streamStart, j.contextTokens)
	}
	j.decodeEngine, j.streamStart, j.delayCostRate = d, now, 0
	if d != nil {
		d.startStream(now, j.contextTokens)
		j.delayCostRate = f.streamDelayCostRate(now, d, j.answer, j.deadline.Sub(now))
		d.delayCostRate += j.delayCostRate
	}
}

// ObserveInterEventTime learns from the time between two events of a job's stream.
func (f *Fleet) ObserveInterEventTime(now time.Time, id JobID, gap time.Duration) {
	if j, ok := f.jobs[id]; ok && j.decodeEngine != nil {
		j.decodeEngine.observeInterEventTime(now, gap)
	}
}

// ObserveAnswerLength learns from a completed answer with a number of events.
func (f *Fleet) ObserveAnswerLength(hint, events int) { f.answerLengths.Observe(hint, events) }

// PrefillDone records that the prompt of another gateway's job has been prefilled, and
// learns from it.
func (f *Fleet) PrefillDone(now time.Time, id JobID) { f.finishPrefill(now, id, &f.remoteLag) }

// LocalPrefillDone records that the prompt of a job of this gateway has been prefilled,
// and learns from it.
func (f *Fleet) LocalPrefillDone(now time.Time, id JobID) { f.finishPrefill(now, id, &f.localLag) }

// finishPrefill records the end of a prefill. lag learns from the time it took beyond
// what was expected.
func (f *Fleet) finishPrefill(now time.Time, id JobID, lag *predict.PrefillLag) {
	j, ok := f.jobs[id]
	if !ok || !j.prefilling {
		return
	}
	if p := j.prefillEngine.queue.find(id); p != nil && !p.interrupted && j.prefillEngine.prefillModel.Calibrated() {
		lag.Observe(now, p.expectedTime, now.Sub(p.sentAt))
	}
	j.prefilling = false
	j.prefilledAt = now
	j.prefillEngine.prefillDone(now, id)
	if j.decodeEngine != nil {
		j.decodeEngine.cache.touch(j.handoverSegments)
		j.handoverBacklog = j.decodeEngine.queueDelay(now)
	}
}

// PrefillInterrupted records that the engine was silent during the prefill of a job, so
// that its duration says nothing about the engine or this gateway.
func (f *Fleet) PrefillInterrupted(id JobID) {
	j, ok := f.jobs[id]
	if !ok || !j.prefilling {
		return
	}
	if p := j.prefillEngine.queue.find(id); p != nil {
		p.interrupted, p.unrepresentative = true, true
	}
}

// prefillLag returns the delay that this gateway itself adds to prefills: by how much
// its own exceed their expected times, beyond what those of other gateways do. A delay
// of all prefills is caused by the engines, and is no reason to reject callers once
// these are idle.
func (f *Fleet) prefillLag(now time.Time) time.Duration {
	return max(0, f.localLag.Current(now)-f.remoteLag.Current(now))
}

// FirstToken records the first token of a job. It reports whether that was also the
// first sign that its prompt has been prefilled.
func (f *Fleet) FirstToken(now time.Time, id JobID) bool {
	j, ok := f.jobs[id]
	if !ok {
		return false
	}
	if j.prefilling {
		f.LocalPrefillDone(now, id)
		return true
	}
	if !j.prefilledAt.IsZero() && j.decodeEngine != nil && j.decodeEngine != j.prefillEngine {
		f.handoverModel.Observe(j.handoverBacklog, max(0, now.Sub(j.prefilledAt)-j.kvTransfer))
	}
	j.prefilledAt = time.Time{}
	return false
}

// JobFinished records that a job no longer runs anywhere.
func (f *Fleet) JobFinished(now time.Time, id JobID) {
	j, ok := f.jobs[id]
	if !ok {
		return
	}
	if j.prefilling {
		// The prefill failed or was cancelled, so its duration is no sample. If that
		// happened before it can have completed, its segments were not cached.
		if p := j.prefillEngine.removePrefill(now, id); p != nil && now.Sub(p.sentAt) < p.expectedTime {
			j.prefillEngine.cache.drop(j.addedSegments)
		}
	}
	delete(f.jobs, id)
	f.moveStream(now, j, nil)
}

// expireJobs ends the jobs whose callers must have timed out. It guards against lost
// end messages: the gateway of a job was killed, or the datagram about its end was
// lost. The stream would count at its decode engine forever, so that the engines with
// the most answers look slowest. Symptom: a state dump shows more work at an engine
// than it reports. A gateway ends each call at its deadline, so that no job can run for
// longer.
func (f *Fleet) expireJobs(now time.Time) {
	if now.Sub(f.jobsExpiredAt) < jobExpiryInterval {
		return
	}
	f.jobsExpiredAt = now
	for id, j := range f.jobs {
		if now.After(j.deadline) {
			f.JobFinished(now, id)
		}
	}
}
