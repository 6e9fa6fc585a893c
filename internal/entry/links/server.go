package links

import "pistachioroad.dev/pistachioroad/internal/wire"

// Server names one backend server and the sidecar beside it.
type Server struct {
	// Name is the name of the VM.
	Name string
	// Address is where the sidecar takes links.
	Address string
}

// Report is what a link learned about its backend server. One of Load and
// Events is set, or none when only the state of the link changed.
type Report struct {
	Server string
	State  State
	Load   *wire.Load
	Events *wire.CacheEvents
}

// State is the state of a link.
type State uint8

// The states of a link.
const (
	// Down: there is no connection, or the only one is silent.
	Down State = iota
	// Up: heartbeats arrive.
	Up
	// Draining: heartbeats arrive and say that the sidecar is leaving.
	Draining
)

// String returns the state in lower case.
func (s State) String() string {
	switch s {
	case Up:
		return "up"
	case Draining:
		return "draining"
	default:
		return "down"
	}
}
