package peers

import (
	"net/netip"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"pistachioroad.dev/pistachioroad/internal/boottime"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// audience is whom a message is for.
type audience uint8

const (
	// everyone is all other gateways.
	everyone audience = iota
	// group is those that place on the same engines.
	group
	// some are a few of the others, others each time.
	some
	audiences
)

// mostOfSome is how many gateways some are.
const mostOfSome = 3

// outbox collects messages for one audience into a datagram.
type outbox struct {
	pending *wire.Share
	size    int
	timer   *time.Timer
	// due is when the timer ends.
	due time.Time
}

// JoinGroup implements gateway.Share.
func (p *Peers) JoinGroup(count uint64) place.Group {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.group.Count != count {
		p.group = place.GroupOf(p.name, count)
		p.membership++
		p.findMembers()
	}
	return p.group
}

// findMembers looks for the other gateways of the group.
func (p *Peers) findMembers() {
	p.members = make(map[string]netip.AddrPort)
	for name, address := range p.others {
		if place.GroupOf(name, p.group.Count).Index == p.group.Index {
			p.members[name] = address
		}
	}
}

func (p *Peers) addresses(to audience) map[string]netip.AddrPort {
	switch to {
	case group:
		return p.members
	case some:
		return p.someOthers()
	default:
		return p.others
	}
}

// someOthers returns a few of the other gateways, at random.
func (p *Peers) someOthers() map[string]netip.AddrPort {
	names := lo.Samples(lo.Keys(p.others), mostOfSome)
	return lo.PickByKeys(p.others, names)
}

// tell adds to the next datagram for an audience, which leaves within a time.
func (p *Peers) tell(to audience, within time.Duration, size int, add func(*wire.Share)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.addresses(to)) == 0 {
		return
	}
	box := &p.outboxes[to]
	if box.pending != nil && box.size+size > maxDatagram {
		p.flush(to)
	}
	due := time.Now().Add(within)
	switch {
	case box.pending == nil:
		box.pending = &wire.Share{Sender: uint32(p.start)}
		box.size = 0
		box.due = due
		box.timer = time.AfterFunc(within, func() { p.flushDue(to) })
	case due.Before(box.due):
		box.due = due
		box.timer.Reset(within)
	}
	add(box.pending)
	box.size += size
}

// flushDue is flush once its time has come.
func (p *Peers) flushDue(to audience) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.flush(to)
}

// flush sends what waits to all of an audience. Datagrams that cannot be sent
// count as lost.
func (p *Peers) flush(to audience) {
	box := &p.outboxes[to]
	if box.pending == nil {
		return
	}
	box.timer.Stop()
	box.pending.SentMs = uint64(boottime.Now().Milliseconds())
	data, err := proto.Marshal(box.pending)
	box.pending = nil
	if err != nil {
		p.dropped.Inc(1)
		return
	}
	for _, address := range p.addresses(to) {
		if _, err := p.conn.WriteToUDPAddrPort(data, address); err != nil {
			p.dropped.Inc(1)
			continue
		}
		p.sent.Inc(1)
	}
}
