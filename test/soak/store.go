package soak

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// store is the platform's object API at the other end of a network.
type store struct {
	w        *world
	objects  map[string]sharedstate.Object
	revision uint64
	// older are values that a stale relay may still hold.
	older []sharedstate.Object

	outage      bool
	loseReplies bool
	lateWrites  bool
}

const (
	storeTimeout = time.Second
	latestWrite  = 4 * time.Second
	keptOlder    = 64
)

func newStore(w *world) *store {
	return &store{w: w, objects: map[string]sharedstate.Object{}}
}

func (s *store) trip() time.Duration { return s.w.between(time.Millisecond, 5*time.Millisecond) }

// get reads an object for a node.
func (s *store) get(n *node, name string, reply func(sharedstate.Object, error)) {
	s.w.after(s.trip(), func() {
		if s.outage {
			s.w.on(n, s.trip(), func() { reply(sharedstate.Object{}, sharedstate.ErrUnavailable) })
			return
		}
		o := s.objects[name]
		o.Name = name
		s.w.on(n, s.trip(), func() { reply(o, nil) })
	})
}

// put writes an object for a node. The request is on its way even if the node
// ends meanwhile.
func (s *store) put(n *node, name string, version uint64, value []byte, reply func(uint64, error)) {
	s.w.after(s.trip(), func() {
		switch {
		case s.outage:
			s.w.on(n, s.trip(), func() { reply(0, sharedstate.ErrNotSent) })
		case s.lateWrites && s.w.chance(0.5):
			s.w.Faults["late write"]++
			s.w.after(s.w.between(0, latestWrite), func() { s.write(name, version, value) })
			s.w.on(n, storeTimeout, func() { reply(0, sharedstate.ErrUnknown) })
		case s.loseReplies && s.w.chance(0.5):
			s.w.Faults["lost reply"]++
			s.write(name, version, value)
			s.w.on(n, storeTimeout, func() { reply(0, sharedstate.ErrUnknown) })
		default:
			written, err := s.write(name, version, value)
			s.w.on(n, s.trip(), func() { reply(written, err) })
		}
	})
}

func (s *store) write(name string, version uint64, value []byte) (uint64, error) {
	before := s.objects[name]
	if before.Version != version {
		return 0, sharedstate.ErrConflict
	}
	if before.Version > 0 {
		s.older = append(s.older, before)
		s.older = s.older[max(0, len(s.older)-keptOlder):]
	}
	s.revision++
	s.objects[name] = sharedstate.Object{Name: name, Version: s.revision, Value: value}
	return s.revision, nil
}
