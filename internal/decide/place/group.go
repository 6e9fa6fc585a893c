package place

import "github.com/cespare/xxhash/v2"

const (
	// minGroupGateways is the minimum number of gateways in a group. A gateway receives
	// each placement of its group, so that the group bounds its inbound traffic.
	// Deployments with fewer than twice as many have one group.
	minGroupGateways = 32
	// minGroupEngines is the minimum number of engines in a group: several of each
	// role, even where the hash distributes them unevenly.
	minGroupEngines = 24
)

// Group is a subset of the gateways with a subset of the engines. Its gateways place
// requests on its engines, so that each knows of all requests there without receiving
// the placements of other groups. The zero Group has all engines.
type Group struct {
	Index, Count uint64
}

// GroupCount returns how many groups a deployment has.
func GroupCount(gateways, engines int) uint64 {
	return uint64(max(1, min(gateways/minGroupGateways, engines/minGroupEngines)))
}

// GroupOf returns the group of a gateway among a number of groups.
func GroupOf(gateway string, count uint64) Group {
	return Group{Index: xxhash.Sum64String(gateway) % max(1, count), Count: count}
}

// has reports whether an engine, by the hash of its ID, belongs to the group.
func (g Group) has(hash uint64) bool {
	return g.Count <= 1 || hash%g.Count == g.Index
}

// Has reports whether an engine belongs to the group.
func (g Group) Has(engine string) bool { return g.has(xxhash.Sum64String(engine)) }

// scope is the set of engines that a plan may use.
type scope uint8

const (
	// healthyInGroup has the engines of the group that are not avoided.
	healthyInGroup scope = iota
	// healthyAnywhere has the engines of all groups that are not avoided. They are used
	// if the group has none, since the placements of other groups are unknown.
	healthyAnywhere
	// anyEngine includes avoided engines: they may have recovered.
	anyEngine
)

var (
	// planScopes are tried in order for a plan.
	planScopes = []scope{healthyInGroup, healthyAnywhere, anyEngine}
	// alternateDecodeScopes are tried for an alternate decode engine: an avoided one is
	// no better than the one that rejected the request.
	alternateDecodeScopes = []scope{healthyInGroup, healthyAnywhere}
)
