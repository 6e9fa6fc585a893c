package ratelimit

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RankAmong ranks a gateway among gateways for a server and round by rendezvous hashing. A
// gateway that is not one of them ranks after all. Those that know the same names agree,
// and a name that is added or removed moves the others by one position at most.
func RankAmong(own string, gateways []string, server string, round uint64) Rank {
	r := Rank{Total: len(gateways)}
	if !slices.Contains(gateways, own) {
		r.Position = r.Total
		return r
	}
	key := binary.BigEndian.AppendUint64([]byte(server), round)
	ownWeight := weight(own, key)
	for _, other := range gateways {
		if cmp.Or(cmp.Compare(weight(other, key), ownWeight), cmp.Compare(other, own)) < 0 {
			r.Position++
		}
	}
	return r
}

// weight returns the hash by which a gateway is ranked for a key.
func weight(gateway string, key []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(gateway)
	_, _ = d.Write(key)
	return d.Sum64()
}
