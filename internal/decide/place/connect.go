package place

import "time"

// newConnectionTime is what a new connection to an engine adds to a request: a round trip and
// the work of the engine to accept it.
const newConnectionTime = 3 * time.Millisecond

// connectTime returns the time to connect to an engine, 0 if there is an idle connection.
//
// It handles many gateways before many engines: each gateway sends an engine a request every
// few seconds, so that its connections are closed as idle before they are used again. Where
// engines are otherwise equal, a gateway keeps to those that it is connected to.
func connectTime(j Job, e *engine) time.Duration {
	if j.Connected == nil || j.Connected[e.ID] {
		return 0
	}
	return newConnectionTime
}
