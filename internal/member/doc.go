// Package member keeps a process's picture of the fleet: the VM list and the
// objects that all processes hold in common.
//
// Objects travel from the few entries that watch the store to all others, from
// entry to entry and from entry to sidecar, always with their store version,
// and a process only ever moves up. State is the state machine; Member runs it
// and publishes an immutable Snapshot.
package member
