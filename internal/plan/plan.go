// Package plan defines the plan of a region: the target state of each engine, and
// the sidecar that owns each key slot of a plain service.
package plan

import (
	"maps"

	"pistachioroad.dev/pistachioroad/internal/engine"
)

// Plan is the value of the object plan/<region> in the store. It is only changed
// by conditional updates.
type Plan struct {
	Region string `json:"region"`
	// WriteID is random for each write. With it, a writer whose reply was lost
	// can tell whether the write was applied.
	WriteID string `json:"write_id"`
	// GenerationFloor is at least the highest generation of any removed row. New
	// rows start above it, so that generations also rise for a backend server that
	// left and rejoined.
	GenerationFloor uint64 `json:"floor,omitempty"`
	// Engines is keyed by the name of the backend server.
	Engines map[string]Engine `json:"engines"`
	// Slots is keyed by the name of the plain service.
	Slots map[string]Slots `json:"slots"`
}

// Engine is a row of the plan: the target state of a backend server's engine.
type Engine struct {
	// Generation increases with each change of the row. It is the fencing token
	// of the order.
	Generation uint64      `json:"generation"`
	Role       engine.Role `json:"role"`
	Model      string      `json:"model"`
	Adapters   []string    `json:"adapters,omitempty"`
	Weights    string      `json:"weights"`
	// Reason explains the last change of the row to operators.
	Reason string `json:"reason"`
}

// Order returns the order that brings an engine to this target state.
func (e Engine) Order() engine.Order {
	return engine.Order{
		Generation: e.Generation,
		Role:       e.Role,
		Model:      e.Model,
		Adapters:   e.Adapters,
		Weights:    e.Weights,
	}
}

// Slots has the owners of the key slots of one plain service.
type Slots struct {
	// Owners is indexed by slot and has the backend server that owns it. Its
	// length, the number of slots, never changes.
	Owners []string `json:"owners"`
}

// ObjectName returns the name of a region's plan object in the store.
func ObjectName(region string) string { return "plan/" + region }

// Clone returns a copy of p whose maps and slot owners can be changed
// independently.
func (p Plan) Clone() Plan {
	c := p
	c.Engines = maps.Clone(p.Engines)
	c.Slots = make(map[string]Slots, len(p.Slots))
	for service, slots := range p.Slots {
		c.Slots[service] = Slots{Owners: append([]string(nil), slots.Owners...)}
	}
	return c
}
