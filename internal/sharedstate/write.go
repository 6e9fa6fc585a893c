package sharedstate

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/pause"
)

// Outcome is the outcome of a write.
type Outcome uint8

// The outcomes of a write.
const (
	// OutcomeUnknown means that the write may take effect, now or later.
	OutcomeUnknown Outcome = iota
	// Applied means that the write took effect.
	Applied
	// NotApplied means that the write did not take effect and never will.
	NotApplied
	// Superseded means that another write has replaced the value, so that this one
	// cannot take effect any more; it may have been applied before.
	Superseded
)

// String returns the outcome for logs.
func (o Outcome) String() string {
	switch o {
	case Applied:
		return "applied"
	case NotApplied:
		return "not applied"
	case Superseded:
		return "superseded"
	default:
		return "still unknown"
	}
}

// Call is a call of the store that a Write requests.
type Call uint8

// The calls of a Write.
const (
	CallNone Call = iota
	CallPut
	CallGet
)

// Write is one conditional update, retried until its outcome is certain. It is a state
// machine without clock or I/O: make the call that NextCall returns and report its result,
// until NextCall is CallNone.
//
// A reply can be lost although the update takes effect, immediately or later. Reading
// the object without finding the update proves nothing while its version is still the
// base version: the update may be in flight. Write then sends the same update again,
// with the same base version. Only one of the two can succeed, and after that the other
// can no longer take effect.
type Write struct {
	// Name is the object to update, BaseVersion the version that the update is conditional
	// on, and Value the new value, which contains ID.
	Name        string
	BaseVersion uint64
	Value       []byte
	// ID is random, so that no other write contains it.
	ID string

	next    Call
	inDoubt bool
	outcome Outcome
	object  Object
}

// NewWrite returns a Write that replaces version base by value, which must contain id.
func NewWrite(name string, base uint64, value []byte, id string) *Write {
	invariant.Check(bytes.Contains(value, []byte(id)), "writes carry their id",
		"%s over version %d does not contain %s", name, base, id)
	return &Write{Name: name, BaseVersion: base, Value: value, ID: id, next: CallPut}
}

// NewWriteID returns a random id.
func NewWriteID() string { return uuid.NewString() }

// NextCall returns the call to make.
func (w *Write) NextCall() Call { return w.next }

// InDoubt reports whether an update was sent whose outcome is not known yet.
func (w *Write) InDoubt() bool { return w.inDoubt && w.next != CallNone }

// Outcome returns the outcome of the update, OutcomeUnknown until NextCall is CallNone.
func (w *Write) Outcome() Outcome { return w.outcome }

// Object returns the object in the store if the outcome is Applied or Superseded. A later
// write may have replaced it since.
func (w *Write) Object() Object { return w.object }

// PutDone reports the result of a CallPut.
func (w *Write) PutDone(version uint64, err error) {
	switch {
	case err == nil:
		w.end(Applied, Object{Name: w.Name, Version: version, Value: w.Value})
	case errors.Is(err, ErrConflict) && !w.inDoubt, errors.Is(err, ErrNotSent) && !w.inDoubt:
		w.end(NotApplied, Object{Name: w.Name})
	case errors.Is(err, ErrConflict), errors.Is(err, ErrNotSent):
		w.next = CallGet
	default:
		w.inDoubt = true
		w.next = CallGet
	}
}

// GetDone reports the result of a CallGet.
func (w *Write) GetDone(o Object, err error) {
	switch {
	case err != nil, o.Version < w.BaseVersion:
		w.next = CallGet
	case o.Version == w.BaseVersion:
		w.next = CallPut
	case bytes.Contains(o.Value, []byte(w.ID)):
		w.end(Applied, o)
	default:
		w.end(Superseded, o)
	}
}

func (w *Write) end(outcome Outcome, o Object) {
	invariant.Check(w.next != CallNone, "a write has one outcome",
		"%s over version %d was %s and became %s", w.Name, w.BaseVersion, w.outcome, outcome)
	invariant.Check(outcome == NotApplied || o.Version > w.BaseVersion, "versions only rise",
		"%s over version %d led to version %d", w.Name, w.BaseVersion, o.Version)
	w.next = CallNone
	w.outcome = outcome
	w.object = o
}

// The retries of Update.
const (
	// minUpdatePause and maxUpdatePause bound the pauses between attempts.
	minUpdatePause = 20 * time.Millisecond
	maxUpdatePause = time.Second
	// maxUpdateAttempts bounds how often Update starts over after a conflict.
	maxUpdateAttempts = 8
)

// Mutate returns the new value of an object. The value must contain writeID. An error
// ends the update and is returned unchanged.
type Mutate func(base Object, writeID string) (value []byte, err error)

// Update reads the object, changes it by mutate and writes it, starting over after a
// conflict with another writer, until the outcome is certain or ctx ends. After Applied
// it returns the stored object. After NotApplied the error is the reason; after
// Superseded and OutcomeUnknown it is ErrUnknown.
//
// An update that was Superseded is not retried: it may have been applied, and a change
// that is not idempotent would be made twice. For objects whose value keeps the ids of
// recent writes, the outcome in that case is Applied.
func Update(ctx context.Context, store Store, name string, mutate Mutate) (Object, Outcome, error) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	pauses := pause.Backoff{Initial: minUpdatePause, Max: maxUpdatePause}
	for range maxUpdateAttempts {
		base, err := store.Get(ctx, name)
		if err != nil {
			return base, NotApplied, eris.Wrap(err, "read "+name)
		}
		id := NewWriteID()
		value, err := mutate(base, id)
		if err != nil {
			return base, NotApplied, err
		}
		w := NewWrite(name, base.Version, value, id)
		err = w.run(ctx, store, &pauses, random)
		if w.outcome != NotApplied || !errors.Is(err, ErrConflict) {
			return w.object, w.outcome, err
		}
		if !pause.Sleep(ctx, pauses.Next(random)) {
			break
		}
	}
	return Object{Name: name}, NotApplied, eris.Wrap(ErrConflict, "update "+name)
}

// run makes the calls of w until its outcome is certain or ctx ends.
func (w *Write) run(ctx context.Context, store Store, pauses *pause.Backoff, random *rand.Rand) error {
	var last error
	for w.NextCall() != CallNone {
		last = w.call(ctx, store)
		if last == nil || w.NextCall() == CallNone || errors.Is(last, ErrConflict) {
			continue
		}
		if !pause.Sleep(ctx, pauses.Next(random)) {
			return eris.Wrap(ErrUnknown, last.Error())
		}
	}
	switch w.outcome {
	case Applied:
		return nil
	case NotApplied:
		return last
	default:
		return eris.Wrap(ErrUnknown, "another write took its place")
	}
}

func (w *Write) call(ctx context.Context, store Store) error {
	if w.NextCall() == CallGet {
		o, err := store.Get(ctx, w.Name)
		w.GetDone(o, err)
		return err
	}
	version, err := store.Put(ctx, w.Name, w.BaseVersion, w.Value)
	w.PutDone(version, err)
	return err
}
