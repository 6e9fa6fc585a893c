// Package sharedstate gives the processes of the sidecar deployment access to their
// shared state in the metadata store: named objects with all state that must persist,
// changed by conditional updates whose outcome is determined even if a reply is lost,
// and the VM list. Each process keeps to its share of the store's call rate, and makes
// almost no calls during an outage.
package sharedstate

import (
	"context"

	"github.com/rotisserie/eris"
)

// Object is one object of the store. Version 0 means that it does not exist.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
}

// MaxValue is the maximum size of a value in bytes.
const MaxValue = 1 << 20

// The errors of a Store.
var (
	// ErrConflict means that the object has another version, so that the update did
	// not take effect.
	ErrConflict = eris.New("object has another version")
	// ErrNotSent means that the call was not sent, or was rejected by the store, so
	// that nothing took effect.
	ErrNotSent = eris.New("store not asked")
	// ErrUnknown means that an update may take effect, now or later, since its reply
	// was lost. Write determines the outcome.
	ErrUnknown = eris.New("outcome of the update is unknown")
	// ErrUnavailable means that a read failed.
	ErrUnavailable = eris.New("store unavailable")
)

// Store is the object API.
type Store interface {
	// Get returns the object, with version 0 if it does not exist, or
	// ErrUnavailable or ErrNotSent.
	Get(ctx context.Context, name string) (Object, error)
	// Put replaces the value if the object still has the version given (0: if
	// it does not exist) and returns the new version, which is higher. It
	// returns ErrConflict, ErrNotSent or ErrUnknown.
	Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error)
	// Watch waits until the object has a version above after and returns it. It
	// returns an error if a call fails or ctx ends.
	Watch(ctx context.Context, name string, after uint64) (Object, error)
}

// VMKind is the kind of process that runs on a VM.
type VMKind string

// The kinds of VM.
const (
	VMEntry   VMKind = "entry"
	VMBackend VMKind = "backend"
)

// VM is one item of the VM list.
type VM struct {
	Name       string `json:"name"`
	Kind       VMKind `json:"kind"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// LinkAddress is where a sidecar accepts links, or an entry those of its peers.
	LinkAddress string `json:"link_address"`
	// OperatorAddress serves health, metrics and the state dump.
	OperatorAddress string `json:"operator_address"`
	// Service is the service of the backend server: ServiceModels or the name of a
	// plain service.
	Service string `json:"service,omitempty"`
	// Draining is set for a VM that gets no new requests because it is about to leave.
	Draining bool `json:"leaving,omitempty"`
}

// ServiceModels is the Service of a VM with a model engine.
const ServiceModels = "models"

// VMList returns all VMs. It may lag behind the actual state.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}
