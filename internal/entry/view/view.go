// Package view is what an entry's duties see of the fleet: the VMs, the
// configuration and the plan.
package view

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/plan"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// View is one picture of the fleet. It is never changed.
type View struct {
	VMs    []sharedstate.VM
	Config fleetconfig.Config
	// Plan is nil until one is known.
	Plan *plan.Plan
}

// Source gives the newest View. Any goroutine may call it.
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

// Values returns the configuration in force for a service and model.
func (v *View) ConfigValues(service, model string, now time.Time) fleetconfig.Values {
	return v.Config.For(fleetconfig.Scope{Service: service, Model: model}, now)
}

// Row returns the plan's row of a backend server.
func (v *View) PlanRow(server string) (plan.Engine, bool) {
	if v.Plan == nil {
		return plan.Engine{}, false
	}
	row, ok := v.Plan.Engines[server]
	return row, ok
}

// Owner returns the backend server that owns a key slot; false when the plan
// does not say. Slots returns how many the service has.
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

// Slots returns how many key slots the plan gives a service; 0 when it does
// not say.
func (v *View) SlotCount(service string) int {
	if v.Plan == nil {
		return 0
	}
	return len(v.Plan.Slots[service].Owners)
}
