package links

import "pistachioroad.dev/pistachioroad/internal/wire"

// Server identifies a backend server and its sidecar.
type Server struct {
	// Name is the name of the VM.
	Name string
	// Address is where the sidecar accepts links.
	Address string
}

// Report is an update from a link about its backend server. At most one of Load
// and Events is set; neither if only the state of the link changed.
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
	// Down means that there is no connection, or that it is silent.
	Down State = iota
	// Up means that heartbeats arrive.
	Up
	// Draining means that the sidecar's heartbeats announce that it is leaving.
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
