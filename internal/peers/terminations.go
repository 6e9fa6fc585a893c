package peers

import (
	"time"

	"google.golang.org/protobuf/proto"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/quarantine"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// AnnounceTermination implements gateway.Gossip.
func (p *Peers) AnnounceTermination(e quarantine.Evidence) { p.sendTermination(allPeers, e) }

// ReannounceTermination implements gateway.Gossip. Each recipient reannounces it to
// others, so that it reaches all gateways after a few rounds.
func (p *Peers) ReannounceTermination(e quarantine.Evidence) { p.sendTermination(randomPeers, e) }

func (p *Peers) sendTermination(to audience, e quarantine.Evidence) {
	m := &wire.ServerEnded{
		Request: uint64(e.Request), Server: e.Instance.ID, Incarnation: e.Instance.Incarnation,
		AgeMs: uint32(max(0, time.Since(e.ObservedAt).Milliseconds())), RanMs: uint32(max(0, e.ObservedAt.Sub(e.SentAt).Milliseconds())),
	}
	p.enqueue(to, flushDelay, proto.Size(m), func(s *wire.Share) { s.ServersEnded = append(s.ServersEnded, m) })
}

// AnnounceCrash implements gateway.Gossip.
func (p *Peers) AnnounceCrash(c quarantine.Crash) { p.sendCrash(allPeers, c) }

// ReannounceCrash implements gateway.Gossip.
func (p *Peers) ReannounceCrash(c quarantine.Crash) { p.sendCrash(randomPeers, c) }

func (p *Peers) sendCrash(to audience, c quarantine.Crash) {
	m := &wire.ServerEnded{
		Server: c.Instance.ID, Incarnation: c.Instance.Incarnation, AgeMs: uint32(max(0, time.Since(c.ObservedAt).Milliseconds())),
		Fresh: c.Fresh, Reused: c.Reused,
	}
	p.enqueue(to, flushDelay, proto.Size(m), func(s *wire.Share) { s.ServersEnded = append(s.ServersEnded, m) })
}

// decodeCrash decodes the crash of another gateway that was sent at now.
func decodeCrash(now time.Time, m *wire.ServerEnded) quarantine.Crash {
	return quarantine.Crash{
		Instance:   backend.Instance{ID: m.Server, Incarnation: m.Incarnation},
		ObservedAt: now.Add(-time.Duration(m.AgeMs) * time.Millisecond),
		Fresh:      m.Fresh, Reused: m.Reused,
	}
}

// decodeTermination decodes the evidence of another gateway that was sent at now.
func decodeTermination(now time.Time, m *wire.ServerEnded) quarantine.Evidence {
	at := now.Add(-time.Duration(m.AgeMs) * time.Millisecond)
	return quarantine.Evidence{
		Request:    request.Fingerprint(m.Request),
		Instance:   backend.Instance{ID: m.Server, Incarnation: m.Incarnation},
		SentAt:     at.Add(-time.Duration(m.RanMs) * time.Millisecond),
		ObservedAt: at,
	}
}
