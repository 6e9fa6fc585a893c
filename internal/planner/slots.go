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

// movesPerProposal bounds the slots that move for balance alone. Each move
// holds the calls of its keys back for a moment.
const movesPerProposal = 2

// fleetScope is the scope of a model's settings.
func fleetScope(model string) fleetconfig.Scope {
	return fleetconfig.Scope{Service: sharedstate.ServiceModels, Model: model}
}

// assignSlots gives each key slot of each plain service to one of its backend
// servers. A slot stays where it is while its owner stays.
func (d *draft) assignSlots(region string) {
	for _, service := range sortedKeys(d.picture.Slots) {
		candidates := d.slotCandidates(region, service)
		if len(candidates) == 0 {
			continue
		}
		before := d.plan.Slots[service].Owners
		owners := assign(service, before, d.picture.Slots[service], candidates)
		if slices.Equal(before, owners) {
			continue
		}
		invariant.Check(len(before) == 0 || len(before) == len(owners), "slot count never changes",
			"%s from %d to %d", service, len(before), len(owners))
		d.plan.Slots[service] = plan.Slots{Owners: owners}
		d.note(service, "slots assigned", "owners joined or left")
	}
}

// slotCandidates returns the backend servers of a service that stay.
func (d *draft) slotCandidates(region, service string) []string {
	staying := lo.Filter(d.picture.VMs, func(vm sharedstate.VM, _ int) bool {
		return vm.Kind == sharedstate.VMBackend && vm.Region == region && vm.Service == service &&
			!vm.Leaving && !lo.FromPtr(d.values(vm, "").Drained)
	})
	names := lo.Map(staying, func(vm sharedstate.VM, _ int) string { return vm.Name })
	slices.Sort(names)
	return names
}

// assign returns the owner of each slot. The number of slots is that of the
// first assignment: another number would send the same key to another slot,
// where its claim is not known.
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
			owners[slot] = leastOwning(service, slot, candidates, owned)
			owned[owners[slot]]++
		}
	}
	balance(service, owners, candidates, owned)
	return owners
}

// balance moves a few slots from the largest owner to the smallest.
func balance(service string, owners, candidates []string, owned map[string]int) {
	for range movesPerProposal {
		most := slices.MaxFunc(candidates, byOwned(owned))
		least := slices.MinFunc(candidates, byOwned(owned))
		if owned[most]-owned[least] <= 1 {
			return
		}
		slot := slices.Index(owners, most)
		owners[slot] = least
		owned[most]--
		owned[least]++
	}
}

func byOwned(owned map[string]int) func(a, b string) int {
	return func(a, b string) int {
		return cmp.Or(cmp.Compare(owned[a], owned[b]), cmp.Compare(a, b))
	}
}

// leastOwning returns the candidate with the fewest slots, and among equals
// the one of the highest rendezvous weight.
func leastOwning(service string, slot int, candidates []string, owned map[string]int) string {
	weight := func(name string) uint64 {
		return xxhash.Sum64String(service + "/" + name + "/" + string(rune(slot)))
	}
	return slices.MinFunc(candidates, func(a, b string) int {
		return cmp.Or(cmp.Compare(owned[a], owned[b]), cmp.Compare(weight(b), weight(a)))
	})
}
