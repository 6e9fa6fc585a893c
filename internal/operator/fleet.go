package operator

import (
	"context"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// Fleet provides an entry's view of the whole fleet.
type Fleet interface {
	// Status returns the status of the fleet as the entry sees it.
	Status(ctx context.Context) (Status, error)
	// Peers returns the operator addresses of all other known processes.
	Peers(ctx context.Context) ([]Peer, error)
	// Config returns the fleet configuration active on this entry.
	Config() sharedstate.Object
	// Accept passes a newer fleet configuration to the entry, so that it becomes
	// active here without waiting for the watch to deliver it.
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

// Status is the status of the fleet as one entry sees it.
type Status struct {
	// Entry is the name of the responding process.
	Entry     string               `json:"entry"`
	At        time.Time            `json:"at"`
	Planner   string               `json:"planner,omitempty" doc:"Entry that holds the planner lease"`
	Processes []ProcessStatus      `json:"processes"`
	Engines   []EngineStatus       `json:"engines"`
	Changes   []PendingChange      `json:"changes"`
	Store     StoreStatus          `json:"store"`
	VMListAge fleetconfig.Duration `json:"vm_list_age"`
}

// ProcessState is the state of a process as the entry sees it.
type ProcessState string

// States of a process.
const (
	ProcessUp       ProcessState = "up"
	ProcessDraining ProcessState = "draining"
	// ProcessLeaving means that the VM list marks the process as leaving.
	ProcessLeaving ProcessState = "leaving"
	// ProcessSilent means that the link to the process is down, or that no frame
	// arrived on it for link.SilenceTimeout.
	ProcessSilent ProcessState = "silent"
	// ProcessUnlinked means that the process is in the VM list, but this entry
	// maintains no link to it.
	ProcessUnlinked ProcessState = "unlinked"
)

// ProcessStatus is the status of one process.
type ProcessStatus struct {
	Name       string       `json:"name"`
	Kind       string       `json:"kind" doc:"entry or sidecar"`
	DataCentre string       `json:"data_centre"`
	Service    string       `json:"service,omitempty"`
	State      ProcessState `json:"state"`
	// LastHeard is the time since the last frame from the process.
	LastHeard fleetconfig.Duration `json:"last_heard"`
	// Versions are the object versions active on the process, by object name.
	Versions map[string]uint64 `json:"versions,omitempty"`
	// Work is the load of a backend server; nil if unknown.
	Work *WorkStatus `json:"work,omitempty"`
}

// WorkStatus is the load of a backend server as reported by its sidecar.
type WorkStatus struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Admitting reports whether the sidecar accepts new requests.
	Admitting bool `json:"admitting"`
	// Drained reports whether an operator took the backend server out of service.
	Drained bool `json:"drained"`
}

// EngineState is the wanted or actual state of an engine.
type EngineState struct {
	Generation uint64   `json:"generation"`
	Role       string   `json:"role"`
	Model      string   `json:"model,omitempty"`
	Weights    string   `json:"weights,omitempty"`
	Adapters   []string `json:"adapters,omitempty"`
}

// EngineStatus is the status of one model engine.
type EngineStatus struct {
	BackendServer string      `json:"backend_server"`
	DataCentre    string      `json:"data_centre"`
	Wanted        EngineState `json:"wanted"`
	Actual        EngineState `json:"actual"`
	Drained       bool        `json:"drained"`
	Admitting     bool        `json:"admitting"`
	// Changing reports whether the actual state still differs from the wanted one.
	Changing bool `json:"changing"`
	Running  int  `json:"running"`
	Queued   int  `json:"queued"`
}

// PendingChange is a planned change that has not taken effect yet.
type PendingChange struct {
	BackendServer string `json:"backend_server"`
	What          string `json:"what"`
	Reason        string `json:"reason"`
}

// StoreStatus is the status of the platform's store as the entry sees it.
type StoreStatus struct {
	Healthy bool `json:"healthy"`
	// LastSuccess is the time since the store last responded.
	LastSuccess fleetconfig.Duration `json:"last_success"`
	Error       string               `json:"error,omitempty"`
}

// registerFleet registers the operations that only an entry serves.
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
