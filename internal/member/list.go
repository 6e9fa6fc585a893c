package member

import (
	"time"

	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	// maxVMs bounds the length of a VM list received from a peer.
	maxVMs = 8192
	// maxListAge caps the age of a VM list received from a peer.
	maxListAge = 24 * time.Hour
)

// listToWire returns the message for a VM list of the given age.
func listToWire(vms []sharedstate.VM, age time.Duration) *wire.VMs {
	return &wire.VMs{
		AgeMs: uint64(max(0, age).Milliseconds()),
		Vms: lo.Map(vms, func(vm sharedstate.VM, _ int) *wire.VMs_VM {
			return &wire.VMs_VM{
				Name:            vm.Name,
				Kind:            string(vm.Kind),
				Region:          vm.Region,
				DataCentre:      vm.DataCentre,
				LinkAddress:     vm.LinkAddress,
				OperatorAddress: vm.OperatorAddress,
				Service:         vm.Service,
				Leaving:         vm.Draining,
			}
		}),
	}
}

// listFromWire returns the VM list of a message and its age, both within bounds.
func listFromWire(f *wire.VMs) ([]sharedstate.VM, time.Duration) {
	listed := f.GetVms()
	vms := lo.Map(listed[:min(len(listed), maxVMs)], func(vm *wire.VMs_VM, _ int) sharedstate.VM {
		return sharedstate.VM{
			Name:            vm.GetName(),
			Kind:            sharedstate.VMKind(vm.GetKind()),
			Region:          vm.GetRegion(),
			DataCentre:      vm.GetDataCentre(),
			LinkAddress:     vm.GetLinkAddress(),
			OperatorAddress: vm.GetOperatorAddress(),
			Service:         vm.GetService(),
			Draining:        vm.GetLeaving(),
		}
	})
	return vms, time.Duration(min(f.GetAgeMs(), uint64(maxListAge.Milliseconds()))) * time.Millisecond
}
