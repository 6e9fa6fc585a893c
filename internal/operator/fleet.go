package operator

import (
	"context"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// Fleet is what an entry knows of the whole fleet.
type Fleet interface {
	// Status returns the entry's picture of the fleet.
	Status(ctx context.Context) (Status, error)
	// Peers returns the operator addresses of all other known processes.
	Peers(ctx context.Context) ([]Peer, error)
	// Config returns the fleet configuration in force at this entry.
	Config() sharedstate.Object
	// Accept hands a newer fleet configuration to the entry, so that it is in
	// force here before the watch brings it.
	Accept(sharedstate.Object)
}

// Peer is another process and the address of its operator API.
type Peer struct {
	Name       string
	Address    string
	DataCentre string
	// Service is empty for an entry.
	Service string
}

// Status is one entry's picture of the fleet.
type Status struct {
	// Entry is the process that answers.
	Entry     string               `json:"entry"`
	At        time.Time            `json:"at"`
	Planner   string               `json:"planner,omitempty" doc:"Entry that holds the planner lease"`
	Processes []ProcessStatus      `json:"processes"`
	Engines   []EngineStatus       `json:"engines"`
	Changes   []PendingChange      `json:"changes"`
	Store     StoreStatus          `json:"store"`
	VMListAge fleetconfig.Duration `json:"vm_list_age"`
}

// ProcessState says how a process looks from the entry.
type ProcessState string

// The states of a process.
const (
	ProcessUp       ProcessState = "up"
	ProcessDraining ProcessState = "draining"
	// ProcessLeaving is on its way out according to the VM list.
	ProcessLeaving ProcessState = "leaving"
	// ProcessSilent has sent no heartbeat for link.SilentAfter.
	ProcessSilent ProcessState = "silent"
	// ProcessUnlinked is in the VM list, but this entry keeps no link to it.
	ProcessUnlinked ProcessState = "unlinked"
)

// ProcessStatus is one process.
type ProcessStatus struct {
	Name       string       `json:"name"`
	Kind       string       `json:"kind" doc:"entry or sidecar"`
	DataCentre string       `json:"data_centre"`
	Service    string       `json:"service,omitempty"`
	State      ProcessState `json:"state"`
	// LastHeard is how long ago the process was last heard of.
	LastHeard fleetconfig.Duration `json:"last_heard"`
	// Versions are the object versions in force there, by object name.
	Versions map[string]uint64 `json:"versions,omitempty"`
	// Work is that of a backend server; nil if it is not known.
	Work *WorkStatus `json:"work,omitempty"`
}

// WorkStatus is the work of a backend server as its sidecar reports it.
type WorkStatus struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Admitting says that the sidecar takes new work.
	Admitting bool `json:"admitting"`
	// Drained says that an operator took the backend server out of service.
	Drained bool `json:"drained"`
}

// EngineState is what an engine is to be, or is.
type EngineState struct {
	Generation uint64   `json:"generation"`
	Role       string   `json:"role"`
	Model      string   `json:"model,omitempty"`
	Weights    string   `json:"weights,omitempty"`
	Adapters   []string `json:"adapters,omitempty"`
}

// EngineStatus is one model engine.
type EngineStatus struct {
	BackendServer string      `json:"backend_server"`
	DataCentre    string      `json:"data_centre"`
	Wanted        EngineState `json:"wanted"`
	Actual        EngineState `json:"actual"`
	Drained       bool        `json:"drained"`
	Admitting     bool        `json:"admitting"`
	// Changing says that the engine is not yet what it is to be.
	Changing bool `json:"changing"`
	Running  int  `json:"running"`
	Queued   int  `json:"queued"`
}

// PendingChange is a planned change that is not in force yet.
type PendingChange struct {
	BackendServer string `json:"backend_server"`
	What          string `json:"what"`
	Reason        string `json:"reason"`
}

// StoreStatus is how the platform's store looks from the entry.
type StoreStatus struct {
	Healthy bool `json:"healthy"`
	// LastSuccess is how long ago the last call succeeded.
	LastSuccess fleetconfig.Duration `json:"last_success"`
	Error       string               `json:"error,omitempty"`
}

// registerFleet adds what only an entry serves.
func (s *Server) registerFleet(api huma.API) {
	huma.Get(api, "/fleet/status", s.status, summary("The fleet as this entry sees it"))
	huma.Get(api, "/fleet/config", s.getConfig, summary("The fleet configuration and its version"))
	huma.Get(api, "/fleet/dump/{process}", s.dumpPeer, summary("State of another process"))
	huma.Get(api, "/fleet/explain", s.explainFleet, summary("Decisions of all processes about one subject"))
	huma.Post(api, "/fleet/edits", s.edit, summary("Edit the fleet configuration"), editOperation)
}

type statusOutput struct{ Body Status }

func (s *Server) status(ctx context.Context, _ *struct{}) (*statusOutput, error) {
	status, err := s.sources.Fleet.Status(ctx)
	if err != nil {
		return nil, huma.Error503ServiceUnavailable("status not available", err)
	}
	return &statusOutput{Body: status}, nil
}
