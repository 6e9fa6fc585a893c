package member

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// PeerID is one connection to a peer.
type PeerID uint64

// Event is something that happened to a State.
type Event interface{ event() }

// The events of a State.
type (
	// Listed is the VM list, or the error of reading it.
	Listed struct {
		VMs []sharedstate.VM
		Err error
	}
	// StoreRead is an object as the store has it, or the error of reading it.
	StoreRead struct {
		Object sharedstate.Object
		Err    error
	}
	// Offered is an object from another process; Peer is 0 for a link that
	// belongs to another duty.
	Offered struct {
		Peer   PeerID
		Object sharedstate.Object
	}
	// PeerUp and PeerDown begin and end a connection.
	PeerUp struct {
		Peer    PeerID
		Process string
	}
	PeerDown struct{ Peer PeerID }
	// PeerVersions are the versions in force at another process; Peer is 0 for
	// a link that belongs to another duty.
	PeerVersions struct {
		Peer     PeerID
		Process  string
		Versions map[string]uint64
		// WantsList says that the peer's VM list is missing or old.
		WantsList bool
	}
	// PeerListed is the VM list of a peer; Age is how long ago it was read.
	PeerListed struct {
		VMs []sharedstate.VM
		Age time.Duration
	}
	// Spent are this entry's heaviest accounts, to tell its peers.
	Spent struct{ Accounts *wire.Accounts }
	// Tick lets time pass.
	Tick struct{}
)

func (Listed) event()       {}
func (PeerListed) event()   {}
func (StoreRead) event()    {}
func (Offered) event()      {}
func (PeerUp) event()       {}
func (PeerDown) event()     {}
func (PeerVersions) event() {}
func (Spent) event()        {}
func (Tick) event()         {}

// Effect is something that a State asks for.
type Effect interface{ effect() }

// The effects of a State.
type (
	// Send sends a frame to a peer.
	Send struct {
		Peer  PeerID
		Frame *wire.Frame
	}
	// Publish says that the Snapshot has changed.
	Publish struct{ Snapshot *Snapshot }
)

func (Send) effect()    {}
func (Publish) effect() {}
