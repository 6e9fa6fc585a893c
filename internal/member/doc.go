// Package member keeps a process's view of the fleet: the VM list and the objects
// that all processes share.
//
// A few entries watch the store. Objects spread from them by gossip between entries
// and over the links from entries to sidecars, always with their store version, and a
// process only accepts higher versions. State is the state machine; Member runs it and
// publishes an immutable Snapshot.
package member
