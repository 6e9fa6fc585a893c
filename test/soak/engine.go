package soak

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/engine"
)

// fakeEngine simulates a model engine: streams, orders that take time, and
// crashes.
type fakeEngine struct {
	sim                *simulation
	name               string
	checksFencingToken bool
	state              engine.State
	highestGeneration  uint64
	starts             int
	running            map[int]func(error)
	lastRunID          int
}

const (
	changeTime    = 800 * time.Millisecond
	tokenInterval = 20 * time.Millisecond
	answerTokens  = 12
)

func newEngine(sim *simulation, name string, checks bool) *fakeEngine {
	e := &fakeEngine{sim: sim, name: name, checksFencingToken: checks}
	e.restart()
	return e
}

func (e *fakeEngine) restart() {
	e.starts++
	e.highestGeneration = 0
	e.running = map[int]func(error){}
	e.state = engine.State{
		Incarnation: e.name + string(rune('a'+e.starts%26)),
		Ready:       true,
		Applied:     engine.Order{Role: engine.RoleMixed, Model: "draft", Weights: "1"},
	}
}

// crash interrupts all streams and restarts the engine in its installed state,
// without the orders applied since.
func (e *fakeEngine) crash() {
	broken := e.running
	e.restart()
	for _, id := range sortedInts(broken) {
		broken[id](engine.ErrInterrupted)
	}
}

// generate runs one request from token number from on. It calls emit for each
// token, and end once the request has finished or failed. The returned function
// cancels it.
func (e *fakeEngine) generate(text string, from int, emit func(int, string), end func(error)) (cancel func()) {
	if !e.state.Ready {
		end(engine.ErrRejected)
		return func() {}
	}
	e.lastRunID++
	id := e.lastRunID
	running := e.running
	running[id] = end
	finish := func(err error) {
		if _, ok := running[id]; ok {
			delete(running, id)
			end(err)
		}
	}
	var token func(n int)
	token = func(n int) {
		if _, ok := running[id]; !ok {
			return
		}
		if n == answerTokens {
			finish(nil)
			return
		}
		emit(n, text[n*tokenBytes:(n+1)*tokenBytes])
		e.sim.after(tokenInterval, func() { token(n + 1) })
	}
	e.sim.after(e.sim.randomDuration(time.Millisecond, 30*time.Millisecond), func() { token(from) })
	return func() { finish(engine.ErrInterrupted) }
}

// applyOrder handles the arrival of an order. An engine that checks fencing tokens
// rejects older generations and ignores a repeated one.
func (e *fakeEngine) applyOrder(o engine.Order) error {
	if e.checksFencingToken && o.Generation < e.highestGeneration {
		return engine.ErrFenced
	}
	if e.checksFencingToken && o.Generation == e.highestGeneration {
		return nil
	}
	e.sim.Orders++
	e.sim.addTrace("%s accepts order %d", e.name, o.Generation)
	e.sim.checkInvariant(o.Generation >= e.highestGeneration, "no conflicting orders", "%s: order %d after %d", e.name, o.Generation, e.highestGeneration)
	e.sim.checkInvariant(!e.state.Changing, "no conflicting orders", "%s: order %d overlaps another", e.name, o.Generation)
	e.sim.checkInvariant(len(e.running) == 0, "no request is cut by a planned change",
		"%s: order %d interrupts %d requests", e.name, o.Generation, len(e.running))
	e.highestGeneration = max(e.highestGeneration, o.Generation)
	e.state.Changing, e.state.Ready = true, false
	start := e.starts
	e.sim.after(changeTime, func() {
		if e.starts != start {
			return
		}
		e.state.Applied = o
		e.state.Changing, e.state.Ready = false, true
	})
	return nil
}
