// Package peers lets the gateways of a deployment tell each other what they do
// at the model engines.
//
// Without it each gateway sees its own requests only: eight of them take the
// same engine for idle at once, and read a shared part at eight engines that one
// keeps. They find each other through objects of the store and speak by
// datagrams, which may be lost: what is told only sharpens a guess.
package peers

import (
	"context"
	"maps"
	"math"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/boottime"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/decide/quarantine"
	"pistachioroad.dev/pistachioroad/internal/decide/ratelimit"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/store"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	// flushAfter collects what happens within it into one datagram. It is well
	// under the time between two requests that could use it.
	flushAfter = 2 * time.Millisecond
	// endedAfter is the same for ends of jobs: most leave with something else by
	// then, and a decoder's streams change little meanwhile.
	endedAfter = 25 * time.Millisecond
	// lateDatagram is a delay that is counted: many of them mean that this VM is
	// too slow for what it is told.
	lateDatagram = time.Second
	// lateRead is the delay from which what a datagram says of reads is not learned
	// from.
	lateRead = 500 * time.Millisecond
	// maxDatagram keeps a datagram within one packet of common networks.
	maxDatagram = 1_200
)

// Receiver takes in what other gateways tell.
type Receiver interface {
	// Engine returns the engine with a hash, and its service.
	EngineByHash(hash uint32) (service, id string, ok bool)
	RemotePlacement(service string, p place.Placement)
	RemotePrefillDone(id place.JobID)
	RemoteFinished(id place.JobID)
	RemoteAvoid(service, engine string, d time.Duration)
	RemoteTermination(e quarantine.Evidence)
	// RemoteServerLimit takes in what a server said of its limit to the gateway whose
	// start from names.
	RemoteServerLimit(from string, n ratelimit.Notice)
	RemoteConfirmation(now time.Time, c directory.Confirmation)
	RemoteServerChange(now time.Time, c directory.Change)
}

// Peers speaks with the other gateways.
type Peers struct {
	name     string
	start    uint64
	conn     *net.UDPConn
	receiver Receiver
	// delays is used by Receive only.
	delays *delays

	mu     sync.Mutex
	others map[string]netip.AddrPort
	// listed says that the others were listed, membership counts the changes of who they
	// are and of the group.
	listed     bool
	membership uint64
	rank       int
	// group is this gateway's, members are the others in it.
	group    place.Group
	members  map[string]netip.AddrPort
	outboxes [audiences]outbox

	sent, received, dropped, late metrics.Counter
}

// Config is what Peers is made of.
type Config struct {
	// Name is this VM's.
	Name string
	// Start is random per start of the process.
	StartID uint64
	// Address is the IP:PORT for datagrams.
	Address string
}

// New listens for datagrams.
func New(c Config, r Receiver) (*Peers, error) {
	addr, err := netip.ParseAddrPort(c.Address)
	if err != nil {
		return nil, eris.Wrap(err, "peers")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, eris.Wrap(err, "peers")
	}
	p := &Peers{
		name:     c.Name,
		start:    c.StartID,
		conn:     conn,
		receiver: r,
		delays:   newDelays(),
		others:   make(map[string]netip.AddrPort),
		sent:     metrics.GetOrRegisterCounter("peers.datagrams_sent", nil),
		received: metrics.GetOrRegisterCounter("peers.datagrams_received", nil),
		dropped:  metrics.GetOrRegisterCounter("peers.messages_dropped", nil),
		late:     metrics.GetOrRegisterCounter("peers.confirmations_late", nil),
	}
	return p, nil
}

// Count returns how many gateways are known, this one included.
func (p *Peers) GatewayCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.others) + 1
}

// Rank returns this gateway's place among those known.
func (p *Peers) Rank() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rank
}

// rankAmong returns a gateway's place among others. It goes by a hash of the
// name, so that the first ones are spread over the data centres.
func rankAmong(gateway string, others map[string]netip.AddrPort) int {
	own := xxhash.Sum64String(gateway)
	rank := 0
	for name := range others {
		if xxhash.Sum64String(name) < own {
			rank++
		}
	}
	return rank
}

// watchers is how many gateways watch the store for all. With one, each of its
// failures would make all others watch for a while; three seldom fail at once.
const watchers = 3

// Watcher reports whether this gateway is one of those that watch.
func (p *Peers) IsWatcher() bool { return p.Rank() < watchers }

// Addresses returns where all known gateways take datagrams, by VM, this one
// included.
func (p *Peers) Addresses() map[string]netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := maps.Clone(p.others)
	if own, err := netip.ParseAddrPort(p.conn.LocalAddr().String()); err == nil {
		all[p.name] = own
	}
	return all
}

// Set replaces the addresses of the other gateways, by VM.
func (p *Peers) SetPeers(others map[string]netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(others, p.name)
	if len(others) != len(p.others) {
		log.WithField("peers", len(others)).Info("peers changed")
	}
	if !p.listed || !maps.Equal(others, p.others) {
		p.membership++
	}
	p.others = others
	p.listed = true
	p.rank = rankAmong(p.name, others)
	p.findMembers()
}

// Placed implements gateway.Share.
func (p *Peers) AnnouncePlacement(placed place.Placement) {
	m := &wire.Placed{
		Job:    uint32(placed.ID),
		Reader: place.EngineHash(placed.Plan.PrefillEngine),
		Kept:   uint32(max(0, placed.Plan.CachedTokens)),
		LeftMs: uint32(max(0, placed.Remaining.Milliseconds())),
		Length: uint32(max(0, placed.Prompt.Output)),
		Done:   uint32(max(0, placed.Prompt.Done)),
	}
	if placed.Plan.Split() {
		m.Decoder = place.EngineHash(placed.Plan.DecodeEngine)
	}
	sum := 0
	for _, part := range placed.Prompt.Segments {
		m.PartIds = append(m.PartIds, part.ID)
		m.PartTokens = append(m.PartTokens, uint32(part.Tokens))
		sum += part.Tokens
	}
	if sum != placed.Prompt.Tokens {
		m.Tokens = uint32(max(0, placed.Prompt.Tokens))
	}
	p.tell(group, flushAfter, proto.Size(m), func(s *wire.Share) { s.Placed = append(s.Placed, m) })
}

// jobSize is the size of a job in a datagram.
const jobSize = 4

// ReadDone implements gateway.Share.
func (p *Peers) AnnouncePrefillDone(id place.JobID) {
	p.tell(group, flushAfter, jobSize, func(s *wire.Share) { s.ReadDone = append(s.ReadDone, uint32(id)) })
}

// Ended implements gateway.Share.
func (p *Peers) AnnounceFinished(id place.JobID) {
	p.tell(group, endedAfter, jobSize, func(s *wire.Share) { s.Ended = append(s.Ended, uint32(id)) })
}

// Avoid implements gateway.Share.
func (p *Peers) AnnounceAvoid(service, engine string, d time.Duration) {
	m := &wire.Avoid{Service: service, Engine: engine, ForMs: uint32(d.Milliseconds())}
	p.tell(everyone, flushAfter, proto.Size(m), func(s *wire.Share) { s.Avoid = append(s.Avoid, m) })
}

// ServerEnded implements gateway.Share.
func (p *Peers) AnnounceTermination(e quarantine.Evidence) { p.tellServerEnded(everyone, e) }

// ServerEndedAgain implements gateway.Share. Each of those that are told tells others,
// so that all know it after a few rounds.
func (p *Peers) ReannounceTermination(e quarantine.Evidence) { p.tellServerEnded(some, e) }

func (p *Peers) tellServerEnded(to audience, e quarantine.Evidence) {
	m := &wire.ServerEnded{
		Request: uint64(e.Request), Server: e.Instance.ID, Incarnation: e.Instance.Incarnation,
		AgeMs: uint32(max(0, time.Since(e.ObservedAt).Milliseconds())), RanMs: uint32(max(0, e.ObservedAt.Sub(e.SentAt).Milliseconds())),
	}
	p.tell(to, flushAfter, proto.Size(m), func(s *wire.Share) { s.ServersEnded = append(s.ServersEnded, m) })
}

// serverEnded decodes evidence of another gateway.
func serverEnded(now time.Time, m *wire.ServerEnded) quarantine.Evidence {
	at := now.Add(-time.Duration(m.AgeMs) * time.Millisecond)
	return quarantine.Evidence{
		Request:    request.Fingerprint(m.Request),
		Instance:   backend.Instance{ID: m.Server, Incarnation: m.Incarnation},
		SentAt:     at.Add(-time.Duration(m.RanMs) * time.Millisecond),
		ObservedAt: at,
	}
}

// RankFor implements gateway.Share. Of an engine of some group, its gateways count.
func (p *Peers) RankFor(server string, round uint64) ratelimit.Rank {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.listed {
		return ratelimit.Rank{}
	}
	among := lo.Filter(append(lo.Keys(p.others), p.name), func(name string, _ int) bool {
		return place.GroupOf(name, p.group.Count).Has(server)
	})
	if len(among) == 0 {
		among = append(lo.Keys(p.others), p.name)
	}
	return ratelimit.RankAmong(p.name, among, server, round)
}

// Membership implements gateway.Share.
func (p *Peers) MembershipVersion() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.membership
}

// ServerLimit implements gateway.Share.
func (p *Peers) AnnounceServerLimit(n ratelimit.Notice) { p.tellServerLimit(everyone, n) }

// ServerLimitAgain implements gateway.Share.
func (p *Peers) ReannounceServerLimit(n ratelimit.Notice) { p.tellServerLimit(some, n) }

func (p *Peers) tellServerLimit(to audience, n ratelimit.Notice) {
	m := &wire.ServerLimit{
		Server: n.Server.ID, Incarnation: n.Server.Incarnation, Named: n.Limited, PerSecond: n.PerSecond, Weak: n.Unauthenticated,
		HeardAgeMs: uint32(max(0, (boottime.Now() - n.ReceivedAt).Milliseconds())),
		AnswerMs:   uint32(max(0, (n.ReceivedAt - n.RequestedAt).Milliseconds())),
	}
	p.tell(to, flushAfter, proto.Size(m), func(s *wire.Share) { s.ServerLimits = append(s.ServerLimits, m) })
}

// serverLimit decodes a notice of another gateway whose datagram was on its way for a
// time.
func serverLimit(now, delay time.Duration, m *wire.ServerLimit) ratelimit.Notice {
	heard := now - delay - time.Duration(m.HeardAgeMs)*time.Millisecond
	return ratelimit.Notice{
		Server:  backend.Instance{ID: m.Server, Incarnation: m.Incarnation},
		Limited: m.Named, PerSecond: m.PerSecond, Unauthenticated: m.Weak,
		RequestedAt: heard - time.Duration(m.AnswerMs)*time.Millisecond, ReceivedAt: heard,
	}
}

// Confirm tells what the store has confirmed to this gateway.
func (p *Peers) AnnounceConfirmation(c directory.Confirmation) {
	m := &wire.Confirmation{
		ConfigRevision:  c.ConfigRevision,
		ServersRevision: c.ServersRevision,
		AgeMs:           uint32(c.Age.Milliseconds()),
		Start:           p.start,
		SentUs:          uint64(boottime.Now().Microseconds()),
	}
	p.tell(everyone, flushAfter, proto.Size(m), func(s *wire.Share) { s.Confirmation = m })
}

// Entry tells a change of a backend server's entry. One that does not fit a
// datagram is left out: the others list when they hear of its revision.
func (p *Peers) AnnounceServerChange(c directory.Change) {
	m := &wire.Entry{
		Name: c.Object.Name, Revision: c.Object.Revision, Spec: c.Object.Spec, Removed: c.Removed, After: c.After,
	}
	if size := proto.Size(m); size < maxDatagram {
		p.tell(everyone, flushAfter, size, func(s *wire.Share) { s.Entries = append(s.Entries, m) })
	}
}

// Receive takes in datagrams until ctx ends.
func (p *Peers) Receive(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { p.conn.Close() })()
	buf := make([]byte, 64<<10)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return eris.Wrap(err, "peers: receive")
		}
		p.received.Inc(1)
		var s wire.Share
		if err := proto.Unmarshal(buf[:n], &s); err != nil {
			p.dropped.Inc(1)
			continue
		}
		p.take(&s)
	}
}

// takePlaced takes in a placement of another gateway. One at engines that are not
// known here is dropped.
func (p *Peers) takePlaced(m *wire.Placed) {
	service, reader, ok := p.receiver.EngineByHash(m.Reader)
	if !ok {
		p.dropped.Inc(1)
		return
	}
	decoder := reader
	if m.Decoder != 0 {
		_, decoder, _ = p.receiver.EngineByHash(m.Decoder)
	}
	placed := place.Placement{
		ID:        place.JobID(m.Job),
		Plan:      place.Plan{PrefillEngine: reader, DecodeEngine: decoder, CachedTokens: int(m.Kept)},
		Remaining: time.Duration(m.LeftMs) * time.Millisecond,
		Prompt:    prompt(m),
	}
	p.receiver.RemotePlacement(service, placed)
}

// prompt decodes the prompt of a placement.
func prompt(m *wire.Placed) request.Prompt {
	decoded := request.Prompt{Tokens: int(m.Tokens), Output: int(m.Length), Done: int(m.Done)}
	sum := 0
	for i := range min(len(m.PartIds), len(m.PartTokens)) {
		tokens := int(m.PartTokens[i])
		decoded.Segments = append(decoded.Segments, request.Segment{ID: m.PartIds[i], Tokens: tokens})
		sum += tokens
	}
	if decoded.Tokens == 0 {
		decoded.Tokens = sum
	}
	return decoded
}

// confirmation decodes what another gateway's watches confirmed.
func (p *Peers) confirmation(m *wire.Confirmation) directory.Confirmation {
	sent := time.Duration(m.SentUs) * time.Microsecond
	delay := p.delays.of(m.Start, sent, boottime.Now())
	if delay > lateDatagram {
		p.late.Inc(1)
	}
	return directory.Confirmation{
		ConfigRevision:  m.ConfigRevision,
		ServersRevision: m.ServersRevision,
		Age:             time.Duration(m.AgeMs)*time.Millisecond + delay,
	}
}

func (p *Peers) take(s *wire.Share) {
	if s.Sender == uint32(p.start) {
		return
	}
	delay := p.delays.of(uint64(s.Sender), time.Duration(s.SentMs)*time.Millisecond, boottime.Now())
	p.takeReads(s, delay)
	now := time.Now()
	for _, m := range s.Entries {
		p.receiver.RemoteServerChange(now, directory.Change{
			Event: store.Event{
				Object: store.Object{Name: m.Name, Revision: m.Revision, Spec: m.Spec}, Removed: m.Removed,
			},
			After: m.After,
		})
	}
	if c := s.Confirmation; c != nil {
		p.receiver.RemoteConfirmation(now, p.confirmation(c))
	}
	for _, m := range s.Avoid {
		p.receiver.RemoteAvoid(m.Service, m.Engine, time.Duration(m.ForMs)*time.Millisecond)
	}
	for _, m := range s.ServersEnded {
		p.receiver.RemoteTermination(serverEnded(now, m))
	}
	for _, m := range s.ServerLimits {
		if math.IsNaN(m.PerSecond) || math.IsInf(m.PerSecond, 0) || m.PerSecond < 0 {
			p.dropped.Inc(1)
			continue
		}
		p.receiver.RemoteServerLimit(strconv.FormatUint(uint64(s.Sender), 16), serverLimit(boottime.Now(), delay, m))
	}
}

// takeReads takes in what another gateway does at the engines, from a datagram that was
// on its way for a time.
//
// A gateway that stood still finds the begins and ends of thousands of reads in its
// socket at once. Learned from, they say that reads take no time; one notices by a
// gateway that lets in what nobody can serve for half a minute after it went on.
func (p *Peers) takeReads(s *wire.Share, delay time.Duration) {
	late := delay > lateRead
	for _, m := range s.Placed {
		if !late {
			p.takePlaced(m)
		}
	}
	for _, id := range s.ReadDone {
		if late {
			p.receiver.RemoteFinished(place.JobID(id))
			continue
		}
		p.receiver.RemotePrefillDone(place.JobID(id))
	}
	for _, id := range s.Ended {
		p.receiver.RemoteFinished(place.JobID(id))
	}
	if late {
		p.late.Inc(1)
	}
}
