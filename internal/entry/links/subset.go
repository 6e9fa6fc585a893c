package links

import (
	"pistachioroad.dev/pistachioroad/internal/member"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// subset chooses the backend servers that get a persistent link: for each service
// the configured number, from the local data centre first, then from the local
// region, then from anywhere.
//
// Heartbeats of a full mesh of 350 entries and 600 sidecars would exceed what a
// node may spend on control traffic. Rendezvous hashing by the entry's name
// spreads the entries evenly over the sidecars, and a VM that is added or removed
// does not affect the choice of other VMs.
func subset(backends []sharedstate.VM, config Config) map[string]bool {
	chosen := map[string]bool{}
	for _, group := range byService(backends) {
		remaining := config.LinksPerService
		if remaining <= 0 {
			remaining = len(group)
		}
		for _, tier := range tiers(group, config) {
			remaining -= choose(chosen, tier, config.Self.GetProcess(), remaining)
		}
	}
	return chosen
}

func byService(backends []sharedstate.VM) map[string][]sharedstate.VM {
	groups := map[string][]sharedstate.VM{}
	for _, vm := range backends {
		groups[vm.Service] = append(groups[vm.Service], vm)
	}
	return groups
}

// tiers splits the VMs of a service by distance: local data centre, local region,
// other.
func tiers(group []sharedstate.VM, config Config) [3][]string {
	var tiers [3][]string
	for _, vm := range group {
		switch {
		case vm.DataCentre == config.DataCentre:
			tiers[0] = append(tiers[0], vm.Name)
		case vm.Region == config.Region:
			tiers[1] = append(tiers[1], vm.Name)
		default:
			tiers[2] = append(tiers[2], vm.Name)
		}
	}
	return tiers
}

// choose adds up to n of names to chosen by rendezvous hashing with key, and
// returns how many it added.
func choose(chosen map[string]bool, names []string, key string, n int) int {
	picked := member.RendezvousNodes(names, key, n)
	for _, name := range picked {
		chosen[name] = true
	}
	return len(picked)
}
