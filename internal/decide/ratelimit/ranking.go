package ratelimit

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RankAmong ranks a gateway among others for a server; behind all if it is none of them.
// Those that know the same names agree, and a name that comes or goes moves the others by
// one place at most.
func RankAmong(own string, among []string, server string, round uint64) Rank {
	r := Rank{Total: len(among)}
	if !slices.Contains(among, own) {
		r.Position = r.Total
		return r
	}
	key := binary.BigEndian.AppendUint64([]byte(server), round)
	at := weight(own, key)
	for _, other := range among {
		if cmp.Or(cmp.Compare(weight(other, key), at), cmp.Compare(other, own)) < 0 {
			r.Position++
		}
	}
	return r
}

func weight(gateway string, key []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(gateway)
	_, _ = d.Write(key)
	return d.Sum64()
}
