package soak

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/engine"
)

// fakeEngine is a model engine: streams, orders that take time, and crashes.
type fakeEngine struct {
	w       *world
	name    string
	checks  bool
	state   engine.State
	highest uint64
	starts  int
	running map[int]func(error)
	next    int
}

const (
	changeTime    = 800 * time.Millisecond
	tokenInterval = 20 * time.Millisecond
	answerTokens  = 12
)

func newEngine(w *world, name string, checks bool) *fakeEngine {
	e := &fakeEngine{w: w, name: name, checks: checks}
	e.restart()
	return e
}

func (e *fakeEngine) restart() {
	e.starts++
	e.highest = 0
	e.running = map[int]func(error){}
	e.state = engine.State{
		Incarnation: e.name + string(rune('a'+e.starts%26)),
		Ready:       true,
		Applied:     engine.Order{Role: engine.RoleMixed, Model: "draft", Weights: "1"},
	}
}

// crash breaks all streams off; the engine comes back as it was installed.
func (e *fakeEngine) crash() {
	broken := e.running
	e.restart()
	for _, id := range sortedInts(broken) {
		broken[id](engine.ErrInterrupted)
	}
}

// generate runs one request; emit gets each token, end the end.
func (e *fakeEngine) generate(text string, from int, emit func(int, string), end func(error)) (cancel func()) {
	if !e.state.Ready {
		end(engine.ErrRejected)
		return func() {}
	}
	e.next++
	id := e.next
	running := e.running
	running[id] = end
	finish := func(err error) {
		if _, ok := running[id]; ok {
			delete(running, id)
			end(err)
		}
	}
	var token func(place int)
	token = func(place int) {
		if _, ok := running[id]; !ok {
			return
		}
		if place == answerTokens {
			finish(nil)
			return
		}
		emit(place, text[place*tokenWidth:(place+1)*tokenWidth])
		e.w.after(tokenInterval, func() { token(place + 1) })
	}
	e.w.after(e.w.between(time.Millisecond, 30*time.Millisecond), func() { token(from) })
	return func() { finish(engine.ErrInterrupted) }
}

// order takes an order as it arrives.
func (e *fakeEngine) order(o engine.Order) error {
	if e.checks && o.Generation < e.highest {
		return engine.ErrFenced
	}
	if e.checks && o.Generation == e.highest {
		return nil
	}
	e.w.Orders++
	e.w.note("%s takes order %d", e.name, o.Generation)
	e.w.promise(o.Generation >= e.highest, "no conflicting orders", "%s: order %d after %d", e.name, o.Generation, e.highest)
	e.w.promise(!e.state.Changing, "no conflicting orders", "%s: order %d overlaps another", e.name, o.Generation)
	e.w.promise(len(e.running) == 0, "no request is cut by a planned change",
		"%s: order %d cuts %d requests", e.name, o.Generation, len(e.running))
	e.highest = max(e.highest, o.Generation)
	e.state.Changing, e.state.Ready = true, false
	start := e.starts
	e.w.after(changeTime, func() {
		if e.starts != start {
			return
		}
		e.state.Applied = o
		e.state.Changing, e.state.Ready = false, true
	})
	return nil
}
