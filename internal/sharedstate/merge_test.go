package sharedstate_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/internal/store"
)

// slowStore delays and counts the calls. It implements only the methods that these tests
// use.
type slowStore struct {
	store.Store
	calls    atomic.Int32
	slowGets time.Duration
}

func (s *slowStore) answer() (store.Object, error) {
	s.calls.Add(1)
	time.Sleep(100 * time.Millisecond)
	return store.Object{Name: "a", Revision: 7, Spec: []byte(`"x"`)}, nil
}

func (s *slowStore) Get(context.Context, string, string) (store.Object, error) {
	o, err := s.answer()
	time.Sleep(s.slowGets)
	return o, err
}

func (s *slowStore) Update(context.Context, string, string, int64, any) (store.Object, error) {
	return s.answer()
}

// Guards against a process that exceeds its share of the call rate when it starts, and
// then cannot read anything for a while: many of its duties read the same object.
func TestEqualReadsShareOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		back := &slowStore{}
		client := sharedstate.NewClient(sharedstate.ClientConfig{Store: back})
		var readers sync.WaitGroup
		for range 5 {
			readers.Go(func() {
				o, err := client.Get(t.Context(), "a")
				if err != nil || o.Version != 7 {
					t.Errorf("got %v, %v", o, err)
				}
			})
		}
		readers.Wait()
		if calls := back.calls.Load(); calls != 1 {
			t.Errorf("%d calls for five equal reads", calls)
		}
	})
}

// Guards against a writer whose reply was lost and that looks for its write in an older
// value: a read that starts after the write must not share the call of an earlier one.
func TestReadAfterWriteIsItsOwnCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		back := &slowStore{slowGets: time.Second / 2}
		client := sharedstate.NewClient(sharedstate.ClientConfig{Store: back})
		var readers sync.WaitGroup
		readers.Go(func() { _, _ = client.Get(t.Context(), "a") })
		synctest.Wait()
		if _, err := client.Put(t.Context(), "a", 6, []byte(`"x"`)); err != nil {
			t.Error(err)
		}
		readers.Go(func() { _, _ = client.Get(t.Context(), "a") })
		readers.Wait()
		if calls := back.calls.Load(); calls != 3 {
			t.Errorf("%d calls for a read, a write and a read", calls)
		}
	})
}
