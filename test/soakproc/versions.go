package soakproc

import (
	"math/rand/v2"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// streamFaults end streams in ways that only their events show.
var streamFaults = []fault{
	{name: "server breaks off unframed streams", begin: streamEndFault(runner.WithinEvent)},
	{name: "server ends unframed streams before an event", begin: streamEndFault(runner.BeforeFirstEvent)},
	{name: "server resets unframed streams", begin: streamEndFault(runner.ResetWithinEvent)},
	{name: "server frames no stream", begin: streamEndFault(runner.AfterLastEvent)},
}

func streamEndFault(end runner.StreamEnd) func(*environment, *rand.Rand) func() {
	return func(env *environment, r *rand.Rand) func() {
		s := env.randomServer(r)
		s.SetStreamEnd(end)
		return func() { s.SetStreamEnd(runner.Framed) }
	}
}
