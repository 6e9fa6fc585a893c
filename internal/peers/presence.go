package peers

import (
	"maps"
	"net/netip"
	"time"

	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	// presenceRounds is the number of lists after which a gateway announces itself again: twice
	// within listRetention.
	presenceRounds = 4
	// maxGateways limits the gateways that are known by their announcements.
	maxGateways = 4_096
)

// presenceStartup are the first lists after which a gateway announces itself. Datagrams may be
// lost.
var presenceStartup = map[int]bool{1: true, 3: true}

// announcePresence announces this gateway to all others, which may not have it in their lists:
// one that has lost the store would divide limits without it.
func (p *Peers) announcePresence(round int) {
	if presenceStartup[round] || (round > 0 && round%presenceRounds == 0) {
		p.enqueue(allPeers, flushDelay, len(p.name), func(s *wire.Share) { s.Gateway = p.name })
	}
}

// join adds a gateway that has announced itself. It stays known as if a list had had it.
func (p *Peers) join(name string, address netip.AddrPort, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.others[name]
	if name == p.name || (!ok && len(p.others) >= maxGateways) {
		return
	}
	p.recent.refresh(now, name, address)
	if ok && known == address {
		return
	}
	others := maps.Clone(p.others)
	others[name] = address
	p.setOthers(others)
}
