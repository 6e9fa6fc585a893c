// Package peers implements gossip between the gateways of a deployment about their
// requests at the model engines, about backend servers, and about the store.
//
// Without it, each gateway sees only its own requests: eight gateways would assign
// requests to the same idle engine at the same time, and prefill a shared segment at
// eight engines although one has it cached. Gateways discover each other through objects of
// the store and exchange UDP datagrams. Datagrams may be lost, as their content only
// improves estimates.
package peers

import (
	"cmp"
	"context"
	"maps"
	"math"
	"net"
	"net/netip"
	"slices"
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
	"pistachioroad.dev/pistachioroad/internal/decide/balance"
	"pistachioroad.dev/pistachioroad/internal/decide/contention"
	"pistachioroad.dev/pistachioroad/internal/decide/fairshare"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/decide/quarantine"
	"pistachioroad.dev/pistachioroad/internal/decide/ratelimit"
	"pistachioroad.dev/pistachioroad/internal/decide/streamversion"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/serverhealth"
	"pistachioroad.dev/pistachioroad/internal/store"
	"pistachioroad.dev/pistachioroad/internal/truetime"
	"pistachioroad.dev/pistachioroad/internal/usage"
	"pistachioroad.dev/pistachioroad/internal/usage/report"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

const (
	// flushDelay is how long messages are collected into one datagram. It is well
	// below the time between two requests for which they could be useful.
	flushDelay = 2 * time.Millisecond
	// finishedFlushDelay is the same for finished jobs: most are sent along with other
	// messages by then, and the load of a decode engine changes little meanwhile.
	finishedFlushDelay = 25 * time.Millisecond
	// lateConfirmationDelay is the delay above which a confirmation counts as late. Many
	// late ones mean that this VM is too slow for the messages it receives.
	lateConfirmationDelay = time.Second
	// maxPlacementDelay is the delay of a datagram above which its placements and
	// prefills are not learned from.
	maxPlacementDelay = 500 * time.Millisecond
	// maxDatagramBytes keeps a datagram within one packet on common networks.
	maxDatagramBytes = 1_200
)

// Receiver handles the announcements of other gateways.
type Receiver interface {
	// EngineByHash returns the engine with a hash, and its service.
	EngineByHash(hash uint32) (service, id string, ok bool)
	RemotePlacement(service string, p place.Placement)
	// RemoteContention handles the contention that the prefill engine of a job reported to
	// another gateway. It is called before the end of the prefill.
	RemoteContention(id place.JobID, r contention.Report)
	RemotePrefillDone(id place.JobID)
	RemoteFinished(id place.JobID)
	RemoteAvoid(service, engine string, d time.Duration)
	RemoteOutcome(o serverhealth.Outcome)
	// RemoteServerReport handles what a server of a plain service, given by its hash, has
	// reported to another gateway.
	RemoteServerReport(hash uint32, r balance.Report)
	RemoteTermination(e quarantine.Evidence)
	RemoteCrash(c quarantine.Crash)
	// RemoteServerLimit handles the limit that a server stated to another gateway. from is
	// the start ID of the gateway that announced it.
	RemoteServerLimit(from string, n ratelimit.Notice)
	RemoteConfirmation(now time.Time, c directory.Confirmation)
	RemoteServerChange(now time.Time, c directory.ServerChange)
	// RemoteStreamVersion handles the version that began a stream.
	RemoteStreamVersion(id streamversion.StreamID, v streamversion.Version)
	// RemoteStreamUnknown handles that another gateway, which was asked, has no record of a
	// stream, and what it knows of the service. from is the start ID of that gateway.
	RemoteStreamUnknown(id streamversion.StreamID, from uint32, s streamversion.Served)
	// RecordedStreamVersion returns the version that began a stream, false if there is no
	// record of it here.
	RecordedStreamVersion(id streamversion.StreamID) (streamversion.Version, bool)
	// ServedVersions returns which versions of a service have served within the life of a
	// stream.
	ServedVersions(q streamversion.Query) streamversion.Served
}

// Peers exchanges announcements with the other gateways.
type Peers struct {
	name     string
	startID  uint64
	conn     *net.UDPConn
	receiver Receiver
	// delays is used only by Receive.
	delays   *delayEstimator
	trueTime *truetime.Estimator
	// OnUsage, if set, is called for each update of usage. It must be set before Receive.
	OnUsage func(usage.Update)

	mu     sync.Mutex
	others map[string]netip.AddrPort
	// listed says that a list was read or handed over, and ownListed that one had this gateway.
	// membershipVersion counts the changes of others and group.
	listed, ownListed bool
	// listComplete says that a list may be taken for complete: it was read listSettleTime after
	// startedAt, when the process started, or handed over by a gateway whose list is complete.
	listComplete bool
	startedAt    time.Duration
	// invalid has the positions of the objects of gateways that cannot be decoded. Only
	// Register uses it.
	invalid map[string]store.Position
	// firstProcess says that this process created the gateway's object.
	firstProcess bool
	// registered says that this process has stored its address once.
	registered bool
	// recent has the gateways of the last lists and announcements.
	recent *recentLists
	// unreadable is the number of gateways whose addresses could not be read.
	unreadable        int
	membershipVersion uint64
	rank              int
	// group is this gateway's group, groupMembers are the other gateways in it.
	group        place.Group
	groupMembers map[string]netip.AddrPort
	// collectors are the other gateways of the first ranks.
	collectors map[string]netip.AddrPort
	// streamRanking ranks the gateways, including this one, for the records of streams.
	streamRanking streamversion.Gateways
	outboxes      [audienceCount]outbox

	sent, received, dropped, late metrics.Counter
}

// Config is the configuration of Peers.
type Config struct {
	// Name is the name of this VM.
	Name string
	// StartID is a random ID of this start of the process.
	StartID uint64
	// Address is the IP:PORT on which to receive datagrams.
	Address string
	// StartedAt is when the process started, in time since boot; 0 means now.
	StartedAt time.Duration
	// TrueTime gets the clocks of the other gateways; nil for one of its own.
	TrueTime *truetime.Estimator
}

// New returns Peers that listen for datagrams. Call Receive to handle them.
func New(c Config, r Receiver) (*Peers, error) {
	addr, err := netip.ParseAddrPort(c.Address)
	if err != nil {
		return nil, eris.Wrap(err, "peers: parse address")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, eris.Wrap(err, "peers: listen for datagrams")
	}
	if c.TrueTime == nil {
		c.TrueTime = truetime.New(boottime.Now(), time.Now())
	}
	p := &Peers{
		trueTime:  c.TrueTime,
		name:      c.Name,
		startID:   c.StartID,
		startedAt: cmp.Or(c.StartedAt, boottime.Now()),
		conn:      conn,
		receiver:  r,
		delays:    newDelayEstimator(),
		others:    make(map[string]netip.AddrPort),
		invalid:   make(map[string]store.Position),
		recent:    newRecentLists(),
		sent:      metrics.GetOrRegisterCounter("peers.datagrams_sent", nil),
		received:  metrics.GetOrRegisterCounter("peers.datagrams_received", nil),
		dropped:   metrics.GetOrRegisterCounter("peers.messages_dropped", nil),
		late:      metrics.GetOrRegisterCounter("peers.confirmations_late", nil),
	}
	return p, nil
}

// GatewayCount returns the number of known gateways, including this one.
func (p *Peers) GatewayCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.others) + 1
}

// GatewaysKnown implements gateway.Gossip.
func (p *Peers) GatewaysKnown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listed
}

// ListComplete reports whether the known gateways may be taken for all.
func (p *Peers) ListComplete() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listComplete
}

// GatewaysSharing implements gateway.Gossip. It is 0 while no list has this gateway, as the
// others then divide limits without it, and until one may be taken for complete.
func (p *Peers) GatewaysSharing() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ownListed || !p.listComplete {
		return 0
	}
	return len(p.others) + p.unreadable + 1
}

// FirstProcess implements gateway.Gossip. It is false unless this process surely created the
// object of its VM: an earlier process that is in no list has used no slack.
func (p *Peers) FirstProcess() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.firstProcess
}

// Rank returns this gateway's rank among the known ones, from 0.
func (p *Peers) Rank() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rank
}

// rankByHash returns a gateway's rank among others, by a hash of the names so that
// the first ones are spread over the data centres.
func rankByHash(gateway string, others map[string]netip.AddrPort) int {
	own := xxhash.Sum64String(gateway)
	rank := 0
	for name := range others {
		if xxhash.Sum64String(name) < own {
			rank++
		}
	}
	return rank
}

// firstByHash returns the names of the gateways of the first ranks.
func firstByHash(names []string, count int) []string {
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	return names[:min(count, len(names))]
}

// watcherCount is the number of gateways that watch the store on behalf of all. With
// only one, each of its failures would make all others watch for a while; three rarely
// fail at the same time.
const watcherCount = 3

// IsWatcher reports whether this gateway is one of those that watch the store.
func (p *Peers) IsWatcher() bool { return p.Rank() < watcherCount }

// Addresses returns the datagram addresses of all known gateways, including this one,
// by VM.
func (p *Peers) Addresses() map[string]netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := maps.Clone(p.others)
	if own, err := netip.ParseAddrPort(p.conn.LocalAddr().String()); err == nil {
		all[p.name] = own
	}
	return all
}

// SetPeers replaces the addresses of the gateways, by VM, with those that another gateway
// knows. This one may be among them. complete says that they may be taken for all gateways.
func (p *Peers) SetPeers(gateways map[string]netip.AddrPort, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setPeers(gateways, complete)
}

// setPeers is SetPeers. p.mu must be held.
func (p *Peers) setPeers(gateways map[string]netip.AddrPort, complete bool) {
	p.listComplete = p.listComplete || complete
	if _, ok := gateways[p.name]; ok {
		p.ownListed = true
	}
	others := lo.OmitByKeys(gateways, []string{p.name})
	if !p.listed {
		p.listed = true
		p.membershipVersion++
	}
	p.setOthers(others)
}

// setOthers sets the addresses of the other gateways. p.mu must be held.
func (p *Peers) setOthers(others map[string]netip.AddrPort) {
	if len(others) != len(p.others) {
		log.WithField("peers", len(others)).Info("peers changed")
	}
	if !maps.Equal(others, p.others) {
		p.membershipVersion++
	}
	p.others = others
	p.rank = rankByHash(p.name, others)
	p.streamRanking = streamversion.NewGateways(append(lo.Keys(others), p.name))
	p.collectors = lo.PickByKeys(others, firstByHash(append(lo.Keys(others), p.name), report.Candidates))
	p.updateGroupMembers()
}

// AnnouncePlacement implements gateway.Gossip.
func (p *Peers) AnnouncePlacement(placement place.Placement) {
	m := &wire.Placed{
		Job:    uint32(placement.ID),
		Reader: place.EngineHash(placement.Plan.PrefillEngine),
		Kept:   uint32(max(0, placement.Plan.CachedTokens)),
		LeftMs: uint32(max(0, placement.Remaining.Milliseconds())),
		Length: uint32(max(0, placement.Prompt.ExpectedOutputTokens)),
		Done:   uint32(max(0, placement.Prompt.DeliveredEvents)),

		Account: uint32(placement.Account),
	}
	if placement.Plan.Split() {
		m.Decoder = place.EngineHash(placement.Plan.DecodeEngine)
	}
	total := 0
	for _, segment := range placement.Prompt.Segments {
		m.PartIds = append(m.PartIds, segment.ID)
		m.PartTokens = append(m.PartTokens, uint32(segment.Tokens))
		total += segment.Tokens
	}
	if total != placement.Prompt.Tokens {
		m.Tokens = uint32(max(0, placement.Prompt.Tokens))
	}
	p.enqueue(ownGroup, flushDelay, proto.Size(m), func(s *wire.Share) { s.Placed = append(s.Placed, m) })
}

// jobIDBytes is the size of a job ID in a datagram.
const jobIDBytes = 4

// AnnouncePrefillDone implements gateway.Gossip.
func (p *Peers) AnnouncePrefillDone(id place.JobID, factor float64) {
	b := contention.Encode(factor)
	p.enqueue(ownGroup, flushDelay, jobIDBytes+1, func(s *wire.Share) {
		if b > 0 {
			// Those before it that are not there are unknown.
			unknown := make([]byte, len(s.ReadDone)-len(s.ReadContention))
			s.ReadContention = append(append(s.ReadContention, unknown...), b)
		}
		s.ReadDone = append(s.ReadDone, uint32(id))
	})
}

// AnnounceFinished implements gateway.Gossip.
func (p *Peers) AnnounceFinished(id place.JobID) {
	p.enqueue(ownGroup, finishedFlushDelay, jobIDBytes, func(s *wire.Share) { s.Ended = append(s.Ended, uint32(id)) })
}

// AnnounceAvoid implements gateway.Gossip.
func (p *Peers) AnnounceAvoid(service, engine string, d time.Duration) {
	m := &wire.Avoid{Service: service, Engine: engine, ForMs: uint32(d.Milliseconds())}
	p.enqueue(allPeers, flushDelay, proto.Size(m), func(s *wire.Share) { s.Avoid = append(s.Avoid, m) })
}

// RankFor implements gateway.Gossip. It ranks only the gateways whose group includes the
// server, or all of them if there are none.
func (p *Peers) RankFor(server string, round uint64) ratelimit.Rank {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.listed {
		return ratelimit.Rank{}
	}
	ranked := lo.Filter(append(lo.Keys(p.others), p.name), func(name string, _ int) bool {
		return place.GroupOf(name, p.group.Count).Has(server)
	})
	if len(ranked) == 0 {
		ranked = append(lo.Keys(p.others), p.name)
	}
	return ratelimit.RankAmong(p.name, ranked, server, round)
}

// MembershipVersion implements gateway.Gossip.
func (p *Peers) MembershipVersion() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.membershipVersion
}

// AnnounceServerLimit implements gateway.Gossip.
func (p *Peers) AnnounceServerLimit(n ratelimit.Notice) { p.sendServerLimit(allPeers, n) }

// ReannounceServerLimit implements gateway.Gossip.
func (p *Peers) ReannounceServerLimit(n ratelimit.Notice) { p.sendServerLimit(randomPeers, n) }

func (p *Peers) sendServerLimit(to audience, n ratelimit.Notice) {
	m := &wire.ServerLimit{
		Server: n.Server.ID, Incarnation: n.Server.Incarnation, Named: n.Limited, PerSecond: n.PerSecond, Weak: n.Unauthenticated,
		HeardAgeMs: uint32(max(0, (boottime.Now() - n.ReceivedAt).Milliseconds())),
		AnswerMs:   uint32(max(0, (n.ReceivedAt - n.RequestedAt).Milliseconds())),
	}
	p.enqueue(to, flushDelay, proto.Size(m), func(s *wire.Share) { s.ServerLimits = append(s.ServerLimits, m) })
}

// decodeLimit decodes the notice of another gateway from a datagram with a delay.
func decodeLimit(now, delay time.Duration, m *wire.ServerLimit) ratelimit.Notice {
	received := now - delay - time.Duration(m.HeardAgeMs)*time.Millisecond
	return ratelimit.Notice{
		Server:  backend.Instance{ID: m.Server, Incarnation: m.Incarnation},
		Limited: m.Named, PerSecond: m.PerSecond, Unauthenticated: m.Weak,
		RequestedAt: received - time.Duration(m.AnswerMs)*time.Millisecond, ReceivedAt: received,
	}
}

// AnnounceConfirmation announces what the store has confirmed to this gateway.
func (p *Peers) AnnounceConfirmation(c directory.Confirmation) {
	m := &wire.Confirmation{
		ConfigRevision:  c.ConfigRevision,
		ServersRevision: c.ServersRevision,
		AgeMs:           uint32(c.Age.Milliseconds()),
		Start:           p.startID,
		SentUs:          uint64(boottime.Now().Microseconds()),

		Era:               int64(c.Era),
		ConfigEra:         int64(c.ConfigEra),
		ConfigVersion:     c.ConfigVersion,
		ConfigUnconfirmed: c.ConfigUnconfirmed,
	}
	p.enqueue(allPeers, flushDelay, proto.Size(m), func(s *wire.Share) { s.Confirmation = m })
}

// AnnounceServerChange announces a change of a backend server's object. One that does
// not fit into a datagram is not sent: the others list the objects when they learn of
// its revision.
func (p *Peers) AnnounceServerChange(c directory.ServerChange) {
	m := &wire.Entry{
		Name: c.Object.Name, Revision: c.Object.Revision, Spec: c.Object.Spec, Removed: c.Removed, After: c.PreviousRevision,
		Era: int64(c.Object.Era),
	}
	if size := proto.Size(m); size < maxDatagramBytes {
		p.enqueue(allPeers, flushDelay, size, func(s *wire.Share) { s.Entries = append(s.Entries, m) })
	}
}

// AnnounceUsage sends counts to the gateways that collect them, in as many messages as
// needed.
func (p *Peers) AnnounceUsage(u usage.Update) {
	m := p.usageMessage(u)
	size := proto.Size(m)
	for account, count := range u.Counts {
		entry := len(account) + usageEntryBytes
		if size+entry > maxDatagramBytes {
			p.sendUsage(m, size)
			m = p.usageMessage(u)
			size = proto.Size(m)
		}
		m.Accounts, m.Counts = append(m.Accounts, account), append(m.Counts, uint32(max(0, count)))
		size += entry
	}
	p.sendUsage(m, size)
}

// usageEntryBytes is the size of a count in a datagram without the account's name.
const usageEntryBytes = 5

func (p *Peers) usageMessage(u usage.Update) *wire.Usage {
	return &wire.Usage{Vm: p.name, Window: int64(u.Window), Sequence: u.Sequence, Total: uint32(max(0, u.Total)), Closed: u.Closed}
}

func (p *Peers) sendUsage(m *wire.Usage, size int) {
	p.enqueue(collectors, flushDelay, size, func(s *wire.Share) { s.Usage = append(s.Usage, m) })
}

// decodeUsage decodes the counts of another gateway.
func decodeUsage(sender uint32, m *wire.Usage) usage.Update {
	u := usage.Update{
		Source: usage.Source{VM: m.Vm, Start: sender}, Window: usage.Window(m.Window), Sequence: m.Sequence,
		Total: int64(m.Total), Closed: m.Closed, Counts: make(usage.Counts, len(m.Accounts)),
	}
	for i := range min(len(m.Accounts), len(m.Counts)) {
		u.Counts[m.Accounts[i]] = int64(m.Counts[i])
	}
	return u
}

// Receive handles datagrams until ctx is done.
func (p *Peers) Receive(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { p.conn.Close() })()
	buf := make([]byte, 64<<10)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return eris.Wrap(err, "peers: receive")
		}
		p.received.Inc(1)
		var s wire.Share
		if err := proto.Unmarshal(buf[:n], &s); err != nil {
			p.dropped.Inc(1)
			continue
		}
		if s.Gateway != "" {
			p.join(s.Gateway, from, boottime.Now())
		}
		p.dispatch(&s)
		p.answerStreamQueries(&s, from)
	}
}

// receivePlacement handles a placement by another gateway. It drops one whose prefill
// engine is unknown here.
func (p *Peers) receivePlacement(m *wire.Placed, delay time.Duration) {
	service, prefillEngine, ok := p.receiver.EngineByHash(m.Reader)
	if !ok {
		p.dropped.Inc(1)
		return
	}
	decodeEngine := prefillEngine
	if m.Decoder != 0 {
		_, decodeEngine, _ = p.receiver.EngineByHash(m.Decoder)
	}
	placement := place.Placement{
		ID:        place.JobID(m.Job),
		Plan:      place.Plan{PrefillEngine: prefillEngine, DecodeEngine: decodeEngine, CachedTokens: int(m.Kept)},
		Remaining: time.Duration(m.LeftMs) * time.Millisecond,
		Prompt:    decodePrompt(m),
		Account:   fairshare.AccountID(m.Account),

		AnnouncementDelay: flushDelay + delay,
	}
	p.receiver.RemotePlacement(service, placement)
}

// decodePrompt decodes the prompt of a placement.
func decodePrompt(m *wire.Placed) request.Prompt {
	decoded := request.Prompt{Tokens: int(m.Tokens), ExpectedOutputTokens: int(m.Length), DeliveredEvents: int(m.Done)}
	total := 0
	for i := range min(len(m.PartIds), len(m.PartTokens)) {
		tokens := int(m.PartTokens[i])
		decoded.Segments = append(decoded.Segments, request.Segment{ID: m.PartIds[i], Tokens: tokens})
		total += tokens
	}
	if decoded.Tokens == 0 {
		decoded.Tokens = total
	}
	return decoded
}

// decodeConfirmation decodes what the store has confirmed to another gateway. The delay of
// the datagram is added to its age.
func (p *Peers) decodeConfirmation(m *wire.Confirmation) directory.Confirmation {
	sent := time.Duration(m.SentUs) * time.Microsecond
	delay := p.delays.estimate(m.Start, sent, boottime.Now())
	if delay > lateConfirmationDelay {
		p.late.Inc(1)
	}
	return directory.Confirmation{
		ConfigRevision:  m.ConfigRevision,
		ServersRevision: m.ServersRevision,
		Age:             time.Duration(m.AgeMs)*time.Millisecond + delay,

		Era:               decodeEra(m.Era),
		ConfigEra:         decodeEra(m.ConfigEra),
		ConfigVersion:     m.ConfigVersion,
		ConfigUnconfirmed: m.ConfigUnconfirmed,
	}
}

// decodeEra returns the era of a message, 0 if it has none that is valid.
func decodeEra(n int64) store.Era {
	if n < 0 || n > int64(store.MaxEra) {
		return 0
	}
	return store.Era(n)
}

// dispatch passes the messages of a datagram to the Receiver.
func (p *Peers) dispatch(s *wire.Share) {
	if s.Sender == uint32(p.startID) {
		return
	}
	p.receiveStreams(s)
	if s.SentMs == 0 {
		return
	}
	delay := p.delays.estimate(uint64(s.Sender), time.Duration(s.SentMs)*time.Millisecond, boottime.Now())
	p.receiveJobs(s, delay)
	p.receiveServerReports(s, delay)
	now := time.Now()
	for _, m := range s.Entries {
		p.receiver.RemoteServerChange(now, directory.ServerChange{
			Event: store.Event{
				Object: store.Object{Name: m.Name, Revision: m.Revision, Spec: m.Spec, Era: decodeEra(m.Era)}, Removed: m.Removed,
			},
			PreviousRevision: m.After,
		})
	}
	p.receiveUsage(s)
	if c := s.Confirmation; c != nil {
		if c.TrueUs > 0 {
			p.trueTime.ObserveEstimate(s.Sender, time.UnixMicro(c.TrueUs), boottime.Now())
		}
		p.receiver.RemoteConfirmation(now, p.decodeConfirmation(c))
	}
	for _, m := range s.Avoid {
		p.receiver.RemoteAvoid(m.Service, m.Engine, time.Duration(m.ForMs)*time.Millisecond)
	}
	p.receiveOutcomes(s, delay)
	for _, m := range s.ServersEnded {
		if len(m.Fresh)+len(m.Reused) > 0 {
			p.receiver.RemoteCrash(decodeCrash(now.Add(-delay), m))
			continue
		}
		p.receiver.RemoteTermination(decodeTermination(now.Add(-delay), m))
	}
	for _, m := range s.ServerLimits {
		if math.IsNaN(m.PerSecond) || math.IsInf(m.PerSecond, 0) || m.PerSecond < 0 {
			p.dropped.Inc(1)
			continue
		}
		p.receiver.RemoteServerLimit(strconv.FormatUint(uint64(s.Sender), 16), decodeLimit(boottime.Now(), delay, m))
	}
}

// receiveUsage handles the clock and the usage of another gateway.
func (p *Peers) receiveUsage(s *wire.Share) {
	if s.ClockUs > 0 {
		p.trueTime.ObserveClock(s.Sender, time.UnixMicro(s.ClockUs), boottime.Now())
	}
	if p.OnUsage == nil {
		return
	}
	for _, m := range s.Usage {
		p.OnUsage(decodeUsage(s.Sender, m))
	}
}

// receiveJobs handles the placed, prefilled and finished jobs of another gateway from a
// datagram with a delay.
//
// It does not learn from late datagrams. A gateway that was suspended finds the starts and
// ends of thousands of prefills in its socket at the same time, as if prefills took no
// time. Symptom: for half a minute after it resumes, the gateway admits requests that no
// engine can serve.
func (p *Peers) receiveJobs(s *wire.Share, delay time.Duration) {
	late := delay > maxPlacementDelay
	for _, m := range s.Placed {
		if !late {
			p.receivePlacement(m, delay)
		}
	}
	sent := time.Now().Add(-delay)
	for i, id := range s.ReadDone {
		if late {
			p.receiver.RemoteFinished(place.JobID(id))
			continue
		}
		if i < len(s.ReadContention) && s.ReadContention[i] > 0 {
			p.receiver.RemoteContention(place.JobID(id), contention.Report{Factor: contention.Decode(s.ReadContention[i]), At: sent})
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
