package peers

import (
	"maps"
	"net/netip"
	"time"

	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	// heardRetention is how long a gateway that no list has is known after its last datagram.
	heardRetention = 30 * time.Second
	// maxHeard limits the addresses that are kept.
	maxHeard = 4_096
	// presenceRounds is the number of lists after which a gateway announces itself again: twice
	// within heardRetention.
	presenceRounds = 4
)

// presenceStartup are the first lists after which a gateway announces itself. Datagrams may be
// lost.
var presenceStartup = map[int]bool{1: true, 3: true}

// announcePresence sends a datagram to all other gateways that may not have this one in their
// lists: one that has lost the store would divide limits without it.
func (p *Peers) announcePresence(round int) {
	if presenceStartup[round] || (round > 0 && round%presenceRounds == 0) {
		p.enqueue(allPeers, flushDelay, 0, func(*wire.Share) {})
	}
}

// hear records that a gateway sent a datagram at a time since boot.
func (p *Peers) hear(from netip.AddrPort, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listedAddresses[from] {
		return
	}
	if len(p.heardAt) >= maxHeard {
		p.forgetUnheard(now)
	}
	if len(p.heardAt) < maxHeard {
		p.heardAt[from] = now
	}
}

// unlisted returns how many gateways no list has that have sent datagrams lately. p.mu must be
// held.
func (p *Peers) unlisted(now time.Duration) int {
	if len(p.heardAt) > 0 {
		p.forgetUnheard(now)
	}
	return len(p.heardAt)
}

// forgetUnheard forgets gateways that a list has by now, or that have sent nothing lately.
func (p *Peers) forgetUnheard(now time.Duration) {
	maps.DeleteFunc(p.heardAt, func(a netip.AddrPort, at time.Duration) bool {
		return p.listedAddresses[a] || now-at >= heardRetention
	})
}
