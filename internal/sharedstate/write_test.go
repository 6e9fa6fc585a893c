package sharedstate_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// fate is the result of one call of the fake store.
type fate uint8

const (
	fine fate = iota
	// replyLost updates take effect immediately, late ones when applyDelayed is
	// called. Both return ErrUnknown.
	replyLost
	late
	rejected
)

// fakeStore holds one object. It is not safe for concurrent use.
type fakeStore struct {
	object  sharedstate.Object
	fates   func() fate
	delayed []sharedstate.Object
	applied []string
}

func (s *fakeStore) Get(context.Context, string) (sharedstate.Object, error) {
	if s.fates() == rejected {
		return sharedstate.Object{}, sharedstate.ErrUnavailable
	}
	return s.object, nil
}

func (s *fakeStore) Put(_ context.Context, name string, version uint64, value []byte) (uint64, error) {
	update := sharedstate.Object{Name: name, Version: version, Value: value}
	switch s.fates() {
	case rejected:
		return 0, eris.Wrap(sharedstate.ErrNotSent, "outage")
	case late:
		s.delayed = append(s.delayed, update)
		return 0, eris.Wrap(sharedstate.ErrUnknown, "reply lost")
	case replyLost:
		s.apply(update)
		return 0, eris.Wrap(sharedstate.ErrUnknown, "reply lost")
	default:
		return s.apply(update)
	}
}

func (s *fakeStore) Watch(context.Context, string, uint64) (sharedstate.Object, error) {
	return sharedstate.Object{}, sharedstate.ErrUnavailable
}

func (s *fakeStore) apply(update sharedstate.Object) (uint64, error) {
	if update.Version != s.object.Version {
		return 0, sharedstate.ErrConflict
	}
	s.object = update
	s.object.Version++
	s.applied = append(s.applied, string(update.Value))
	return s.object.Version, nil
}

// applyDelayed makes the n-th delayed update take effect, if its version still matches.
func (s *fakeStore) applyDelayed(n int) {
	update := s.delayed[n]
	s.delayed = append(s.delayed[:n], s.delayed[n+1:]...)
	_, _ = s.apply(update)
}

func inOrder(fates ...fate) func() fate {
	return func() fate {
		if len(fates) == 0 {
			return fine
		}
		next := fates[0]
		fates = fates[1:]
		return next
	}
}

func appendID(base sharedstate.Object, id string) ([]byte, error) {
	return []byte(string(base.Value) + " " + id), nil
}

var _ = Describe("Update", func() {
	ctx := context.Background()

	// Guards against making the same change twice: the store applies the update, its reply
	// is lost, and the writer starts over.
	It("finds its own update after a lost reply", func() {
		store := &fakeStore{fates: inOrder(fine, replyLost)}
		o, outcome, err := sharedstate.Update(ctx, store, "a", appendID)
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome).To(Equal(sharedstate.Applied))
		Expect(o.Version).To(Equal(uint64(1)))
		Expect(store.applied).To(HaveLen(1))
	})

	// Guards against a change that takes effect after its operator was told that it failed:
	// the reply is lost, and the update is still in flight when the writer reads the object.
	It("leaves no update in flight that can still take effect", func() {
		store := &fakeStore{fates: inOrder(fine, late)}
		o, outcome, err := sharedstate.Update(ctx, store, "a", appendID)
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome).To(Equal(sharedstate.Applied))
		store.applyDelayed(0)
		Expect(store.object).To(Equal(o))
	})

	// Guards against a false failure: the delayed update takes effect just after the writer
	// has looked for it, so that its second update conflicts with its own first one.
	It("does not mistake a conflict with its own late update for a failure", func() {
		store := &fakeStore{}
		w := sharedstate.NewWrite("a", 0, []byte("<1>"), "<1>")
		store.fates = inOrder(late)
		call(store, w)
		call(store, w)
		store.applyDelayed(0)
		call(store, w)
		call(store, w)
		Expect(w.NextCall()).To(Equal(sharedstate.CallNone))
		Expect(w.Outcome()).To(Equal(sharedstate.Applied))
	})

	It("reports that another writer's update replaced the object", func() {
		store := &fakeStore{}
		store.fates = func() fate {
			if len(store.delayed) > 0 {
				store.object = sharedstate.Object{Version: 9, Value: []byte("other")}
				return fine
			}
			return late
		}
		_, outcome, err := sharedstate.Update(ctx, store, "a", appendID)
		Expect(outcome).To(Equal(sharedstate.Superseded))
		Expect(errors.Is(err, sharedstate.ErrUnknown)).To(BeTrue())
	})

	It("reports an outage as not applied", func() {
		store := &fakeStore{fates: inOrder(fine, rejected)}
		_, outcome, err := sharedstate.Update(ctx, store, "a", appendID)
		Expect(outcome).To(Equal(sharedstate.NotApplied))
		Expect(errors.Is(err, sharedstate.ErrNotSent)).To(BeTrue())
	})

	It("reports an unknown outcome when its context is cancelled", func() {
		cancelled, cancel := context.WithCancel(ctx)
		store := &fakeStore{}
		store.fates = func() fate {
			if len(store.delayed) > 0 {
				cancel()
				return rejected
			}
			return late
		}
		store.fates = inOrderThen(store.fates, fine)
		_, outcome, err := sharedstate.Update(cancelled, store, "a", appendID)
		Expect(outcome).To(Equal(sharedstate.OutcomeUnknown))
		Expect(errors.Is(err, sharedstate.ErrUnknown)).To(BeTrue())
	})
})

// inOrderThen returns the first fates and then those of rest.
func inOrderThen(rest func() fate, first ...fate) func() fate {
	return func() fate {
		if len(first) > 0 {
			next := first[0]
			first = first[1:]
			return next
		}
		return rest()
	}
}

// Guards against a Write that concludes too early: writers race for one object while
// replies are lost and updates take effect late, in any order. An update must be in the
// object's value if and only if it was reported as applied.
func TestWriteOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &fakeStore{fates: func() fate {
			return rapid.SampledFrom([]fate{fine, late, replyLost, late, rejected}).Draw(t, "fate")
		}}
		writers := make([]*sharedstate.Write, 2)
		concluded := map[string]sharedstate.Outcome{}
		next := 0
		step := func(n int) {
			w := writers[n]
			if w == nil || w.NextCall() == sharedstate.CallNone {
				next++
				id := fmt.Sprintf("<%d>", next)
				value := []byte(string(store.object.Value) + id)
				writers[n] = sharedstate.NewWrite("a", store.object.Version, value, id)
				return
			}
			call(store, w)
			if w.NextCall() == sharedstate.CallNone {
				concluded[w.ID] = w.Outcome()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) { step(rapid.IntRange(0, 1).Draw(t, "writer")) },
			"land": func(t *rapid.T) {
				if len(store.delayed) > 0 {
					store.applyDelayed(rapid.IntRange(0, len(store.delayed)-1).Draw(t, "late"))
				}
			},
		})
		for len(store.delayed) > 0 {
			store.applyDelayed(0)
		}
		final := string(store.object.Value)
		for id, outcome := range concluded {
			// Each value extends the one before, so that all applied ids are in the last.
			applied := strings.Contains(final, id)
			if applied != (outcome == sharedstate.Applied) {
				t.Fatalf("%s was reported %s, applied: %v", id, outcome, applied)
			}
		}
	})
}

func call(store *fakeStore, w *sharedstate.Write) {
	if w.NextCall() == sharedstate.CallGet {
		w.GetDone(store.Get(context.Background(), w.Name))
		return
	}
	w.PutDone(store.Put(context.Background(), w.Name, w.BaseVersion, w.Value))
}
