package peers

import (
	"net/netip"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"pistachioroad.dev/pistachioroad/internal/boottime"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/safego"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// audience is a set of recipients.
type audience uint8

const (
	// allPeers are all other gateways.
	allPeers audience = iota
	// ownGroup are the other gateways that assign requests to the same engines.
	ownGroup
	// randomPeers are a few of the other gateways, sampled for each datagram.
	randomPeers
	// collectors are the other gateways that collect the usage of client accounts.
	collectors
	audienceCount
)

// randomPeerCount is the size of the sample for randomPeers.
const randomPeerCount = 3

// outbox collects the messages to one audience into a datagram.
type outbox struct {
	pending *wire.Share
	size    int
	// reportedAt are the times of the pending reports of servers.
	reportedAt []time.Time
	timer      *time.Timer
	// due is when the timer fires.
	due time.Time
}

// JoinGroup implements gateway.Gossip.
func (p *Peers) JoinGroup(count uint64) place.Group {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.group.Count != count {
		p.group = place.GroupOf(p.name, count)
		p.membershipVersion++
		p.updateGroupMembers()
	}
	return p.group
}

// updateGroupMembers recomputes the other gateways of the group.
func (p *Peers) updateGroupMembers() {
	p.groupMembers = make(map[string]netip.AddrPort)
	for name, address := range p.others {
		if place.GroupOf(name, p.group.Count).Index == p.group.Index {
			p.groupMembers[name] = address
		}
	}
}

func (p *Peers) recipients(to audience) map[string]netip.AddrPort {
	switch to {
	case ownGroup:
		return p.groupMembers
	case randomPeers:
		return p.samplePeers()
	case collectors:
		return p.collectors
	default:
		return p.others
	}
}

// samplePeers returns a random sample of the other gateways.
func (p *Peers) samplePeers() map[string]netip.AddrPort {
	names := lo.Samples(lo.Keys(p.others), randomPeerCount)
	return lo.PickByKeys(p.others, names)
}

// enqueue adds a message to the next datagram to an audience, which is sent at the latest
// after within.
func (p *Peers) enqueue(to audience, within time.Duration, size int, add func(*wire.Share)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.recipients(to)) == 0 {
		return
	}
	box := &p.outboxes[to]
	if box.pending != nil && box.size+size > maxDatagramBytes {
		p.flush(to)
	}
	due := time.Now().Add(within)
	switch {
	case box.pending == nil:
		box.pending = &wire.Share{Sender: uint32(p.startID)}
		box.size = 0
		box.due = due
		box.timer = safego.AfterFunc(within, "send to gateways", func() { p.flushDue(to) })
	case due.Before(box.due):
		box.due = due
		box.timer.Reset(within)
	}
	add(box.pending)
	box.size += size
}

// Flush sends all pending datagrams at once.
func (p *Peers) Flush() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to := range audienceCount {
		p.flush(to)
	}
}

// flushDue flushes when the timer of an outbox fires.
func (p *Peers) flushDue(to audience) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.flush(to)
}

// stamp sets the times of a datagram that is about to be sent.
func (p *Peers) stamp(s *wire.Share) {
	now := boottime.Now()
	s.SentMs = uint64(now.Milliseconds())
	if len(s.Usage) > 0 {
		s.ClockUs = time.Now().UnixMicro()
	}
	if s.Confirmation != nil {
		if t, ok := p.trueTime.Anchored(now); ok {
			s.Confirmation.TrueUs = t.UnixMicro()
		}
	}
}

// flush sends the pending datagram to an audience. Datagrams that cannot be sent count as
// dropped.
func (p *Peers) flush(to audience) {
	box := &p.outboxes[to]
	if box.pending == nil {
		return
	}
	box.timer.Stop()
	// Also after a panic: nothing would be sent any more otherwise.
	defer func() { box.pending = nil }()
	p.stamp(box.pending)
	box.stampReports(time.Now())
	data, err := proto.Marshal(box.pending)
	if err != nil {
		p.dropped.Inc(1)
		return
	}
	for _, address := range p.recipients(to) {
		if _, err := p.conn.WriteToUDPAddrPort(data, address); err != nil {
			p.dropped.Inc(1)
			continue
		}
		p.sent.Inc(1)
	}
}
