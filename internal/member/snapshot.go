package member

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/plan"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// Snapshot is an immutable view of the fleet.
type Snapshot struct {
	// VMs is the last non-empty VM list, sorted by name.
	VMs []sharedstate.VM
	// ListedAt is when VMs was last read; zero if never.
	ListedAt time.Time
	// Config and Plan are the active ones; version 0 means that there is none yet.
	Config        fleetconfig.Config
	ConfigVersion uint64
	Plan          plan.Plan
	PlanVersion   uint64
	// Ready is set once a new process has found the highest versions or stopped
	// waiting for them. Confirmed is set only if it has found them, in the store or at
	// several peers.
	Ready     bool
	Confirmed bool

	objects *Objects
}

// ListAge returns the age of the VM list, 0 if none was read.
func (s *Snapshot) ListAge(now time.Time) time.Duration {
	if s.ListedAt.IsZero() {
		return 0
	}
	return now.Sub(s.ListedAt)
}

// Versions returns the versions of the objects held, to announce to a peer.
func (s *Snapshot) Versions() *wire.Versions { return s.objects.Versions() }

// Newer returns the objects that a peer with these versions lacks.
func (s *Snapshot) Newer(peer *wire.Versions) []*wire.Object { return s.objects.Newer(peer) }
