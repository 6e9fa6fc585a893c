package peers

import (
	"net/netip"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"pistachioroad.dev/pistachioroad/internal/decide/streamversion"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	// recordReplicas is the number of gateways that record the version of each stream.
	recordReplicas = 2
	// queriedReplicas is the number of gateways that are asked for it. It exceeds recordReplicas
	// because gateways that have joined since may have the first ranks without a record.
	queriedReplicas = 4
)

// AnnounceStreamVersion implements gateway.Gossip. The datagrams are sent before it
// returns, because a gateway that is killed announces nothing later.
func (p *Peers) AnnounceStreamVersion(id streamversion.StreamID, v streamversion.Version) {
	s := &wire.Share{StreamVersions: []*wire.StreamVersion{encodeStreamVersion(id, v)}}
	p.sendNow(s, p.gatewaysFor(id, recordReplicas))
}

// QueryStreamVersion implements gateway.Gossip.
func (p *Peers) QueryStreamVersion(q streamversion.Query) (asked int) {
	to := p.gatewaysFor(q.Stream, queriedReplicas)
	m := &wire.StreamQuery{Stream: uint64(q.Stream), Service: q.Service, LifeMs: uint32(max(0, q.Life.Milliseconds())), Era: int64(q.Era)}
	p.sendNow(&wire.Share{StreamQueries: []*wire.StreamQuery{m}}, to)
	return len(to)
}

// gatewaysFor returns the first gateways for a stream without this one, which may be among
// them.
func (p *Peers) gatewaysFor(id streamversion.StreamID, count int) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lo.FilterMap(p.streamRanking.First(id, count), func(name string, _ int) (netip.AddrPort, bool) {
		address, ok := p.others[name]
		return address, ok
	})
}

// sendNow sends a datagram to some gateways. It has no time, so that its sender is not
// among those whose delay is estimated: any gateway sends such datagrams to any other.
func (p *Peers) sendNow(s *wire.Share, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	s.Sender = uint32(p.startID)
	data, err := proto.Marshal(s)
	if err != nil {
		p.dropped.Inc(int64(len(to)))
		return
	}
	for _, address := range to {
		if _, err := p.conn.WriteToUDPAddrPort(data, address); err != nil {
			p.dropped.Inc(1)
			continue
		}
		p.sent.Inc(1)
	}
}

// receiveStreams handles the versions of streams in a datagram.
func (p *Peers) receiveStreams(s *wire.Share) {
	for _, m := range s.StreamVersions {
		p.receiver.RemoteStreamVersion(streamversion.StreamID(m.Stream), streamversion.Version{Service: m.Service, Software: m.Software})
	}
	for _, m := range s.UnknownStreams {
		p.receiver.RemoteStreamUnknown(streamversion.StreamID(m.Stream), s.Sender, decodeServed(m))
	}
}

// decodeServed decodes what another gateway knows of a service.
func decodeServed(m *wire.UnknownStream) streamversion.Served {
	if m.Single == nil {
		return streamversion.Served{}
	}
	return streamversion.Served{
		Version: streamversion.Version{Service: m.Service, Software: *m.Single}, Single: true, Complete: true,
	}
}

// answerStreamQueries answers the queries in a datagram.
func (p *Peers) answerStreamQueries(s *wire.Share, from netip.AddrPort) {
	if len(s.StreamQueries) == 0 || s.Sender == uint32(p.startID) {
		return
	}
	answer := &wire.Share{}
	for _, m := range s.StreamQueries {
		id := streamversion.StreamID(m.Stream)
		if v, ok := p.receiver.RecordedStreamVersion(id); ok {
			answer.StreamVersions = append(answer.StreamVersions, encodeStreamVersion(id, v))
			continue
		}
		unknown := &wire.UnknownStream{Stream: m.Stream, Service: m.Service}
		query := streamversion.Query{Stream: id, Service: m.Service, Life: time.Duration(m.LifeMs) * time.Millisecond, Era: decodeEra(m.Era)}
		if served := p.receiver.ServedVersions(query); served.Certain() {
			unknown.Single = &served.Version.Software
		}
		answer.UnknownStreams = append(answer.UnknownStreams, unknown)
	}
	p.sendNow(answer, []netip.AddrPort{from})
}

func encodeStreamVersion(id streamversion.StreamID, v streamversion.Version) *wire.StreamVersion {
	return &wire.StreamVersion{Stream: uint64(id), Service: v.Service, Software: v.Software}
}
