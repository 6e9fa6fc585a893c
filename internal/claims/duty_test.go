package claims_test

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/claims"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

// memoryStore answers after a millisecond, or not until slow is over.
type memoryStore struct {
	mu      sync.Mutex
	objects map[string]sharedstate.Object
	slow    time.Duration
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: map[string]sharedstate.Object{}, slow: time.Millisecond}
}

func (s *memoryStore) delay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = d
}

func (s *memoryStore) wait() {
	s.mu.Lock()
	d := s.slow
	s.mu.Unlock()
	time.Sleep(d)
}

func (s *memoryStore) Get(_ context.Context, name string) (sharedstate.Object, error) {
	s.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[name], nil
}

func (s *memoryStore) Put(_ context.Context, name string, version uint64, value []byte) (uint64, error) {
	s.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[name].Version != version {
		return 0, sharedstate.ErrConflict
	}
	s.objects[name] = sharedstate.Object{Name: name, Version: version + 1, Value: value}
	return version + 1, nil
}

func (s *memoryStore) Watch(context.Context, string, uint64) (sharedstate.Object, error) {
	return sharedstate.Object{}, sharedstate.ErrUnavailable
}

func startDuty(ctx context.Context, store sharedstate.Store, owner string) *claims.Duty {
	d := claims.NewDuty(claims.Config{Service: "holds", Owner: owner, Incarnation: owner + "1"}, store)
	go func() { _ = d.Serve(ctx) }()
	return d
}

func request(key, id string) claims.Request {
	return claims.Request{Service: "holds", Key: key, BodyDigest: 1, RequestID: id}
}

func inBubble(t *testing.T, test func(ctx context.Context, g Gomega)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		test(ctx, NewWithT(t))
	})
}

func TestDutyMovesSlotsByRelease(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega) {
		store := newMemoryStore()
		a, b := startDuty(ctx, store, "a"), startDuty(ctx, store, "b")
		a.SetPlan(1, []string{"a", "a", "b"})
		b.SetPlan(1, []string{"a", "a", "b"})
		time.Sleep(time.Second)
		g.Expect(a.Owned()).To(Equal([]uint32{0, 1}))
		g.Expect(b.Owned()).To(Equal([]uint32{2}))
		g.Expect(a.Status(ctx).Slots).To(HaveLen(2))

		key := keyOf(0, 3)
		g.Expect(a.Claim(ctx, request(key, "r1")).Kind).To(Equal(claims.Granted))
		a.SetPlan(2, []string{"b", "b", "b"})
		b.SetPlan(2, []string{"b", "b", "b"})
		time.Sleep(time.Second)
		g.Expect(a.Owned()).To(Equal([]uint32{0}), "its call still runs")
		a.Finished(request(key, "r1"), claims.NewResult(201, nil, []byte("held")))
		g.Expect(a.Release(ctx)).To(Succeed())
		time.Sleep(5 * time.Second)
		g.Expect(b.Owned()).To(Equal([]uint32{0, 1, 2}))
		again := b.Claim(ctx, request(key, "r2"))
		g.Expect(again.Kind).To(Equal(claims.Replay))
		g.Expect(string(again.Result.Body)).To(Equal("held"))
	})
}

// keyOf returns a key of the slot.
func keyOf(slot, slots int) string {
	key := "k"
	for claims.SlotOf(key, slots) != slot {
		key += "k"
	}
	return key
}

// The store is slow and the caller's time runs out while its claim is on its
// way. The caller is told "not run" and asks again: its first request must not
// start in the meantime, and the second one must not be refused for ever.
func TestClaimGivesUpWithItsContext(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega) {
		store := newMemoryStore()
		a := startDuty(ctx, store, "a")
		a.SetPlan(1, []string{"a"})
		time.Sleep(time.Second)
		store.delay(2 * time.Second)
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		g.Expect(a.Claim(short, request("k", "r1")).Kind).To(Equal(claims.Unavailable))
		store.delay(time.Millisecond)
		time.Sleep(3 * time.Second)
		g.Expect(a.Claim(ctx, request("k", "r2")).Kind).To(Equal(claims.Granted))
	})
}

func TestClaimEndsWithItsDuty(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega) {
		serving, stop := context.WithCancel(ctx)
		a := startDuty(serving, newMemoryStore(), "a")
		stop()
		synctest.Wait()
		g.Expect(a.Claim(ctx, request("k", "r1")).Kind).To(Equal(claims.Unavailable))
		g.Expect(a.Release(ctx)).NotTo(Succeed())
	})
}

func TestReleaseWithoutSlotsReturns(t *testing.T) {
	inBubble(t, func(ctx context.Context, g Gomega) {
		a := startDuty(ctx, newMemoryStore(), "a")
		g.Expect(a.Release(ctx)).To(Succeed())
	})
}

// BenchmarkClaim measures a claim and its result through a Duty, over a store
// that answers in a millisecond.
func BenchmarkClaim(b *testing.B) {
	d := startDuty(b.Context(), newMemoryStore(), "a")
	d.SetPlan(1, slices.Repeat([]string{"a"}, 16))
	for len(d.Owned()) < 16 {
		time.Sleep(time.Millisecond)
	}
	var serial atomic.Int64
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := strconv.FormatInt(serial.Add(1), 10)
			r := request("0192d2c1-7d5c-7e60-a5a0-"+id, id)
			if a := d.Claim(b.Context(), r); a.Kind != claims.Granted {
				b.Errorf("%s: %s", a.Kind, a.Reason)
				return
			}
			d.Finished(r, claims.NewResult(201, nil, []byte("held")))
		}
	})
}
