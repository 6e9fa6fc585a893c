package soak

import "time"

// FaultKinds are the faults that must occur in a batch of minRunsForCoverage runs.
var FaultKinds = []string{
	"sidecar killed", "sidecar paused", "entry killed", "entry paused", "engine crashed",
	"connection silent", "connection cut", "store out", "store loses replies", "store writes late",
	"sidecar leaves", "late start", "frames crossed and repeated", "operators race", "stale relay",
	"lost reply", "late write", "order answer lost", "service broke off",
}

// VerdictKinds are the verdicts that must occur in such a batch. "entry gone"
// stands for a response lost with its entry.
var VerdictKinds = []string{"not_run", "may_have_run", "ran", "entry gone"}

// injectFaults starts faults at random times. Faults may overlap, also those of
// the same kind.
func (f *fleet) injectFaults() {
	f.after(time.Duration(f.rng.ExpFloat64()*float64(f.meanFaultInterval)), func() {
		if f.faultsEnded {
			return
		}
		f.injectFault()
		f.injectFaults()
	})
}

func (f *fleet) injectFault() {
	kinds := []struct {
		name string
		do   func()
	}{
		{"sidecar killed", f.killSidecar},
		{"sidecar paused", f.pauseSidecar},
		{"entry killed", f.killEntry},
		{"entry paused", f.pauseEntry},
		{"engine crashed", func() { f.engines[f.rng.IntN(len(f.engines))].crash() }},
		{"connection silent", f.silenceConn},
		{"connection silent", f.silenceConn},
		{"connection silent", f.silenceConn},
		{"connection cut", f.cutConn},
		{"store out", func() { f.setTemporarily(&f.store.outage, 8*time.Second) }},
		{"store loses replies", func() { f.setTemporarily(&f.store.loseReplies, 5*time.Second) }},
		{"store writes late", func() { f.setTemporarily(&f.store.lateWrites, 5*time.Second) }},
		{"frames crossed and repeated", func() { f.setTemporarily(&f.frameFaults, 3*time.Second) }},
		{"sidecar leaves", f.markLeaving},
		{"operators race", f.editConcurrently},
	}
	kind := kinds[f.rng.IntN(len(kinds))]
	f.Faults[kind.name]++
	f.addTrace("fault: %s", kind.name)
	kind.do()
}

func (f *fleet) setTemporarily(flag *bool, longest time.Duration) {
	*flag = true
	f.after(f.randomDuration(time.Second, longest), func() { *flag = false })
}

func (f *fleet) killSidecar() {
	s := f.sidecars[f.rng.IntN(len(f.sidecars))]
	if !s.up {
		return
	}
	s.kill()
	f.after(f.randomDuration(10*time.Millisecond, 3*time.Second), func() {
		s.pausedUntil = time.Time{}
		s.start()
	})
}

func (f *fleet) pauseSidecar() {
	s := f.sidecars[f.rng.IntN(len(f.sidecars))]
	f.pause(&s.process)
	for _, c := range f.connsOf(s) {
		c.silence(s.pausedUntil.Sub(f.now))
	}
}

func (f *fleet) killEntry() {
	e := f.entries[f.rng.IntN(len(f.entries))]
	if !e.up {
		return
	}
	e.kill()
	f.after(f.randomDuration(10*time.Millisecond, 2*time.Second), func() {
		e.pausedUntil = time.Time{}
		f.startEntry(e)
	})
}

func (f *fleet) pauseEntry() {
	e := f.entries[f.rng.IntN(len(f.entries))]
	f.pause(&e.process)
}

// pause suspends a process. A second pause does not shorten the first one, so
// that events deferred to its end keep their order.
func (f *fleet) pause(p *process) {
	until := f.now.Add(f.randomDuration(100*time.Millisecond, 12*time.Second))
	if until.After(p.pausedUntil) {
		p.pausedUntil = until
	}
}

func (f *fleet) randomConn() *conn {
	conns := []*conn{}
	for _, e := range f.entries {
		conns = append(conns, sortedConns(e.openConns)...)
	}
	if len(conns) == 0 {
		return nil
	}
	return conns[f.rng.IntN(len(conns))]
}

func (f *fleet) silenceConn() {
	if c := f.randomConn(); c != nil {
		c.silence(f.randomDuration(500*time.Millisecond, 45*time.Second))
	}
}

func (f *fleet) cutConn() {
	if c := f.randomConn(); c != nil {
		c.cut()
	}
}

// markLeaving marks a booking service as leaving for a while, even if it is
// paused, so that its key slots move.
func (f *fleet) markLeaving() {
	s := f.sidecars[len(f.engines)+f.rng.IntN(len(f.sidecars)-len(f.engines))]
	f.leaving[s.name] = true
	f.after(f.randomDuration(2*time.Second, 15*time.Second), func() { delete(f.leaving, s.name) })
}

// editConcurrently lets two operators edit the fleet config concurrently through
// two entries.
func (f *fleet) editConcurrently() {
	for _, e := range f.entries {
		if e.up {
			startEdit(f.simulation, e, f.store)
		}
	}
}

// endFaults ends the faults of the store and of frames and cancels announced
// departures. Paused processes resume at the end of their pause.
func (f *fleet) endFaults() {
	f.faultsEnded = true
	f.store.outage, f.store.loseReplies, f.store.lateWrites = false, false, false
	f.frameFaults = false
	clear(f.leaving)
}
