package planner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/plan"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// maxRebalancedSlots limits the slots that a proposal moves only for balance. Each
// move briefly delays the calls for the keys of the slot.
const maxRebalancedSlots = 2

// modelScope returns the scope of a model's settings.
func modelScope(model string) fleetconfig.Scope {
	return fleetconfig.Scope{Service: sharedstate.ServiceModels, Model: model}
}

// assignSlots assigns each key slot of each plain service to one of its backend
// servers. Apart from rebalancing, a slot keeps its owner while the owner stays.
func (p *proposal) assignSlots(region string) {
	for _, service := range sortedKeys(p.view.Slots) {
		candidates := p.slotCandidates(region, service)
		if len(candidates) == 0 {
			continue
		}
		before := p.plan.Slots[service].Owners
		owners := assign(service, before, p.view.Slots[service], candidates)
		if slices.Equal(before, owners) {
			continue
		}
		invariant.Check(len(before) == 0 || len(before) == len(owners), "slot count never changes",
			"%s from %d to %d", service, len(before), len(owners))
		p.plan.Slots[service] = plan.Slots{Owners: owners}
		p.addChange(service, "slots assigned", "owners joined or left")
	}
}

// slotCandidates returns the backend servers of a service that are neither leaving
// nor drained.
func (p *proposal) slotCandidates(region, service string) []string {
	staying := lo.Filter(p.view.VMs, func(vm sharedstate.VM, _ int) bool {
		return vm.Kind == sharedstate.VMBackend && vm.Region == region && vm.Service == service &&
			!vm.Draining && !lo.FromPtr(p.configValues(vm, "").Drained)
	})
	names := lo.Map(staying, func(vm sharedstate.VM, _ int) string { return vm.Name })
	slices.Sort(names)
	return names
}

// assign returns the owner of each slot. The number of slots never changes after
// the first assignment: otherwise a key would map to another slot, whose owner does
// not know its claim.
func assign(service string, before []string, count int, candidates []string) []string {
	if len(before) > 0 {
		count = len(before)
	}
	owners := make([]string, count)
	owned := map[string]int{}
	for slot := range owners {
		if slot < len(before) && slices.Contains(candidates, before[slot]) {
			owners[slot] = before[slot]
			owned[before[slot]]++
		}
	}
	for slot := range owners {
		if owners[slot] == "" {
			owners[slot] = leastLoadedOwner(service, slot, candidates, owned)
			owned[owners[slot]]++
		}
	}
	balance(service, owners, candidates, owned)
	return owners
}

// balance moves up to maxRebalancedSlots slots from the candidate with the most
// slots to the one with the fewest.
func balance(service string, owners, candidates []string, owned map[string]int) {
	for range maxRebalancedSlots {
		most := slices.MaxFunc(candidates, compareOwned(owned))
		least := slices.MinFunc(candidates, compareOwned(owned))
		if owned[most]-owned[least] <= 1 {
			return
		}
		slot := slices.Index(owners, most)
		owners[slot] = least
		owned[most]--
		owned[least]++
	}
}

func compareOwned(owned map[string]int) func(a, b string) int {
	return func(a, b string) int {
		return cmp.Or(cmp.Compare(owned[a], owned[b]), cmp.Compare(a, b))
	}
}

// leastLoadedOwner returns the candidate with the fewest slots, and among equals
// the one with the highest rendezvous hashing weight.
func leastLoadedOwner(service string, slot int, candidates []string, owned map[string]int) string {
	weight := func(name string) uint64 {
		return xxhash.Sum64String(service + "/" + name + "/" + string(rune(slot)))
	}
	return slices.MinFunc(candidates, func(a, b string) int {
		return cmp.Or(cmp.Compare(owned[a], owned[b]), cmp.Compare(weight(b), weight(a)))
	})
}
