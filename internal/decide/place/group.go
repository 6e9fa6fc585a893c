package place

import "github.com/cespare/xxhash/v2"

const (
	// groupGateways is how many gateways a group has at least. A gateway hears of
	// each placement of its group, so that the group bounds what it takes in.
	// Deployments of up to twice as many have one group.
	groupGateways = 32
	// groupEngines is how many engines a group has at least: both roles, several
	// times each, also where the hash deals unevenly.
	groupEngines = 24
)

// Group is a part of the gateways with a part of the engines. Its gateways place
// on its engines, so that each knows of all work there without hearing of the
// work elsewhere. The zero Group has all engines.
type Group struct {
	Index, Count uint64
}

// Groups returns how many groups a deployment has.
func GroupCount(gateways, engines int) uint64 {
	return uint64(max(1, min(gateways/groupGateways, engines/groupEngines)))
}

// GroupOf returns the group of a gateway among a number of groups.
func GroupOf(gateway string, count uint64) Group {
	return Group{Index: xxhash.Sum64String(gateway) % max(1, count), Count: count}
}

// has reports whether an engine, by the hash of its id, is one of the group's.
func (g Group) has(hash uint64) bool {
	return g.Count <= 1 || hash%g.Count == g.Index
}

// Has reports whether an engine is one of the group's.
func (g Group) Has(engine string) bool { return g.has(xxhash.Sum64String(engine)) }

// scope is which engines a plan may use.
type scope uint8

const (
	// ownEngines are those of the group that are not to be avoided.
	ownEngines scope = iota
	// soundEngines are those of all groups that are not to be avoided. They are
	// used if the group has none: what other gateways do there is not known.
	soundEngines
	// allEngines includes those to be avoided: they may have recovered.
	allEngines
)

var (
	// planScopes are tried one after the other for a plan.
	planScopes = []scope{ownEngines, soundEngines, allEngines}
	// decoderScopes are those for another decoder: one that is to be avoided is
	// no better than the one that refused.
	decoderScopes = []scope{ownEngines, soundEngines}
)
