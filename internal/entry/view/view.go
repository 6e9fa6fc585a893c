// Package view defines the read-only view of the fleet that the duties of an
// entry share: the VMs, the configuration and the plan.
package view

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/plan"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// View is an immutable view of the fleet at one time.
type View struct {
	VMs    []sharedstate.VM
	Config fleetconfig.Config
	// Plan is nil until one has been received.
	Plan *plan.Plan
}

// Source returns the latest View. It is safe for concurrent use.
type Source interface {
	View() *View
}

// Backends returns the VMs that run a backend server.
func (v *View) Backends() []sharedstate.VM {
	backends := make([]sharedstate.VM, 0, len(v.VMs))
	for _, vm := range v.VMs {
		if vm.Kind == sharedstate.VMBackend {
			backends = append(backends, vm)
		}
	}
	return backends
}

// ConfigValues returns the active configuration values of a service and model.
func (v *View) ConfigValues(service, model string, now time.Time) fleetconfig.Values {
	return v.Config.EffectiveValues(fleetconfig.Scope{Service: service, Model: model}, now)
}

// PlanRow returns the plan's row of a backend server.
func (v *View) PlanRow(server string) (plan.Engine, bool) {
	if v.Plan == nil {
		return plan.Engine{}, false
	}
	row, ok := v.Plan.Engines[server]
	return row, ok
}

// SlotOwner returns the backend server that owns a key slot, or false if the plan
// names none.
func (v *View) SlotOwner(service string, slot int) (string, bool) {
	if v.Plan == nil {
		return "", false
	}
	owners := v.Plan.Slots[service].Owners
	if slot >= len(owners) || owners[slot] == "" {
		return "", false
	}
	return owners[slot], true
}

// SlotCount returns the number of key slots of a service, or 0 if the plan has no
// slots for it.
func (v *View) SlotCount(service string) int {
	if v.Plan == nil {
		return 0
	}
	return len(v.Plan.Slots[service].Owners)
}
