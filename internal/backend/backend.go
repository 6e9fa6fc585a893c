// Package backend describes backend servers: model engines and plain services.
package backend

import "time"

// Role is the phase of requests that an engine serves.
type Role string

// Roles of engines. Servers of plain services have NoRole.
const (
	NoRole  Role = ""
	Prefill Role = "prefill"
	Decode  Role = "decode"
)

// Server is a backend server as registered in the store.
type Server struct {
	// ID identifies the server. It may stay the same when the server restarts.
	ID string
	// Incarnation distinguishes starts with the same ID: the start time by the
	// server's own clock, or 0 if unknown.
	Incarnation int64
	Service     string
	// Version is the version of the server's software, empty if it states none. It is the
	// same for all of an instance's life.
	Version string
	// Address is the server's IP:PORT.
	Address    string
	DataCentre string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Draining servers receive no new requests.
	Draining bool
	// LastReady is, for a draining server, when the store last confirmed that it was not,
	// by this process's monotonic clock; zero if that is not known.
	LastReady time.Time `json:"LastReady,omitzero"`
	// WarmUpRemaining is how much longer the server expects to be slow after its
	// start, if it registered that.
	WarmUpRemaining time.Duration `json:"ColdFor"`
	Role            Role
}

// Instance identifies one start of a server.
type Instance struct {
	ID          string
	Incarnation int64
}

// Instance returns the start that the server's record describes.
func (s Server) Instance() Instance { return Instance{ID: s.ID, Incarnation: s.Incarnation} }

// Load is the load that a server reports.
type Load struct {
	Running, Waiting, Slots int
	// Contention is how many times as long as usual work takes on the server's machine at
	// this moment, because other workloads share it: 1 is as usual, 0 unknown.
	Contention float64
}

// Order instructs an engine to change its role.
type Order struct {
	Role Role
	// Holder is the process that holds the lease, and Fence its fencing token.
	Holder string
	Fence  int64
	// Expect is the precondition: the number of orders that the engine must have
	// accepted so far.
	Expect int64
}

// OrderResult is the result of sending an order to an engine.
type OrderResult uint8

const (
	// OrderUnknown means that the order may have taken effect or may still do so.
	OrderUnknown OrderResult = iota
	// OrderAccepted means that the engine has started the change.
	OrderAccepted
	// OrderAlreadyApplied means that the engine already has the ordered role.
	OrderAlreadyApplied
	// OrderRejected means that the order has not taken effect and never will.
	OrderRejected
)

// String returns the name of the result as used in logs.
func (r OrderResult) String() string {
	return [...]string{"unknown", "accepted", "holds", "rejected"}[r]
}

// EngineState is the role and the state of orders that an engine reports.
type EngineState struct {
	Role Role
	// Orders is the number of orders accepted since the engine started.
	Orders int64
	// Changing reports whether an accepted order is still in progress.
	Changing bool
}
