package member

import (
	"slices"
	"time"
)

// Status is the state of a Member, for operators.
type Status struct {
	Versions  map[string]uint64 `json:"versions"`
	Ready     bool              `json:"ready"`
	Confirmed bool              `json:"confirmed"`
	VMs       int               `json:"vms"`
	// ListAge is the age of the VM list in seconds.
	ListAge float64 `json:"list_age_seconds"`
	// Watching is set if this process watches the store for its data centre.
	Watching bool `json:"watching"`
	// Peers is the number of links to other entries.
	Peers int `json:"peers"`
}

// Status returns the state of m.
func (m *Member) Status() Status {
	s := m.Snapshot()
	return Status{
		Versions:  s.Versions().GetVersions(),
		Ready:     s.Ready,
		Confirmed: s.Confirmed,
		VMs:       len(s.VMs),
		ListAge:   s.ListAge(time.Now()).Seconds(),
		Watching:  m.watching(),
		Peers:     m.conns.count(),
	}
}

// watching reports whether this process is one of the watchers of its data
// centre.
func (m *Member) watching() bool {
	return m.config.Entry &&
		slices.Contains(Watchers(m.Snapshot().VMs, m.config.DataCentre), m.config.Process)
}
