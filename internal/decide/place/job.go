package place

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/predict"
	"pistachioroad.dev/pistachioroad/internal/invariant"
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
	// transfer is what the plan allows for the transfer of KV cache, and backlog
	// what the decoder had to read itself when the prompt's read ended.
	transfer, backlog time.Duration
	// until is when its caller leaves.
	until time.Time
}

// Placed notes that a request goes where its plan says.
func (f *Fleet) Placed(now time.Time, p Placement) {
	f.Ended(now, p.ID)
	f.placed++
	reader, ok := f.engines[p.Plan.Reader]
	if !ok {
		return
	}
	work := predict.WorkOf(p.Prompt.Tokens, p.Plan.Kept)
	f.unread += unreadGain * (work.Tokens - f.unread)
	reader.add(now, &read{job: p.ID, work: work, sent: now})
	reader.cache.use(p.Prompt.Parts)
	j := &job{reader: reader, reading: true, until: now.Add(p.Left)}
	f.jobs[p.ID] = j
	if d, ok := f.engines[p.Plan.Decoder]; ok {
		j.generateAt(d)
		if p.Plan.Split() {
			d.cache.use(p.Prompt.Parts)
			j.transfer = f.transferTime(p.Prompt, reader, d)
		}
	}
}

// Moved notes that another decoder than the planned one generates for a job.
func (f *Fleet) Moved(id JobID, decoder string) {
	if j, ok := f.jobs[id]; ok {
		j.generateAt(f.engines[decoder])
		j.readAt = time.Time{}
	}
}

// generateAt counts the job's stream at d, or nowhere if d is nil.
func (j *job) generateAt(d *engine) {
	if j.decoder != nil {
		j.decoder.streams--
		invariant.Check(j.decoder.streams >= 0, "streams_not_negative", "engine %s has %d streams", j.decoder.ID, j.decoder.streams)
	}
	if d != nil {
		d.streams++
	}
	j.decoder = d
}

// ReadDone notes that the prompt of a job has been read, and learns from it.
func (f *Fleet) ReadDone(now time.Time, id JobID) {
	j, ok := f.jobs[id]
	if !ok || !j.reading {
		return
	}
	j.reading = false
	j.readAt = now
	j.reader.done(now, id)
	if j.decoder != nil {
		j.backlog = j.decoder.wait(now)
	}
}

// FirstToken notes that the first token of a job has come. It returns true if
// that also was the first sign that its prompt has been read.
func (f *Fleet) FirstToken(now time.Time, id JobID) bool {
	j, ok := f.jobs[id]
	if !ok {
		return false
	}
	if j.reading {
		f.ReadDone(now, id)
		return true
	}
	if !j.readAt.IsZero() && j.decoder != nil && j.decoder != j.reader {
		f.handover.Learn(j.backlog, max(0, now.Sub(j.readAt)-j.transfer))
	}
	j.readAt = time.Time{}
	return false
}

// Ended notes that a job no longer works anywhere.
func (f *Fleet) Ended(now time.Time, id JobID) {
	j, ok := f.jobs[id]
	if !ok {
		return
	}
	if j.reading {
		// The read failed or was given up; how long it took says nothing.
		j.reader.remove(now, id)
	}
	delete(f.jobs, id)
	j.generateAt(nil)
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
			f.Ended(now, id)
		}
	}
}
