package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

const (
	// WatchersPerDataCentre is how many entries of a data centre watch the store. With
	// a single one, a pause of that process would leave the data centre out of date.
	WatchersPerDataCentre = 2
	// maxFullMesh is the largest number of entries that form a full mesh.
	maxFullMesh = 8
	// Above maxFullMesh, each entry dials this many peers of its own data centre, of
	// the rest of its region and of each other region, and the entry after it in the
	// order of names. The ring of these alone makes the graph connected.
	peersOwnDataCentre = 2
	peersOwnRegion     = 2
	peersOtherRegion   = 1
)

// Watchers returns the entries that watch the store for a data centre. With rendezvous
// hashing, the selection stays the same when other entries join or leave.
func Watchers(vms []sharedstate.VM, dataCentre string) []string {
	entries := lo.Filter(vms, func(vm sharedstate.VM, _ int) bool {
		return vm.Kind == sharedstate.VMEntry && !vm.Draining && vm.DataCentre == dataCentre
	})
	return RendezvousNodes(names(entries), "watch/"+dataCentre, WatchersPerDataCentre)
}

// Peers returns the entries that the entry self dials.
func Peers(vms []sharedstate.VM, self string) []sharedstate.VM {
	entries := lo.Filter(vms, func(vm sharedstate.VM, _ int) bool {
		return vm.Kind == sharedstate.VMEntry && (!vm.Draining || vm.Name == self)
	})
	slices.SortFunc(entries, byName)
	own, at, listed := lo.FindIndexOf(entries, func(vm sharedstate.VM) bool { return vm.Name == self })
	if !listed {
		return nil
	}
	others := slices.Delete(slices.Clone(entries), at, at+1)
	if len(entries) <= maxFullMesh {
		// Both ends dial. An entry that starts while the VM list is unavailable has no
		// peer to dial, and would stay isolated if the others waited for it.
		return others
	}
	chosen := append([]string{entries[(at+1)%len(entries)].Name}, choosePeers(others, own)...)
	return lo.Filter(others, func(vm sharedstate.VM, _ int) bool { return slices.Contains(chosen, vm.Name) })
}

func choosePeers(others []sharedstate.VM, own sharedstate.VM) []string {
	regions := lo.GroupBy(others, func(vm sharedstate.VM) string { return vm.Region })
	near, far := lo.FilterReject(regions[own.Region], func(vm sharedstate.VM, _ int) bool {
		return vm.DataCentre == own.DataCentre
	})
	chosen := RendezvousNodes(names(near), own.Name, peersOwnDataCentre)
	chosen = append(chosen, RendezvousNodes(names(far), own.Name, peersOwnRegion)...)
	for region, vms := range regions {
		if region != own.Region {
			chosen = append(chosen, RendezvousNodes(names(vms), own.Name, peersOtherRegion)...)
		}
	}
	return chosen
}

// RendezvousNodes returns up to count nodes with the highest rendezvous hashes for key.
// Removing a node corrupts the library's node list, so that each node is selected by a
// new instance with the remaining ones.
func RendezvousNodes(nodes []string, key string, count int) []string {
	chosen := []string{}
	for len(nodes) > 0 && len(chosen) < count {
		next := rendezvous.New(nodes, xxhash.Sum64String).Lookup(key)
		chosen = append(chosen, next)
		nodes = lo.Without(nodes, next)
	}
	return chosen
}

func names(vms []sharedstate.VM) []string {
	return lo.Map(vms, func(vm sharedstate.VM, _ int) string { return vm.Name })
}

func byName(a, b sharedstate.VM) int {
	switch {
	case a.Name < b.Name:
		return -1
	case a.Name > b.Name:
		return 1
	default:
		return 0
	}
}
