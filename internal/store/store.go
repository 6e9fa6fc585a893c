// Package store defines the interface to the metadata store of the deployment: objects
// with revisions, conditional updates and watches.
package store

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// The errors of a Store. After any other error, the outcome of a write is unknown: it may
// have been applied, or may be applied later as long as its condition holds.
var (
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("store: no such object")
	// ErrConflict means that the object to create exists, or that the object to change
	// has another revision.
	ErrConflict = errors.New("store: revision conflict")
	// ErrCompacted means that the history after a watch's revision has been dropped.
	// The caller must list again.
	ErrCompacted = errors.New("store: history compacted")
	// ErrRejected means that the store rejected the call or was not reached. The call had
	// no effect and may be retried.
	ErrRejected = errors.New("store: refused")
	// ErrEraEnded means that the store has come back from a copy since it answered. What it
	// answered, and a write that it acknowledged, may be lost.
	ErrEraEnded = errors.New("store: answer of an earlier era")
)

// Object is one object of the store.
type Object struct {
	Name string
	// Revision is the store's revision at the object's last change. Every change in the
	// store increases it, within an era.
	Revision int64
	// Spec is the object's JSON value.
	Spec json.RawMessage
	// Deleting is set while a deleted object waits for its finalizers.
	Deleting bool
	// Era is the era of the answer that had the object.
	Era Era `json:"Era,omitempty"`
}

// Position returns the position of the object's last change.
func (o Object) Position() Position { return Position{Era: o.Era, Revision: o.Revision} }

// Listing holds all objects of a kind at one revision of the store.
type Listing struct {
	Objects  []Object
	Revision int64
	Era      Era
}

// Event is a change of an object, or its removal.
type Event struct {
	Object  Object
	Removed bool
}

// Batch is the result of a watch. The next watch continues from Revision.
type Batch struct {
	Events   []Event
	Revision int64
	Era      Era
}

// Freshness is the consistency of a read.
type Freshness uint8

const (
	// Linearizable reads return every change that was confirmed before they started.
	Linearizable Freshness = iota
	// Stale reads may be seconds out of date, and cost the store a tenth.
	Stale
)

// Store is the metadata store.
type Store interface {
	// List returns all objects of a kind.
	List(ctx context.Context, kind string, f Freshness) (Listing, error)
	// Get returns one object.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Watch returns the changes after a revision as soon as there are any, or an empty
	// batch after wait.
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) (Batch, error)
	// Create adds an object. It returns ErrConflict if the object exists.
	Create(ctx context.Context, kind, name string, spec any) (Object, error)
	// Update replaces an object's value if it still has the revision.
	Update(ctx context.Context, kind, name string, revision int64, spec any) (Object, error)
	// Delete removes an object if it still has the revision.
	Delete(ctx context.Context, kind, name string, revision int64) error
}
