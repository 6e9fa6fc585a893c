// Package plan holds the plan of a region: what each engine is to be, and which
// sidecar owns which key slot of a plain service.
package plan

import (
	"maps"

	"pistachioroad.dev/pistachioroad/internal/engine"
)

// Plan is the object plan/<region>. Only its conditional update changes it.
type Plan struct {
	Region string `json:"region"`
	// WriteID is random per write; a writer whose reply was lost looks for it.
	WriteID string `json:"write_id"`
	// Floor is at least the highest generation of any row ever removed. New
	// rows begin above it, so that generations rise even for a backend server
	// that left and came back.
	GenerationFloor uint64 `json:"floor,omitempty"`
	// Engines is keyed by the name of the backend server.
	Engines map[string]Engine `json:"engines"`
	// Slots is keyed by the name of the plain service.
	Slots map[string]Slots `json:"slots"`
}

// Engine is one row: what the engine of a backend server is to be.
type Engine struct {
	// Generation rises strictly with each change of the row. It is the fencing
	// token of the order.
	Generation uint64      `json:"generation"`
	Role       engine.Role `json:"role"`
	Model      string      `json:"model"`
	Adapters   []string    `json:"adapters,omitempty"`
	Weights    string      `json:"weights"`
	// Reason is why the row last changed, for people.
	Reason string `json:"reason"`
}

// Order returns the order that brings an engine to the row.
func (e Engine) Order() engine.Order {
	return engine.Order{
		Generation: e.Generation,
		Role:       e.Role,
		Model:      e.Model,
		Adapters:   e.Adapters,
		Weights:    e.Weights,
	}
}

// Slots is the ownership of the key slots of one plain service.
type Slots struct {
	// Owners has one backend server per slot; its length is the slot count,
	// which never changes.
	Owners []string `json:"owners"`
}

// ObjectName returns the name of the plan object of a region.
func ObjectName(region string) string { return "plan/" + region }

// Clone returns a Plan whose maps can be changed apart from those of p.
func (p Plan) Clone() Plan {
	c := p
	c.Engines = maps.Clone(p.Engines)
	c.Slots = make(map[string]Slots, len(p.Slots))
	for service, slots := range p.Slots {
		c.Slots[service] = Slots{Owners: append([]string(nil), slots.Owners...)}
	}
	return c
}
