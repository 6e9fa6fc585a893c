package loadplay

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/queue"
	"pistachioroad.dev/pistachioroad/internal/decide/shift"
)

// pushPrefill brings a job to the server's sidecar; a refusal has not run.
func (p *play) pushPrefill(j *job) {
	s := j.prefill
	if j.done {
		return
	}
	if s.changing && !s.plain {
		p.after(time.Millisecond, func() { j.entry.refused(j) })
		return
	}
	j.cached = min(s.cache.leading(j.req.Pieces)*pieceTokens, max(0, j.req.Prompt-1))
	j.left = j.req.Prompt - j.cached
	run := seconds(float64(j.left)/prefillRate) + time.Duration(float64(j.req.MaxOutput)*typicalOutput)*stepBase
	ok, _ := s.prefillQueue.Push(p.now, p.item(j, run))
	if !ok {
		p.after(time.Millisecond, func() { j.entry.refused(j) })
	}
}

func (p *play) item(j *job, run time.Duration) queue.Item {
	return queue.Item{
		ID:           j.id,
		Class:        j.req.Class,
		Caller:       j.req.Caller,
		PromptTokens: j.req.Prompt,
		CachedTokens: j.cached,
		OutputTokens: j.req.MaxOutput,
		Deadline:     j.call.deadline,
		RunTime:      run,
	}
}

// pushDecode brings a prefilled job, or a stream that moves, to a decode
// engine.
func (p *play) pushDecode(j *job) {
	s := j.decode
	if j.done {
		return
	}
	if s.changing {
		j.entry.chooseDecode(j)
		return
	}
	left := float64(j.req.MaxOutput)*typicalOutput - j.progress
	run := time.Duration(max(1, left)) * stepBase
	item := p.item(j, run)
	item.CachedTokens = j.req.Prompt
	if ok, _ := s.decodeQueue.Push(p.now, item); !ok {
		j.entry.lost(j, outcomeExpired)
	}
}

// serve lets a server work for one tick.
func (p *play) serve(s *server) {
	p.expire(s)
	p.change(s)
	p.start(s)
	if s.plain {
		p.answer(s)
		return
	}
	share := s.prefillShare()
	p.runPrefills(s, share)
	p.runStreams(s)
}

func (p *play) expire(s *server) {
	for _, q := range []line{s.prefillQueue, s.decodeQueue} {
		for _, r := range q.TakeExpired(p.now) {
			j := p.jobs[r.ID]
			if r.Reason == queue.Displaced {
				j.entry.refused(j)
			} else {
				j.entry.lost(j, outcomeExpired)
			}
		}
	}
}

// start takes from the queues what the server has room for.
func (p *play) start(s *server) {
	limit := prefillSlots
	if s.plain {
		limit = plainSlots
	}
	for !s.changing && (s.role != shift.Decode || s.spill.MaxTimeShare > 0) {
		room := queue.Capacity{Slots: limit - len(s.prefills), KVBlocks: runPieces - s.usedPieces()}
		i, ok := s.prefillQueue.Pop(p.now, room)
		if !ok {
			break
		}
		j := p.jobs[i.ID]
		j.begun, j.progress = p.now, 0
		s.prefills = append(s.prefills, j)
	}
	for !s.changing && s.role != shift.Prefill {
		room := queue.Capacity{Slots: slots - len(s.streams), KVBlocks: runPieces - s.usedPieces()}
		i, ok := s.decodeQueue.Pop(p.now, room)
		if !ok {
			break
		}
		s.streams = append(s.streams, p.jobs[i.ID])
	}
}

// answer is a plain service: each call takes a fixed time.
func (p *play) answer(s *server) {
	var running []*job
	for _, j := range s.prefills {
		j.progress += tick.Seconds() * s.speed
		if j.progress < plainTime.Seconds() {
			running = append(running, j)
			continue
		}
		j.entry.finished(j)
	}
	s.prefills = running
}

// runPrefills works on the prompts in the order of their start.
func (p *play) runPrefills(s *server, share float64) {
	room := tick.Seconds() * prefillRate * s.speed * share
	for len(s.prefills) > 0 && room > 0 {
		j := s.prefills[0]
		part := min(room, float64(j.left)-j.progress)
		j.progress += part
		j.work += part / prefillRate
		room -= part
		if j.progress < float64(j.left) {
			return
		}
		s.prefills = s.prefills[1:]
		p.prefilled(s, j)
	}
}

func (p *play) prefilled(s *server, j *job) {
	stored, evicted := s.cache.store(j.req.Pieces)
	s.stored = append(s.stored, stored...)
	s.evicted = append(s.evicted, evicted...)
	if p.rng.Float64() < s.failing {
		j.entry.broken(j)
		return
	}
	j.progress = 0
	j.entry.prefilled(j)
}

// runStreams lets each stream of the batch say what fits into a tick.
func (p *play) runStreams(s *server) {
	if len(s.streams) == 0 {
		return
	}
	step := s.step()
	tokens := tick.Seconds() / step.Seconds()
	p.result.gaps(step, len(s.streams))
	running := s.streams[:0]
	for _, j := range s.streams {
		if j.progress == 0 {
			j.entry.firstToken(j)
		}
		j.progress += tokens
		j.work += tokens / decodeRate
		if j.progress < float64(j.req.Output) {
			running = append(running, j)
			continue
		}
		j.entry.finished(j)
	}
	clear(s.streams[len(running):])
	s.streams = running
}

// order begins a role change: the sidecar stops admitting at once.
func (p *play) order(c shift.Change) {
	s := p.byName[c.Name]
	if s.changing || s.role == c.To {
		return
	}
	p.result.changes++
	s.next = c.To
	s.changing = true
	s.readyAt = time.Time{}
	s.drainedBy = p.now.Add(drainTime)
	p.announce(s)
	p.handBack(s.prefillQueue)
	p.handBack(s.decodeQueue)
}

// handBack returns what has not begun to the entries, which send it elsewhere.
func (p *play) handBack(q line) {
	for {
		i, ok := q.Pop(p.now, queue.Capacity{Slots: 1, KVBlocks: runPieces})
		if !ok {
			return
		}
		j := p.jobs[i.ID]
		j.entry.handedBack(j)
	}
}

// change goes on with a role change: drain, then move what still runs, then
// the order itself.
func (p *play) change(s *server) {
	if !s.changing {
		return
	}
	if !s.readyAt.IsZero() {
		if !p.now.Before(s.readyAt) {
			p.changed(s)
		}
		return
	}
	if p.now.After(s.drainedBy) {
		p.moveStreams(s)
	}
	if len(s.prefills)+len(s.streams) == 0 {
		s.readyAt = p.now.Add(changeTime)
	}
}

func (p *play) changed(s *server) {
	s.role, s.changing, s.since = s.next, false, p.now
	s.spill = shift.Spillover{}
	if s.role == shift.Decode {
		s.spill = p.spill
	}
	p.announce(s)
}

// moveStreams exports the KV cache of what still runs to other engines.
func (p *play) moveStreams(s *server) {
	streams := s.streams
	s.streams = nil
	for _, j := range streams {
		j.entry.chooseDecode(j)
	}
}

// announce makes a server's state known to the entries.
func (p *play) announce(s *server) {
	role, admitting := s.next, !s.changing
	for _, e := range p.entries {
		p.after(planLag, func() { e.learn(s, role, admitting) })
	}
}

// drop takes a job out of wherever it is.
func (p *play) drop(j *job) {
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
