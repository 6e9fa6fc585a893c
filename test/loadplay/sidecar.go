package loadplay

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/queue"
	"pistachioroad.dev/pistachioroad/internal/decide/shift"
)

// enqueuePrefill delivers a job to the server's sidecar, which may reject it.
func (sim *simulation) enqueuePrefill(j *job) {
	s := j.prefill
	if j.ended {
		return
	}
	if s.changing && !s.plain {
		sim.after(time.Millisecond, func() { j.entry.rejected(j) })
		return
	}
	j.cachedTokens = min(s.cache.cachedPrefixLength(j.req.PrefixBlocks)*kvBlockTokens, max(0, j.req.PromptTokens-1))
	j.prefillTokens = j.req.PromptTokens - j.cachedTokens
	run := seconds(float64(j.prefillTokens)/prefillRate) + time.Duration(float64(j.req.MaxOutput)*typicalOutput)*stepBase
	ok, _ := s.prefillQueue.Push(sim.now, sim.queueItem(j, run))
	if !ok {
		sim.after(time.Millisecond, func() { j.entry.rejected(j) })
	}
}

func (sim *simulation) queueItem(j *job, run time.Duration) queue.Item {
	return queue.Item{
		ID:           j.id,
		Class:        j.req.Class,
		Caller:       j.req.Caller,
		PromptTokens: j.req.PromptTokens,
		CachedTokens: j.cachedTokens,
		OutputTokens: j.req.MaxOutput,
		Deadline:     j.call.deadline,
		RunTime:      run,
	}
}

// enqueueDecode delivers a prefilled job, or a stream that moved, to a decode
// engine.
func (sim *simulation) enqueueDecode(j *job) {
	s := j.decode
	if j.ended {
		return
	}
	if s.changing {
		j.entry.chooseDecode(j)
		return
	}
	remaining := float64(j.req.MaxOutput)*typicalOutput - j.progress
	run := time.Duration(max(1, remaining)) * stepBase
	item := sim.queueItem(j, run)
	item.CachedTokens = j.req.PromptTokens
	if ok, _ := s.decodeQueue.Push(sim.now, item); !ok {
		j.entry.removedFromQueue(j, outcomeExpired)
	}
}

// serveTick runs a server for one tick.
func (sim *simulation) serveTick(s *server) {
	sim.removeExpired(s)
	sim.advanceRoleChange(s)
	sim.startQueued(s)
	if s.plain {
		sim.runCalls(s)
		return
	}
	share := s.prefillTimeShare()
	sim.runPrefills(s, share)
	sim.runStreams(s)
}

func (sim *simulation) removeExpired(s *server) {
	for _, q := range []workQueue{s.prefillQueue, s.decodeQueue} {
		for _, r := range q.TakeExpired(sim.now) {
			j := sim.jobs[r.ID]
			if r.Reason == queue.Displaced {
				j.entry.rejected(j)
			} else {
				j.entry.removedFromQueue(j, outcomeExpired)
			}
		}
	}
}

// startQueued starts queued jobs within the server's capacity.
func (sim *simulation) startQueued(s *server) {
	limit := prefillSlots
	if s.plain {
		limit = plainSlots
	}
	for !s.changing && (s.role != shift.Decode || s.spillover.MaxTimeShare > 0) {
		room := queue.Capacity{Slots: limit - len(s.prefills), KVBlocks: runningKVBlocks - s.usedKVBlocks()}
		i, ok := s.prefillQueue.Pop(sim.now, room)
		if !ok {
			break
		}
		j := sim.jobs[i.ID]
		j.startedAt, j.progress = sim.now, 0
		s.prefills = append(s.prefills, j)
	}
	for !s.changing && s.role != shift.Prefill {
		room := queue.Capacity{Slots: slots - len(s.streams), KVBlocks: runningKVBlocks - s.usedKVBlocks()}
		i, ok := s.decodeQueue.Pop(sim.now, room)
		if !ok {
			break
		}
		s.streams = append(s.streams, sim.jobs[i.ID])
	}
}

// runCalls runs the calls of a plain service, each of which takes plainTime.
func (sim *simulation) runCalls(s *server) {
	var running []*job
	for _, j := range s.prefills {
		j.progress += tick.Seconds() * s.speed
		if j.progress < plainTime.Seconds() {
			running = append(running, j)
			continue
		}
		j.entry.completed(j)
	}
	s.prefills = running
}

// runPrefills prefills the prompts in the order in which they were started.
func (sim *simulation) runPrefills(s *server, share float64) {
	room := tick.Seconds() * prefillRate * s.speed * share
	for len(s.prefills) > 0 && room > 0 {
		j := s.prefills[0]
		part := min(room, float64(j.prefillTokens)-j.progress)
		j.progress += part
		j.work += part / prefillRate
		room -= part
		if j.progress < float64(j.prefillTokens) {
			return
		}
		s.prefills = s.prefills[1:]
		sim.finishPrefill(s, j)
	}
}

func (sim *simulation) finishPrefill(s *server, j *job) {
	stored, evicted := s.cache.store(j.req.PrefixBlocks)
	s.unsentStored = append(s.unsentStored, stored...)
	s.unsentEvicted = append(s.unsentEvicted, evicted...)
	if sim.rng.Float64() < s.failureRate {
		j.entry.failed(j)
		return
	}
	j.progress = 0
	j.entry.prefillFinished(j)
}

// runStreams advances each stream of the decode batch by one tick.
func (sim *simulation) runStreams(s *server) {
	if len(s.streams) == 0 {
		return
	}
	step := s.stepTime()
	tokens := tick.Seconds() / step.Seconds()
	sim.result.addInterTokenLatency(step, len(s.streams))
	running := s.streams[:0]
	for _, j := range s.streams {
		if j.progress == 0 {
			j.entry.firstToken(j)
		}
		j.progress += tokens
		j.work += tokens / decodeRate
		if j.progress < float64(j.req.OutputTokens) {
			running = append(running, j)
			continue
		}
		j.entry.completed(j)
	}
	clear(s.streams[len(running):])
	s.streams = running
}

// startRoleChange starts a role change; the sidecar stops admitting immediately.
func (sim *simulation) startRoleChange(c shift.Change) {
	s := sim.byName[c.Name]
	if s.changing || s.role == c.To {
		return
	}
	sim.result.changes++
	s.targetRole = c.To
	s.changing = true
	s.changeDoneAt = time.Time{}
	s.drainDeadline = sim.now.Add(drainTime)
	sim.announceState(s)
	sim.returnQueued(s.prefillQueue)
	sim.returnQueued(s.decodeQueue)
}

// returnQueued returns jobs that have not started to their entries, which send
// them elsewhere.
func (sim *simulation) returnQueued(q workQueue) {
	for {
		i, ok := q.Pop(sim.now, queue.Capacity{Slots: 1, KVBlocks: runningKVBlocks})
		if !ok {
			return
		}
		j := sim.jobs[i.ID]
		j.entry.requeue(j)
	}
}

// advanceRoleChange drains a server that changes its role, moves the streams
// that still run at the drain deadline, then waits for the change itself.
func (sim *simulation) advanceRoleChange(s *server) {
	if !s.changing {
		return
	}
	if !s.changeDoneAt.IsZero() {
		if !sim.now.Before(s.changeDoneAt) {
			sim.finishRoleChange(s)
		}
		return
	}
	if sim.now.After(s.drainDeadline) {
		sim.moveStreams(s)
	}
	if len(s.prefills)+len(s.streams) == 0 {
		s.changeDoneAt = sim.now.Add(changeTime)
	}
}

func (sim *simulation) finishRoleChange(s *server) {
	s.role, s.changing, s.roleSince = s.targetRole, false, sim.now
	s.spillover = shift.Spillover{}
	if s.role == shift.Decode {
		s.spillover = sim.spillover
	}
	sim.announceState(s)
}

// moveStreams moves the running streams, with their KV cache, to other engines.
func (sim *simulation) moveStreams(s *server) {
	streams := s.streams
	s.streams = nil
	for _, j := range streams {
		j.entry.chooseDecode(j)
	}
}

// announceState sends a server's state to the entries, with the delay of a plan.
func (sim *simulation) announceState(s *server) {
	role, admitting := s.targetRole, !s.changing
	for _, e := range sim.entries {
		sim.after(planDelay, func() { e.updateServer(s, role, admitting) })
	}
}

// removeJob removes a job from the queues and batches of its servers.
func (sim *simulation) removeJob(j *job) {
	for _, s := range []*server{j.prefill, j.decode} {
		if s == nil {
			continue
		}
		s.prefillQueue.Remove(j.id)
		s.decodeQueue.Remove(j.id)
		s.prefills = without(s.prefills, j)
		s.streams = without(s.streams, j)
	}
}

func without(jobs []*job, j *job) []*job {
	for i, x := range jobs {
		if x == j {
			return append(jobs[:i:i], jobs[i+1:]...)
		}
	}
	return jobs
}
