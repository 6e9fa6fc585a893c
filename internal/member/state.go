package member

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/plan"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// The timing and bounds of State.
const (
	// GossipInterval is how often an entry tells each peer its versions. The
	// message is the heartbeat of the link as well.
	GossipInterval = 2 * time.Second
	// pullRetry is how long a newer object may take to arrive before it is
	// asked of another peer too.
	pullRetry = 500 * time.Millisecond
	// readyPeers is how many peers a fresh process hears out when the store
	// does not answer.
	readyPeers = 2
	// readyTimeout bounds the wait of a fresh process. It then serves what it
	// has, and says so.
	readyTimeout = 5 * time.Second
	// peerForgottenAfter is how long a peer may tell nothing before it no longer
	// counts.
	peerForgottenAfter = 4 * GossipInterval
	// listStale is the age from which a VM list is asked of peers.
	listStale = 10 * time.Second
	// maxPeers bounds the peers of an entry.
	maxPeers = 64
)

type peer struct {
	process string
	heardAt time.Time
	// sent is the version of each object last sent, and when.
	sent map[string]sentObject
}

type sentObject struct {
	version uint64
	at      time.Time
}

// State is the state machine of a process's picture of the fleet. It is not
// safe for use by several goroutines.
//
// A peer is told versions only, and asks for what it lacks by telling its own:
// so each object crosses to a process once, however many peers have it.
type State struct {
	objects *Objects
	current Snapshot

	startedAt time.Time
	// confirmed are the objects that the store has answered for, heard the
	// versions of each process that has told them.
	confirmed map[string]bool
	heard     map[string]map[string]uint64

	peers    map[PeerID]*peer
	asked    map[string]sentObject
	accounts *wire.Accounts
	gossipAt time.Time
	now      time.Time

	effects []Effect
}

// NewState returns the State of a process of the region that has begun now.
func NewState(region string, now time.Time) *State {
	s := &State{
		objects:   NewObjects(fleetconfig.ObjectName, plan.ObjectName(region)),
		startedAt: now,
		confirmed: map[string]bool{},
		heard:     map[string]map[string]uint64{},
		peers:     map[PeerID]*peer{},
		asked:     map[string]sentObject{},
		gossipAt:  now.Add(GossipInterval),
	}
	s.current.objects = NewObjects(s.objects.wanted...)
	return s
}

// Snapshot returns the picture as it is now.
func (s *State) Snapshot() *Snapshot {
	c := s.current
	return &c
}

// Step takes one event and returns what to do.
func (s *State) Step(now time.Time, ev Event) []Effect {
	s.effects, s.now = nil, now
	before := s.current
	switch ev := ev.(type) {
	case Listed:
		s.listed(now, ev)
	case PeerListed:
		s.peerListed(now, ev)
	case StoreRead:
		s.storeRead(ev)
	case Offered:
		s.offered(ev.Object, ev.Peer)
	case PeerUp:
		s.peerUp(now, ev)
	case PeerDown:
		delete(s.peers, ev.Peer)
	case PeerVersions:
		s.peerVersions(now, ev)
	case Spent:
		s.accounts = ev.Accounts
	case Tick:
		s.tick(now)
	}
	s.checkReady(now)
	if s.differs(before) {
		s.effects = append(s.effects, Publish{Snapshot: s.Snapshot()})
	}
	return s.effects
}

// differs reports whether others would see a change. The time of the list alone
// is none.
func (s *State) differs(before Snapshot) bool {
	c := s.current
	return before.objects != c.objects || before.Ready != c.Ready || before.Confirmed != c.Confirmed ||
		before.ListedAt.IsZero() != c.ListedAt.IsZero() || !slices.Equal(before.VMs, c.VMs)
}

// listed takes the list unless it is empty. The list has outages too, and an
// empty list would take every backend server out of service at once.
func (s *State) listed(now time.Time, ev Listed) {
	if ev.Err != nil || len(ev.VMs) == 0 {
		return
	}
	s.takeList(now, ev.VMs)
}

func (s *State) takeList(readAt time.Time, list []sharedstate.VM) {
	vms := slices.Clone(list)
	slices.SortFunc(vms, byName)
	s.current.ListedAt = readAt
	if !slices.Equal(vms, s.current.VMs) {
		s.current.VMs = vms
	}
}

// wantsList reports whether peers are asked for their VM list. An entry that is
// replaced while the platform is out would otherwise know no backend server for
// as long as the outage lasts, and entries replaced one by one would all be
// lost.
func (s *State) wantsList() bool {
	return s.current.ListedAt.IsZero() || s.now.Sub(s.current.ListedAt) >= listStale
}

// peerListed takes a peer's list if it was read later than the one held.
func (s *State) peerListed(now time.Time, ev PeerListed) {
	readAt := now.Add(-ev.Age)
	if len(ev.VMs) > 0 && s.wantsList() && readAt.After(s.current.ListedAt) {
		s.takeList(readAt, ev.VMs)
	}
}

func (s *State) storeRead(ev StoreRead) {
	if ev.Err != nil {
		return
	}
	s.confirmed[ev.Object.Name] = true
	s.offered(ev.Object, 0)
}

// offered takes an object if it is newer, and tells the peers but for the one
// that it came from.
func (s *State) offered(o sharedstate.Object, from PeerID) {
	if len(o.Value) > sharedstate.MaxValue || !s.objects.Offer(o) {
		return
	}
	delete(s.asked, o.Name)
	s.decode(o)
	s.current.objects = s.objects.clone()
	for _, id := range s.peerIDs() {
		if id != from {
			s.send(id, s.versionsFrame())
		}
	}
}

// decode puts the content of o into the snapshot. An object that cannot be read
// leaves the one before in force, and its version is still passed on: a newer
// release may be able to read it.
func (s *State) decode(o sharedstate.Object) {
	var err error
	switch o.Name {
	case fleetconfig.ObjectName:
		config := fleetconfig.Config{}
		if err = json.Unmarshal(o.Value, &config); err == nil {
			s.current.Config = config
			s.current.ConfigVersion = o.Version
		}
	default:
		p := plan.Plan{}
		if err = json.Unmarshal(o.Value, &p); err == nil {
			s.current.Plan = p
			s.current.PlanVersion = o.Version
		}
	}
	if err != nil {
		log.WithError(err).WithField("object", o.Name).WithField("version", o.Version).
			Error("object cannot be read")
	}
}

func (s *State) peerUp(now time.Time, ev PeerUp) {
	if len(s.peers) >= maxPeers {
		return
	}
	s.peers[ev.Peer] = &peer{process: ev.Process, heardAt: now, sent: map[string]sentObject{}}
	s.send(ev.Peer, s.versionsFrame())
}

// peerVersions sends the peer what it lacks, and asks it for what it has more.
func (s *State) peerVersions(now time.Time, ev PeerVersions) {
	if !s.current.Confirmed && len(s.heard) < maxPeers {
		s.heard[ev.Process] = s.wantedOf(ev.Versions)
	}
	if ev.Peer == 0 {
		return
	}
	if s.peers[ev.Peer] == nil {
		s.peerUp(now, PeerUp{Peer: ev.Peer, Process: ev.Process})
	}
	p := s.peers[ev.Peer]
	if p == nil {
		return
	}
	p.heardAt = now
	for _, o := range s.objects.Newer(&wire.Versions{Versions: ev.Versions}) {
		last := p.sent[o.GetName()]
		if last.version == o.GetVersion() && now.Sub(last.at) < pullRetry {
			continue
		}
		p.sent[o.GetName()] = sentObject{version: o.GetVersion(), at: now}
		s.send(ev.Peer, &wire.Frame{Body: &wire.Frame_Object{Object: o}})
	}
	if s.askFor(now, ev.Versions) {
		s.send(ev.Peer, s.versionsFrame())
	}
	if ev.WantsList {
		s.sendList(now, ev.Peer)
	}
}

// sendList answers a peer that wants the VM list.
func (s *State) sendList(now time.Time, id PeerID) {
	if s.current.ListedAt.IsZero() {
		return
	}
	age := now.Sub(s.current.ListedAt)
	s.send(id, &wire.Frame{Body: &wire.Frame_Vms{Vms: listToWire(s.current.VMs, age)}})
}

// wantedOf keeps of the versions those of the objects that are held here.
func (s *State) wantedOf(versions map[string]uint64) map[string]uint64 {
	kept := map[string]uint64{}
	for _, name := range s.objects.wanted {
		kept[name] = versions[name]
	}
	return kept
}

// askFor reports whether the peer has something that is not asked for yet.
func (s *State) askFor(now time.Time, versions map[string]uint64) bool {
	ask := false
	for name, version := range s.wantedOf(versions) {
		if version <= s.objects.Get(name).Version {
			continue
		}
		asked := s.asked[name]
		if asked.version >= version && now.Sub(asked.at) < pullRetry {
			continue
		}
		s.asked[name] = sentObject{version: version, at: now}
		ask = true
	}
	return ask
}

func (s *State) tick(now time.Time) {
	// The event that ends a connection can be dropped when the inbox is full.
	maps.DeleteFunc(s.peers, func(_ PeerID, p *peer) bool {
		return now.Sub(p.heardAt) > peerForgottenAfter
	})
	if now.Before(s.gossipAt) {
		return
	}
	s.gossipAt = now.Add(GossipInterval)
	for _, id := range s.peerIDs() {
		s.send(id, s.versionsFrame())
		if s.accounts != nil {
			s.send(id, &wire.Frame{Body: &wire.Frame_Accounts{Accounts: s.accounts}})
		}
	}
}

// checkReady ends the wait of a fresh process. A process that served at once
// what the first peer told it could undo, for its own callers, a change that an
// operator was told is in force.
func (s *State) checkReady(now time.Time) {
	if s.current.Confirmed {
		return
	}
	s.current.Confirmed = s.storeConfirmed() || s.peersConfirmed()
	s.current.Ready = s.current.Ready || s.current.Confirmed || now.Sub(s.startedAt) >= readyTimeout
	if s.current.Confirmed {
		s.heard = map[string]map[string]uint64{}
	}
}

func (s *State) storeConfirmed() bool {
	for _, name := range s.objects.wanted {
		if !s.confirmed[name] {
			return false
		}
	}
	return true
}

// peersConfirmed reports whether enough processes have told their versions and
// the highest of them are held.
func (s *State) peersConfirmed() bool {
	if len(s.heard) < readyPeers {
		return false
	}
	for _, versions := range s.heard {
		for name, version := range versions {
			if version > s.objects.Get(name).Version {
				return false
			}
		}
	}
	return true
}

func (s *State) versionsFrame() *wire.Frame {
	versions := s.objects.Versions()
	versions.WantsList = s.wantsList()
	return &wire.Frame{Body: &wire.Frame_Versions{Versions: versions}}
}

func (s *State) send(id PeerID, f *wire.Frame) {
	s.effects = append(s.effects, Send{Peer: id, Frame: f})
}

func (s *State) peerIDs() []PeerID { return slices.Sorted(maps.Keys(s.peers)) }
