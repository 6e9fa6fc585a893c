package links

import (
	"pistachioroad.dev/pistachioroad/internal/member"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// subset chooses the backend servers that get a standing link: for each
// service the configured number, in the own data centre first, then in the
// own region, then anywhere.
//
// A full mesh of 350 entries and 600 sidecars spends more on heartbeats than a
// node may use for control. Rendezvous hashing by the entry's name spreads the
// entries evenly over the sidecars, and a VM that comes or goes changes no
// other choice.
func subset(backends []sharedstate.VM, config Config) map[string]bool {
	chosen := map[string]bool{}
	for _, group := range byService(backends) {
		left := config.LinksPerService
		if left <= 0 {
			left = len(group)
		}
		for _, tier := range tiers(group, config) {
			left -= choose(chosen, tier, config.Self.GetProcess(), left)
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

// tiers splits a group by distance, the nearest first.
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

// choose adds up to n names and returns how many it added.
func choose(chosen map[string]bool, names []string, key string, n int) int {
	picked := member.Choose(names, key, n)
	for _, name := range picked {
		chosen[name] = true
	}
	return len(picked)
}
