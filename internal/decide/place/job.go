package place

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
	"pistachioroad.dev/pistachioroad/internal/request"
)

// job remembers where a placed request's work is. It points at engines and not
// at their ids: the end of a job must not lower the work of a later start.
type job struct {
	// reader and decoder are nil if the engine was not known.
	reader, decoder *engine
	reading         bool
	// readAt is when the read ended, zero if the end was not seen here or the
	// answer moved to another decoder since.
	readAt time.Time
	// added are the parts that reader is thought to keep since this job was placed,
	// and handedOver those that decoder keeps once they are read.
	added, handedOver []request.Segment
	// transfer is what the plan allows for the transfer of KV cache, and backlog
	// what the decoder had to read itself when the prompt's read ended.
	transfer, backlog time.Duration
	// tokens are its context's when it was placed, and began is when its stream was
	// counted at decoder.
	tokens int
	began  time.Time
	// answer is what is known of the answer, and risk what it adds to decoder's.
	answer predict.Answer
	risk   float64
	// until is when its caller leaves.
	until time.Time
}

// Placed notes that a request goes where its plan says.
func (f *Fleet) AddPlacement(now time.Time, p Placement) {
	f.JobFinished(now, p.ID)
	f.placed++
	reader, ok := f.engines[p.Plan.PrefillEngine]
	if !ok {
		return
	}
	tokens := f.context(p.Prompt)
	work := predict.NewPrefillWork(tokens, p.Plan.CachedTokens)
	f.unread += unreadGain * (work.Tokens - f.unread)
	reader.add(now, &read{job: p.ID, work: work, sent: now})
	added := reader.cache.use(p.Prompt.Segments)
	j := &job{reader: reader, reading: true, added: added, tokens: tokens, answer: answerOf(p.Prompt), until: now.Add(p.Remaining)}
	f.jobs[p.ID] = j
	if d, ok := f.engines[p.Plan.DecodeEngine]; ok {
		f.generateAt(now, j, d)
		f.countMiss(now, d, j.answer, p.Remaining)
		if p.Plan.Split() {
			j.handedOver = p.Prompt.Segments
			d.handovers.add(now)
			j.transfer = f.transferTime(p.Prompt, reader, d)
		}
	}
}

// Moved notes that another decoder than the planned one generates for a job.
func (f *Fleet) SetDecodeEngine(now time.Time, id JobID, decoder string) {
	if j, ok := f.jobs[id]; ok {
		f.generateAt(now, j, f.engines[decoder])
		j.readAt = time.Time{}
		if j.decoder != nil {
			j.decoder.handovers.add(now)
			j.decoder.cache.use(j.handedOver)
		}
	}
}

// generateAt counts the job's stream at d, or nowhere if d is nil.
func (f *Fleet) generateAt(now time.Time, j *job, d *engine) {
	if j.decoder != nil {
		j.decoder.risk = max(0, j.decoder.risk-j.risk)
		j.decoder.endStream(j.began, j.tokens)
	}
	j.decoder, j.began, j.risk = d, now, 0
	if d != nil {
		d.startStream(now, j.tokens)
		j.risk = f.riskOf(now, d, j.answer, j.until.Sub(now))
		d.risk += j.risk
	}
}

// Event notes the time between two events of a job's stream.
func (f *Fleet) ObserveInterEventTime(now time.Time, id JobID, gap time.Duration) {
	if j, ok := f.jobs[id]; ok && j.decoder != nil {
		j.decoder.event(now, gap)
	}
}

// Answered notes that a whole answer of a number of events has come.
func (f *Fleet) ObserveAnswerLength(hint, events int) { f.lengths.Observe(hint, events) }

// ReadDone notes that the prompt of another entry's job has been read, and learns from
// it.
func (f *Fleet) PrefillDone(now time.Time, id JobID) { f.readDone(now, id, &f.othersLag) }

// OwnReadDone notes that the prompt of a job of this entry has been read.
func (f *Fleet) LocalPrefillDone(now time.Time, id JobID) { f.readDone(now, id, &f.ownLag) }

// readDone notes the end of a read. What it took beyond what was expected is learned by
// lag.
func (f *Fleet) readDone(now time.Time, id JobID, lag *predict.PrefillLag) {
	j, ok := f.jobs[id]
	if !ok || !j.reading {
		return
	}
	if r := j.reader.queue.find(id); r != nil && j.reader.reading.Calibrated() {
		lag.Observe(now, r.expected, now.Sub(r.sent))
	}
	j.reading = false
	j.readAt = now
	j.reader.done(now, id)
	if j.decoder != nil {
		j.decoder.cache.use(j.handedOver)
		j.backlog = j.decoder.wait(now)
	}
}

// lag is what this entry adds to reads itself: by how much longer its own take than
// expected, beyond what those of others do. What delays the reads of all is the engines',
// and is no reason to refuse callers once they are idle.
func (f *Fleet) lag(now time.Time) time.Duration {
	return max(0, f.ownLag.Current(now)-f.othersLag.Current(now))
}

// FirstToken notes that the first token of a job has come. It returns true if
// that also was the first sign that its prompt has been read.
func (f *Fleet) FirstToken(now time.Time, id JobID) bool {
	j, ok := f.jobs[id]
	if !ok {
		return false
	}
	if j.reading {
		f.LocalPrefillDone(now, id)
		return true
	}
	if !j.readAt.IsZero() && j.decoder != nil && j.decoder != j.reader {
		f.handover.Observe(j.backlog, max(0, now.Sub(j.readAt)-j.transfer))
	}
	j.readAt = time.Time{}
	return false
}

// Ended notes that a job no longer works anywhere.
func (f *Fleet) JobFinished(now time.Time, id JobID) {
	j, ok := f.jobs[id]
	if !ok {
		return
	}
	if j.reading {
		// The read failed or was given up; how long it took says nothing. If it did
		// so before it can have ended, what was to be kept is not.
		if r := j.reader.remove(now, id); r != nil && now.Sub(r.sent) < r.expected {
			j.reader.cache.drop(j.added)
		}
	}
	delete(f.jobs, id)
	f.generateAt(now, j, nil)
}

// forgetOverdue ends the jobs whose callers must have left. It answers lost ends:
// the gateway that sent a job was killed, or the datagram about its end did not
// arrive. Their streams would count at their decoders for good, so that the
// engines that answer most seem the slowest; one notices by a state dump that
// shows more work at an engine than it reports. A gateway ends each call at its
// deadline, so that no job can run for longer.
func (f *Fleet) forgetOverdue(now time.Time) {
	if now.Sub(f.forgotten) < forgetEvery {
		return
	}
	f.forgotten = now
	for id, j := range f.jobs {
		if now.After(j.until) {
			f.JobFinished(now, id)
		}
	}
}
