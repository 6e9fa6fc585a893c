package soak

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// store simulates the platform's object API behind a network.
type store struct {
	sim      *simulation
	objects  map[string]sharedstate.Object
	revision uint64
	// replaced are old values that a stale relay may still hold.
	replaced []sharedstate.Object

	outage      bool
	loseReplies bool
	lateWrites  bool
}

const (
	storeTimeout  = time.Second
	maxWriteDelay = 4 * time.Second
	maxReplaced   = 64
)

func newStore(sim *simulation) *store {
	return &store{sim: sim, objects: map[string]sharedstate.Object{}}
}

func (s *store) latency() time.Duration {
	return s.sim.randomDuration(time.Millisecond, 5*time.Millisecond)
}

// get reads an object for a process.
func (s *store) get(p *process, name string, reply func(sharedstate.Object, error)) {
	s.sim.after(s.latency(), func() {
		if s.outage {
			s.sim.runOn(p, s.latency(), func() { reply(sharedstate.Object{}, sharedstate.ErrUnavailable) })
			return
		}
		o := s.objects[name]
		o.Name = name
		s.sim.runOn(p, s.latency(), func() { reply(o, nil) })
	})
}

// put writes an object for a process. The write still arrives if the process is
// killed after sending it.
func (s *store) put(p *process, name string, version uint64, value []byte, reply func(uint64, error)) {
	s.sim.after(s.latency(), func() {
		switch {
		case s.outage:
			s.sim.runOn(p, s.latency(), func() { reply(0, sharedstate.ErrNotSent) })
		case s.lateWrites && s.sim.chance(0.5):
			s.sim.Faults["late write"]++
			s.sim.after(s.sim.randomDuration(0, maxWriteDelay), func() { s.write(name, version, value) })
			s.sim.runOn(p, storeTimeout, func() { reply(0, sharedstate.ErrUnknown) })
		case s.loseReplies && s.sim.chance(0.5):
			s.sim.Faults["lost reply"]++
			s.write(name, version, value)
			s.sim.runOn(p, storeTimeout, func() { reply(0, sharedstate.ErrUnknown) })
		default:
			written, err := s.write(name, version, value)
			s.sim.runOn(p, s.latency(), func() { reply(written, err) })
		}
	})
}

func (s *store) write(name string, version uint64, value []byte) (uint64, error) {
	before := s.objects[name]
	if before.Version != version {
		return 0, sharedstate.ErrConflict
	}
	if before.Version > 0 {
		s.replaced = append(s.replaced, before)
		s.replaced = s.replaced[max(0, len(s.replaced)-maxReplaced):]
	}
	s.revision++
	s.objects[name] = sharedstate.Object{Name: name, Version: s.revision, Value: value}
	return s.revision, nil
}
