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
	// GossipInterval is how often an entry announces its versions to each peer. The
	// message is also the heartbeat of the link.
	GossipInterval = 2 * time.Second
	// fetchRetryInterval is how long a newer object may take to arrive before it is
	// requested again, from any peer that has it, or sent again.
	fetchRetryInterval = 500 * time.Millisecond
	// readyPeerCount is how many processes must announce their versions before a new
	// process counts as confirmed without the store.
	readyPeerCount = 2
	// readyTimeout bounds the wait of a new process. It then serves with what it has,
	// and reports that it is not confirmed.
	readyTimeout = 5 * time.Second
	// peerExpiry is how long a peer may send no message before it is removed.
	peerExpiry = 4 * GossipInterval
	// listStaleAfter is the age from which a newer VM list is requested from peers.
	listStaleAfter = 10 * time.Second
	// maxPeers bounds the connections to peers.
	maxPeers = 64
)

type peer struct {
	process      string
	lastReceived time.Time
	// sent has the version of each object last sent, and when.
	sent map[string]timedVersion
}

// timedVersion is a version of an object, and when it was sent or requested.
type timedVersion struct {
	version uint64
	at      time.Time
}

// State is the state machine of a process's view of the fleet. It is not safe for
// concurrent use.
//
// It announces only versions to peers. A peer requests what it lacks by announcing its
// own versions, so that each object is sent to a process once, however many of its peers
// have it.
type State struct {
	objects *Objects
	current Snapshot

	startedAt time.Time
	// storeConfirmedObjects are the objects read from the store, announced the versions
	// that each process has announced. Both serve to find out whether a new process is
	// confirmed.
	storeConfirmedObjects map[string]bool
	announced             map[string]map[string]uint64

	peers map[PeerID]*peer
	// requested has the version of each object last requested from a peer, and when.
	requested    map[string]timedVersion
	usage        *wire.Accounts
	nextGossipAt time.Time
	now          time.Time

	effects []Effect
}

// NewState returns the State of a process of the region that starts now.
func NewState(region string, now time.Time) *State {
	s := &State{
		objects:               NewObjects(fleetconfig.ObjectName, plan.ObjectName(region)),
		startedAt:             now,
		storeConfirmedObjects: map[string]bool{},
		announced:             map[string]map[string]uint64{},
		peers:                 map[PeerID]*peer{},
		requested:             map[string]timedVersion{},
		nextGossipAt:          now.Add(GossipInterval),
	}
	s.current.objects = NewObjects(s.objects.wanted...)
	return s
}

// Snapshot returns the current Snapshot.
func (s *State) Snapshot() *Snapshot {
	c := s.current
	return &c
}

// Step handles one event and returns the effects to carry out.
func (s *State) Step(now time.Time, ev Event) []Effect {
	s.effects, s.now = nil, now
	before := s.current
	switch ev := ev.(type) {
	case VMListRead:
		s.handleList(now, ev)
	case PeerVMList:
		s.handlePeerList(now, ev)
	case StoreRead:
		s.handleStoreRead(ev)
	case ObjectReceived:
		s.applyObject(ev.Object, ev.Peer)
	case PeerUp:
		s.handlePeerUp(now, ev)
	case PeerDown:
		delete(s.peers, ev.Peer)
	case PeerVersions:
		s.handlePeerVersions(now, ev)
	case UsageAnnounced:
		s.usage = ev.Accounts
	case Tick:
		s.handleTick(now)
	}
	s.checkReady(now)
	if s.changedSince(before) {
		s.effects = append(s.effects, Publish{Snapshot: s.Snapshot()})
	}
	return s.effects
}

// changedSince reports whether the Snapshot has changed, apart from the time of a VM list
// that is the same as before.
func (s *State) changedSince(before Snapshot) bool {
	c := s.current
	return before.objects != c.objects || before.Ready != c.Ready || before.Confirmed != c.Confirmed ||
		before.ListedAt.IsZero() != c.ListedAt.IsZero() || !slices.Equal(before.VMs, c.VMs)
}

// handleList applies the VM list unless it is empty. An empty list is a sign of an outage
// of the list, and applying it would take every backend server out of service.
func (s *State) handleList(now time.Time, ev VMListRead) {
	if ev.Err != nil || len(ev.VMs) == 0 {
		return
	}
	s.setList(now, ev.VMs)
}

func (s *State) setList(readAt time.Time, list []sharedstate.VM) {
	vms := slices.Clone(list)
	slices.SortFunc(vms, byName)
	s.current.ListedAt = readAt
	if !slices.Equal(vms, s.current.VMs) {
		s.current.VMs = vms
	}
}

// wantsList reports whether to request the VM list from peers. Otherwise, an entry that
// is replaced during an outage of the platform would know no backend server until the
// outage ends, and a rolling replacement during it would leave no working entry.
func (s *State) wantsList() bool {
	return s.current.ListedAt.IsZero() || s.now.Sub(s.current.ListedAt) >= listStaleAfter
}

// handlePeerList applies a peer's VM list if it was read later than the current one.
func (s *State) handlePeerList(now time.Time, ev PeerVMList) {
	readAt := now.Add(-ev.Age)
	if len(ev.VMs) > 0 && s.wantsList() && readAt.After(s.current.ListedAt) {
		s.setList(readAt, ev.VMs)
	}
}

func (s *State) handleStoreRead(ev StoreRead) {
	if ev.Err != nil {
		return
	}
	s.storeConfirmedObjects[ev.Object.Name] = true
	s.applyObject(ev.Object, 0)
}

// applyObject applies an object if it is newer, and announces it to all peers except the
// one that it came from.
func (s *State) applyObject(o sharedstate.Object, from PeerID) {
	if len(o.Value) > sharedstate.MaxValue || !s.objects.Offer(o) {
		return
	}
	delete(s.requested, o.Name)
	s.decode(o)
	s.current.objects = s.objects.clone()
	for _, id := range s.peerIDs() {
		if id != from {
			s.send(id, s.versionsFrame())
		}
	}
}

// decode puts the content of o into the snapshot. If o cannot be decoded, the previous
// one stays active, and the version of o is still announced: a newer release may be able
// to decode it.
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
			Error("object cannot be decoded, keeping the previous one")
	}
}

func (s *State) handlePeerUp(now time.Time, ev PeerUp) {
	if len(s.peers) >= maxPeers {
		return
	}
	s.peers[ev.Peer] = &peer{process: ev.Process, lastReceived: now, sent: map[string]timedVersion{}}
	s.send(ev.Peer, s.versionsFrame())
}

// handlePeerVersions sends the peer the objects of which it has no or an older version,
// and requests those of which it has a newer one.
func (s *State) handlePeerVersions(now time.Time, ev PeerVersions) {
	if !s.current.Confirmed && len(s.announced) < maxPeers {
		s.announced[ev.Process] = s.filterWanted(ev.Versions)
	}
	if ev.Peer == 0 {
		return
	}
	if s.peers[ev.Peer] == nil {
		s.handlePeerUp(now, PeerUp{Peer: ev.Peer, Process: ev.Process})
	}
	p := s.peers[ev.Peer]
	if p == nil {
		return
	}
	p.lastReceived = now
	for _, o := range s.objects.Newer(&wire.Versions{Versions: ev.Versions}) {
		last := p.sent[o.GetName()]
		if last.version == o.GetVersion() && now.Sub(last.at) < fetchRetryInterval {
			continue
		}
		p.sent[o.GetName()] = timedVersion{version: o.GetVersion(), at: now}
		s.send(ev.Peer, &wire.Frame{Body: &wire.Frame_Object{Object: o}})
	}
	if s.requestMissing(now, ev.Versions) {
		s.send(ev.Peer, s.versionsFrame())
	}
	if ev.WantsList {
		s.sendList(now, ev.Peer)
	}
}

// sendList sends the VM list to a peer that requests it, if there is one.
func (s *State) sendList(now time.Time, id PeerID) {
	if s.current.ListedAt.IsZero() {
		return
	}
	age := now.Sub(s.current.ListedAt)
	s.send(id, &wire.Frame{Body: &wire.Frame_Vms{Vms: listToWire(s.current.VMs, age)}})
}

// filterWanted returns the versions of the objects that this process wants, 0 for one
// that is not in versions.
func (s *State) filterWanted(versions map[string]uint64) map[string]uint64 {
	wanted := map[string]uint64{}
	for _, name := range s.objects.wanted {
		wanted[name] = versions[name]
	}
	return wanted
}

// requestMissing records the objects to request from a peer with these versions and
// reports whether there are any. It leaves out those that were requested within
// fetchRetryInterval.
func (s *State) requestMissing(now time.Time, versions map[string]uint64) bool {
	missing := false
	for name, version := range s.filterWanted(versions) {
		if version <= s.objects.Get(name).Version {
			continue
		}
		last := s.requested[name]
		if last.version >= version && now.Sub(last.at) < fetchRetryInterval {
			continue
		}
		s.requested[name] = timedVersion{version: version, at: now}
		missing = true
	}
	return missing
}

func (s *State) handleTick(now time.Time) {
	// A PeerDown event can be lost when the inbox is full.
	maps.DeleteFunc(s.peers, func(_ PeerID, p *peer) bool {
		return now.Sub(p.lastReceived) > peerExpiry
	})
	if now.Before(s.nextGossipAt) {
		return
	}
	s.nextGossipAt = now.Add(GossipInterval)
	for _, id := range s.peerIDs() {
		s.send(id, s.versionsFrame())
		if s.usage != nil {
			s.send(id, &wire.Frame{Body: &wire.Frame_Accounts{Accounts: s.usage}})
		}
	}
}

// checkReady ends the wait of a new process. A process that immediately served with the
// objects of its first peer could undo, for its own callers, a change that an operator
// was told is active.
func (s *State) checkReady(now time.Time) {
	if s.current.Confirmed {
		return
	}
	s.current.Confirmed = s.storeConfirmed() || s.peersConfirmed()
	s.current.Ready = s.current.Ready || s.current.Confirmed || now.Sub(s.startedAt) >= readyTimeout
	if s.current.Confirmed {
		s.announced = map[string]map[string]uint64{}
	}
}

func (s *State) storeConfirmed() bool {
	for _, name := range s.objects.wanted {
		if !s.storeConfirmedObjects[name] {
			return false
		}
	}
	return true
}

// peersConfirmed reports whether enough processes have announced their versions and this
// process holds the highest of them.
func (s *State) peersConfirmed() bool {
	if len(s.announced) < readyPeerCount {
		return false
	}
	for _, versions := range s.announced {
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
