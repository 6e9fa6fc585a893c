package soakproc

import (
	"math/rand/v2"
	"slices"
	"time"

	"pistachioroad.dev/pistachioroad/test/faultproxy"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// settleTime is the time after the last fault by which the gateways must have
// recovered.
const settleTime = 5 * time.Second

// fault is one kind of fault. begin injects it and returns the function that ends
// it, or nil if it cannot be injected now.
type fault struct {
	name  string
	begin func(env *environment, r *rand.Rand) (end func())
	// pause is set if the fault lasts from minPause to maxPause.
	pause bool
}

// duration returns how long the fault lasts.
func (f fault) duration(r *rand.Rand) time.Duration {
	if f.pause {
		return between(r, minPause, maxPause)
	}
	return between(r, 0, maxFaultDuration)
}

func between(r *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(r.Int64N(int64(longest-shortest)))
}

func noop() {}

func (env *environment) randomGateway(r *rand.Rand) *gateway {
	return env.gateways[r.IntN(len(env.gateways))]
}

func (env *environment) randomServer(r *rand.Rand) *server {
	return env.servers[r.IntN(len(env.servers))]
}

// faults are all kinds of fault.
var faults = slices.Concat(disruptions, silences, plannedChanges, streamFaults)

// disruptions are the faults that may cut answers.
var disruptions = []fault{
	{name: "gateway killed", begin: func(env *environment, r *rand.Rand) func() {
		g := env.randomGateway(r)
		if !g.claim() {
			return nil
		}
		g.process.Kill()
		return func() { _ = g.process.Restart(); g.release() }
	}},
	{name: "gateway paused", begin: func(env *environment, r *rand.Rand) func() {
		g := env.randomGateway(r)
		if !g.claim() {
			return nil
		}
		g.process.Pause()
		return func() { g.process.Resume(); g.release() }
	}},
	{name: "gateway terminated", begin: func(env *environment, r *rand.Rand) func() {
		g := env.randomGateway(r)
		if !g.claim() {
			return nil
		}
		g.process.Terminate()
		return func() {
			if g.process.Wait(9*time.Second) == -1 {
				g.process.Kill()
			}
			_ = g.process.Restart()
			g.release()
		}
	}},
	{name: "all gateways killed", begin: func(env *environment, _ *rand.Rand) func() {
		var killed []*gateway
		for _, g := range env.gateways {
			if g.claim() {
				g.process.Kill()
				killed = append(killed, g)
			}
		}
		return func() {
			for _, g := range killed {
				_ = g.process.Restart()
				g.release()
			}
		}
	}},
	{name: "store refuses", begin: storeFault(objectstore.Faults{Unavailable: true})},
	{name: "store silent", begin: storeFault(objectstore.Faults{Unresponsive: true})},
	{name: "store loses replies", begin: storeFault(objectstore.Faults{LoseReplies: true})},
	{name: "store drops history", begin: func(env *environment, _ *rand.Rand) func() { env.store.CompactHistory(); return noop }},
	{name: "store keeps changes back", begin: func(env *environment, _ *rand.Rand) func() {
		env.store.SetFaults(objectstore.Faults{StallWatches: true})
		return env.recoverWatches
	}},
	{name: "one gateway cut from the store", begin: storeLinkFault(faultproxy.Mode{Cut: true})},
	{name: "one gateway's store one way", begin: storeLinkFault(faultproxy.Mode{DropToClient: true})},
	{name: "one gateway's store delayed", begin: storeLinkFault(faultproxy.Mode{Delay: 100 * time.Millisecond})},
	{name: "one gateway's store silenced", begin: func(env *environment, r *rand.Rand) func() {
		env.randomGateway(r).store.BlackholeExisting()
		return noop
	}},
	{name: "server cut", begin: serverLinkFault(faultproxy.Mode{Cut: true})},
	{name: "server one way", begin: serverLinkFault(faultproxy.Mode{DropToClient: true})},
	{name: "server delayed", begin: serverLinkFault(faultproxy.Mode{Delay: 30 * time.Millisecond})},
	{name: "server silenced", begin: func(env *environment, r *rand.Rand) func() {
		env.randomServer(r).proxy.BlackholeExisting()
		return noop
	}},
	{name: "server sheds", begin: serverFault(runner.Shedding)},
	{name: "engines shed most", begin: serviceFault(modelService, runner.SheddingMost)},
	{name: "plain servers shed most", begin: serviceFault(plainService, runner.SheddingMost)},
	{name: "engines held, then shed most", begin: heldThenShedding(modelService)},
	{name: "plain servers held, then shed most", begin: heldThenShedding(plainService)},
	{name: "server loses answers", begin: serverFault(runner.DroppingAnswers)},
	{name: "server breaks off", begin: serverFault(runner.TruncatingStream)},
	{name: "server fails", begin: serverFault(runner.Failing)},
	{name: "server fails some", begin: serverFault(runner.FailingSome)},
	{name: "engines fail some", begin: serviceFault(modelService, runner.FailingSome)},
	{name: "plain servers fail some", begin: serviceFault(plainService, runner.FailingSome)},
	{name: "server answers twice", begin: serverFault(runner.DuplicateAnswer)},
	{name: "server answers without end", begin: serverFault(runner.Endless)},
	{name: "server silent", begin: serverFault(runner.Unresponsive)},
	{name: "server names a limit", begin: serverLimitFault(runner.AllAnswers)},
	{name: "server names a limit in rejections", begin: serverLimitFault(runner.Rejections)},
	{name: "server names a limit in reads", begin: serverLimitFault(runner.PrefillAnswers)},
	{name: "server says it leaves", begin: leavingFault},
	{name: "server asks for rest", begin: restFault},
	{name: "server drains", begin: func(env *environment, r *rand.Rand) func() {
		s := env.randomServer(r)
		if !s.drainedAt.IsZero() {
			return nil
		}
		env.register(s, "draining")
		s.drainedAt = time.Now()
		return func() { s.drainedAt = time.Time{}; env.readyAgain(s) }
	}},
}

// readyAgain registers a draining server as ready. Where the store may have lost that it was
// draining, it is a new start: a start that has announced that it leaves never comes back.
func (env *environment) readyAgain(s *server) {
	if env.namesEras {
		s.Restart()
	}
	env.register(s, "ready")
}

func storeFault(f objectstore.Faults) func(*environment, *rand.Rand) func() {
	return func(env *environment, _ *rand.Rand) func() {
		env.store.SetFaults(f)
		return func() { env.store.SetFaults(objectstore.Faults{}) }
	}
}

// recoverWatches ends all faults of the store and drops its change history, so
// that changes made while watches were stalled can only be found by a list.
func (env *environment) recoverWatches() {
	env.store.SetFaults(objectstore.Faults{})
	env.store.CompactHistory()
}

func storeLinkFault(m faultproxy.Mode) func(*environment, *rand.Rand) func() {
	return func(env *environment, r *rand.Rand) func() {
		p := env.randomGateway(r).store
		p.Set(m)
		return func() { p.Set(faultproxy.Mode{}) }
	}
}

func serverLinkFault(m faultproxy.Mode) func(*environment, *rand.Rand) func() {
	return func(env *environment, r *rand.Rand) func() {
		p := env.randomServer(r).proxy
		p.Set(m)
		return func() { p.Set(faultproxy.Mode{}) }
	}
}

// serviceFault sets a fault of all servers of a service.
func serviceFault(service string, f runner.Fault) func(*environment, *rand.Rand) func() {
	return func(env *environment, _ *rand.Rand) func() {
		set := func(f runner.Fault) {
			for _, s := range env.servers {
				if s.service == service {
					s.SetFault(f)
				}
			}
		}
		set(f)
		return func() { set(runner.Healthy) }
	}
}

// heldThenShedding makes the links to all servers of a service but one hold all bytes back.
// When they recover, the servers shed most requests for shedAfterHold.
func heldThenShedding(service string) func(*environment, *rand.Rand) func() {
	return func(env *environment, _ *rand.Rand) func() {
		var held []*server
		for _, s := range env.servers {
			if s.service == service && !s.silent {
				held = append(held, s)
			}
		}
		if len(held) < 2 {
			return nil
		}
		held = held[1:]
		for _, s := range held {
			s.silent = true
			s.proxy.Set(faultproxy.Mode{Hold: true})
		}
		return func() {
			for _, s := range held {
				s.silent = false
				s.proxy.Set(faultproxy.Mode{})
				s.SetFault(runner.SheddingMost)
				time.AfterFunc(shedAfterHold, func() { s.SetFault(runner.Healthy) })
			}
		}
	}
}

// shedAfterHold is how long servers shed requests once the links to them have recovered.
const shedAfterHold = 1500 * time.Millisecond

func serverFault(f runner.Fault) func(*environment, *rand.Rand) func() {
	return func(env *environment, r *rand.Rand) func() {
		s := env.randomServer(r)
		s.SetFault(f)
		return func() { s.SetFault(runner.Healthy) }
	}
}
