package soakproc

import (
	"math/rand/v2"
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
}

func noop() {}

func (env *environment) randomGateway(r *rand.Rand) *gateway {
	return env.gateways[r.IntN(len(env.gateways))]
}

func (env *environment) randomServer(r *rand.Rand) *server {
	return env.servers[r.IntN(len(env.servers))]
}

// faults are all kinds of fault.
var faults = []fault{
	{"gateway killed", func(env *environment, r *rand.Rand) func() {
		g := env.randomGateway(r)
		if g.paused || g.down {
			return nil
		}
		g.down = true
		g.process.Kill()
		return func() { g.down = false; _ = g.process.Restart() }
	}},
	{"gateway paused", func(env *environment, r *rand.Rand) func() {
		g := env.randomGateway(r)
		if g.paused || g.down {
			return nil
		}
		g.paused = true
		g.process.Pause()
		return func() { g.process.Resume(); g.paused = false }
	}},
	{"gateway terminated", func(env *environment, r *rand.Rand) func() {
		g := env.randomGateway(r)
		if g.paused || g.down {
			return nil
		}
		g.down = true
		g.process.Terminate()
		return func() {
			if g.process.Wait(9*time.Second) == -1 {
				g.process.Kill()
			}
			g.down = false
			_ = g.process.Restart()
		}
	}},
	{"store refuses", storeFault(objectstore.Faults{Unavailable: true})},
	{"store silent", storeFault(objectstore.Faults{Unresponsive: true})},
	{"store loses replies", storeFault(objectstore.Faults{LoseReplies: true})},
	{"store drops history", func(env *environment, _ *rand.Rand) func() { env.store.CompactHistory(); return noop }},
	{"store keeps changes back", func(env *environment, _ *rand.Rand) func() {
		env.store.SetFaults(objectstore.Faults{StallWatches: true})
		return env.recoverWatches
	}},
	{"one gateway cut from the store", storeLinkFault(faultproxy.Mode{Cut: true})},
	{"one gateway's store one way", storeLinkFault(faultproxy.Mode{DropToClient: true})},
	{"one gateway's store delayed", storeLinkFault(faultproxy.Mode{Delay: 100 * time.Millisecond})},
	{"one gateway's store silenced", func(env *environment, r *rand.Rand) func() {
		env.randomGateway(r).store.BlackholeExisting()
		return noop
	}},
	{"server cut", serverLinkFault(faultproxy.Mode{Cut: true})},
	{"server one way", serverLinkFault(faultproxy.Mode{DropToClient: true})},
	{"server delayed", serverLinkFault(faultproxy.Mode{Delay: 30 * time.Millisecond})},
	{"server silenced", func(env *environment, r *rand.Rand) func() {
		env.randomServer(r).proxy.BlackholeExisting()
		return noop
	}},
	{"server sheds", serverFault(runner.Shedding)},
	{"server loses answers", serverFault(runner.DroppingAnswers)},
	{"server breaks off", serverFault(runner.TruncatingStream)},
	{"server fails", serverFault(runner.Failing)},
	{"server answers twice", serverFault(runner.DuplicateAnswer)},
	{"server silent", serverFault(runner.Unresponsive)},
	{"server names a limit", serverLimitFault(runner.AllAnswers)},
	{"server names a limit in rejections", serverLimitFault(runner.Rejections)},
	{"server names a limit in reads", serverLimitFault(runner.PrefillAnswers)},
	{"server says it leaves", leavingFault},
	{"server asks for rest", restFault},
	{"server drains", func(env *environment, r *rand.Rand) func() {
		s := env.randomServer(r)
		if !s.drainedAt.IsZero() {
			return nil
		}
		env.register(s, "draining")
		s.drainedAt = time.Now()
		return func() { s.drainedAt = time.Time{}; env.register(s, "ready") }
	}},
	{"configuration changed", func(env *environment, _ *rand.Rand) func() { env.writeConfig(); return noop }},
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

func serverFault(f runner.Fault) func(*environment, *rand.Rand) func() {
	return func(env *environment, r *rand.Rand) func() {
		s := env.randomServer(r)
		s.SetFault(f)
		return func() { s.SetFault(runner.Healthy) }
	}
}
