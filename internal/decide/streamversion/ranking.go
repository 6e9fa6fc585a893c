package streamversion

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Gateways ranks gateways for each stream by rendezvous hashing: those of the first ranks
// record its version. Gateways that know the same names agree, and a name that is added or
// removed moves the others by one rank at most.
type Gateways struct {
	names  []string
	hashes []uint64
}

// NewGateways returns a ranking of gateways by name.
func NewGateways(names []string) Gateways {
	g := Gateways{names: names}
	for _, name := range names {
		g.hashes = append(g.hashes, xxhash.Sum64String(name))
	}
	return g
}

// First returns the gateways of the first ranks for a stream, in order.
func (g Gateways) First(id StreamID, count int) []string {
	weights := make([]uint64, 0, count+1)
	chosen := make([]string, 0, count+1)
	for i, h := range g.hashes {
		w := mix(h ^ uint64(id))
		rank := 0
		for rank < len(weights) && weights[rank] >= w {
			rank++
		}
		if rank >= count {
			continue
		}
		weights = slices.Insert(weights, rank, w)
		chosen = slices.Insert(chosen, rank, g.names[i])
		weights, chosen = weights[:min(count, len(weights))], chosen[:min(count, len(chosen))]
	}
	return chosen
}

// mix is the finalizer of SplitMix64: every bit of x affects all bits of the result.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
