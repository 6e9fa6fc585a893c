package peers

import (
	"time"

	"google.golang.org/protobuf/proto"

	"pistachioroad.dev/pistachioroad/internal/decide/balance"
	"pistachioroad.dev/pistachioroad/internal/decide/contention"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	// reportFlushDelay is how long a report of a server waits for other messages: a fraction
	// of the time for which it counts.
	reportFlushDelay = 20 * time.Millisecond
	// maxBusy bounds the requests of a report: far more than any server runs.
	maxBusy = 1 << 20
)

// AnnounceServerReport implements gateway.Gossip.
func (p *Peers) AnnounceServerReport(server string, r balance.Report) {
	m := &wire.ServerReport{
		Server: place.EngineHash(server), Busy: uint32(min(max(0, r.Busy), maxBusy)), Contention: uint32(contention.Encode(r.Contention)),
	}
	to := p.allInGroup()
	p.enqueue(to, reportFlushDelay, proto.Size(m)+ageBytes, func(s *wire.Share) {
		s.ServerReports = append(s.ServerReports, m)
		p.outboxes[to].reportedAt = append(p.outboxes[to].reportedAt, r.At)
	})
}

// ageBytes is the size of the age of a report in a datagram, and of the tag of the report.
const ageBytes = 6

// stampReports sets the ages of the reports in a datagram that is about to be sent.
func (o *outbox) stampReports(now time.Time) {
	for i, at := range o.reportedAt {
		o.pending.ServerReports[i].AgeMs = uint32(max(0, now.Sub(at).Milliseconds()))
	}
	o.reportedAt = o.reportedAt[:0]
}

// allInGroup returns ownGroup where that has all gateways, so that reports share datagrams
// with placements.
func (p *Peers) allInGroup() audience {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.group.Count <= 1 {
		return ownGroup
	}
	return allPeers
}

// receiveServerReports handles the reports of servers from a datagram with a delay.
func (p *Peers) receiveServerReports(s *wire.Share, delay time.Duration) {
	now := time.Now()
	for _, m := range s.ServerReports {
		p.receiver.RemoteServerReport(m.Server, balance.Report{
			Busy: int(min(m.Busy, maxBusy)), Contention: contention.Decode(byte(min(m.Contention, maxByte))),
			At: now.Add(-delay - time.Duration(m.AgeMs)*time.Millisecond),
		})
	}
}

const maxByte = 255
