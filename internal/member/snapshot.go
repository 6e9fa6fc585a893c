package member

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/plan"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// Snapshot is a picture of the fleet. It is never changed after it was
// published.
type Snapshot struct {
	// VMs is the last list that was read and not empty, in order of names.
	VMs []sharedstate.VM
	// ListedAt is when VMs was last confirmed; zero: never.
	ListedAt time.Time
	// Config and Plan are those in force; a version of 0 says that there is
	// none yet.
	Config        fleetconfig.Config
	ConfigVersion uint64
	Plan          plan.Plan
	PlanVersion   uint64
	// Ready says that a fresh process has looked for the highest versions;
	// Confirmed that it has found them, in the store or at several peers.
	Ready     bool
	Confirmed bool

	objects *Objects
}

// ListAge returns how old the VM list is.
func (s *Snapshot) ListAge(now time.Time) time.Duration {
	if s.ListedAt.IsZero() {
		return 0
	}
	return now.Sub(s.ListedAt)
}

// Versions returns the versions in force, for a peer.
func (s *Snapshot) Versions() *wire.Versions { return s.objects.Versions() }

// Newer returns the objects that a peer with these versions lacks.
func (s *Snapshot) Newer(peer *wire.Versions) []*wire.Object { return s.objects.Newer(peer) }
