package soak

import "time"

// FaultKinds are the faults that every larger batch of runs must have seen.
var FaultKinds = []string{
	"sidecar killed", "sidecar paused", "entry killed", "entry paused", "engine crashed",
	"connection silent", "connection cut", "store out", "store loses replies", "store writes late",
	"sidecar leaves", "late start", "frames crossed and repeated", "operators race", "stale relay",
	"lost reply", "late write", "order answer lost", "service broke off",
}

// VerdictKinds are the verdicts that every larger batch of runs must have seen.
var VerdictKinds = []string{"not_run", "may_have_run", "ran", "entry gone"}

// injectFaults starts faults at random times. They come together and twice.
func (r *run) injectFaults() {
	r.after(time.Duration(r.rng.ExpFloat64()*float64(r.faultEvery)), func() {
		if r.calm {
			return
		}
		r.fault()
		r.injectFaults()
	})
}

func (r *run) fault() {
	kinds := []struct {
		name string
		do   func()
	}{
		{"sidecar killed", r.killSidecar},
		{"sidecar paused", r.pauseSidecar},
		{"entry killed", r.killEntry},
		{"entry paused", r.pauseEntry},
		{"engine crashed", func() { r.engines[r.rng.IntN(len(r.engines))].crash() }},
		{"connection silent", r.silence},
		{"connection silent", r.silence},
		{"connection silent", r.silence},
		{"connection cut", r.cutConn},
		{"store out", func() { r.forAWhile(&r.store.outage, 8*time.Second) }},
		{"store loses replies", func() { r.forAWhile(&r.store.loseReplies, 5*time.Second) }},
		{"store writes late", func() { r.forAWhile(&r.store.lateWrites, 5*time.Second) }},
		{"frames crossed and repeated", func() { r.forAWhile(&r.frameFaults, 3*time.Second) }},
		{"sidecar leaves", r.leave},
		{"operators race", r.editTwice},
	}
	kind := kinds[r.rng.IntN(len(kinds))]
	r.Faults[kind.name]++
	r.note("fault: %s", kind.name)
	kind.do()
}

func (r *run) forAWhile(flag *bool, longest time.Duration) {
	*flag = true
	r.after(r.between(time.Second, longest), func() { *flag = false })
}

func (r *run) killSidecar() {
	s := r.sidecars[r.rng.IntN(len(r.sidecars))]
	if !s.up {
		return
	}
	s.kill()
	r.after(r.between(10*time.Millisecond, 3*time.Second), func() {
		s.resumes = time.Time{}
		s.start()
	})
}

func (r *run) pauseSidecar() {
	s := r.sidecars[r.rng.IntN(len(r.sidecars))]
	r.pause(&s.node)
	for _, c := range r.connsOf(s) {
		c.silence(s.resumes.Sub(r.now))
	}
}

func (r *run) killEntry() {
	e := r.entries[r.rng.IntN(len(r.entries))]
	if !e.up {
		return
	}
	e.kill()
	r.after(r.between(10*time.Millisecond, 2*time.Second), func() {
		e.resumes = time.Time{}
		r.startEntry(e)
	})
}

func (r *run) pauseEntry() {
	e := r.entries[r.rng.IntN(len(r.entries))]
	r.pause(&e.node)
}

// pause stops a process. A second pause never ends the first one earlier: what
// waits for the end keeps its order.
func (r *run) pause(n *node) {
	until := r.now.Add(r.between(100*time.Millisecond, 12*time.Second))
	if until.After(n.resumes) {
		n.resumes = until
	}
}

func (r *run) anyConn() *conn {
	conns := []*conn{}
	for _, e := range r.entries {
		conns = append(conns, sortedConns(e.all)...)
	}
	if len(conns) == 0 {
		return nil
	}
	return conns[r.rng.IntN(len(conns))]
}

func (r *run) silence() {
	if c := r.anyConn(); c != nil {
		c.silence(r.between(500*time.Millisecond, 45*time.Second))
	}
}

func (r *run) cutConn() {
	if c := r.anyConn(); c != nil {
		c.cut()
	}
}

// leave marks a booking service as leaving for a while, so that its key slots
// move, also while it is paused.
func (r *run) leave() {
	s := r.sidecars[len(r.engines)+r.rng.IntN(len(r.sidecars)-len(r.engines))]
	r.leaving[s.name] = true
	r.after(r.between(2*time.Second, 15*time.Second), func() { delete(r.leaving, s.name) })
}

// editTwice lets two operators edit at once through two entries.
func (r *run) editTwice() {
	for _, e := range r.entries {
		if e.up {
			newEdit(r.world, e, r.store)
		}
	}
}

// endFaults lets the fleet repair itself. Paused processes wake by themselves.
func (r *run) endFaults() {
	r.calm = true
	r.store.outage, r.store.loseReplies, r.store.lateWrites = false, false, false
	r.frameFaults = false
	clear(r.leaving)
}
