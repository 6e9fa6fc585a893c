package member

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// PeerID identifies one connection to a peer.
type PeerID uint64

// Event is an input of a State.
type Event interface{ event() }

// The events of a State.
type (
	// VMListRead is the result of reading the VM list.
	VMListRead struct {
		VMs []sharedstate.VM
		Err error
	}
	// StoreRead is the result of reading an object from the store.
	StoreRead struct {
		Object sharedstate.Object
		Err    error
	}
	// ObjectReceived is an object from another process, or one that this process has
	// written; Peer is 0 if it did not come over a gossip link.
	ObjectReceived struct {
		Peer   PeerID
		Object sharedstate.Object
	}
	// PeerUp and PeerDown start and end a connection.
	PeerUp struct {
		Peer    PeerID
		Process string
	}
	PeerDown struct{ Peer PeerID }
	// PeerVersions are the versions held by another process; Peer is 0 if they did not
	// come over a gossip link.
	PeerVersions struct {
		Peer     PeerID
		Process  string
		Versions map[string]uint64
		// WantsList is set if the peer's VM list is missing or old.
		WantsList bool
	}
	// PeerVMList is the VM list of a peer; Age is how long ago it was read.
	PeerVMList struct {
		VMs []sharedstate.VM
		Age time.Duration
	}
	// UsageAnnounced is the usage of this entry's heaviest client accounts, to
	// announce to its peers.
	UsageAnnounced struct{ Accounts *wire.Accounts }
	// Tick advances time.
	Tick struct{}
)

func (VMListRead) event()     {}
func (PeerVMList) event()     {}
func (StoreRead) event()      {}
func (ObjectReceived) event() {}
func (PeerUp) event()         {}
func (PeerDown) event()       {}
func (PeerVersions) event()   {}
func (UsageAnnounced) event() {}
func (Tick) event()           {}

// Effect is an output of a State, for its driver to carry out.
type Effect interface{ effect() }

// The effects of a State.
type (
	// Send sends a frame to a peer.
	Send struct {
		Peer  PeerID
		Frame *wire.Frame
	}
	// Publish makes a changed Snapshot visible.
	Publish struct{ Snapshot *Snapshot }
)

func (Send) effect()    {}
func (Publish) effect() {}
