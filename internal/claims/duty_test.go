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

// memoryStore is an in-memory store whose calls take latency.
type memoryStore struct {
	mu      sync.Mutex
	objects map[string]sharedstate.Object
	latency time.Duration
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: map[string]sharedstate.Object{}, latency: time.Millisecond}
}

func (s *memoryStore) setLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

func (s *memoryStore) sleep() {
	s.mu.Lock()
	d := s.latency
	s.mu.Unlock()
	time.Sleep(d)
}

func (s *memoryStore) Get(_ context.Context, name string) (sharedstate.Object, error) {
	s.sleep()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[name], nil
}

func (s *memoryStore) Put(_ context.Context, name string, version uint64, value []byte) (uint64, error) {
	s.sleep()
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

func withFakeClock(t *testing.T, test func(ctx context.Context, g Gomega)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		test(ctx, NewWithT(t))
	})
}

func TestDutyMovesSlotsByRelease(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, g Gomega) {
		store := newMemoryStore()
		a, b := startDuty(ctx, store, "a"), startDuty(ctx, store, "b")
		a.SetPlan(1, []string{"a", "a", "b"})
		b.SetPlan(1, []string{"a", "a", "b"})
		time.Sleep(time.Second)
		g.Expect(a.Owned()).To(Equal([]uint32{0, 1}))
		g.Expect(b.Owned()).To(Equal([]uint32{2}))
		g.Expect(a.Status(ctx).Slots).To(HaveLen(2))

		key := keyInSlot(0, 3)
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

// keyInSlot returns a key that is hashed to the slot.
func keyInSlot(slot, slots int) string {
	key := "k"
	for claims.SlotOf(key, slots) != slot {
		key += "k"
	}
	return key
}

// Guards against a claim that outlives its request: the store is slow and the
// context ends while the claim is being written. The caller gets "not run" and
// retries; the first request must not start, and the retry must be granted.
func TestClaimGivesUpWithItsContext(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, g Gomega) {
		store := newMemoryStore()
		a := startDuty(ctx, store, "a")
		a.SetPlan(1, []string{"a"})
		time.Sleep(time.Second)
		store.setLatency(2 * time.Second)
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		g.Expect(a.Claim(short, request("k", "r1")).Kind).To(Equal(claims.Unavailable))
		store.setLatency(time.Millisecond)
		time.Sleep(3 * time.Second)
		g.Expect(a.Claim(ctx, request("k", "r2")).Kind).To(Equal(claims.Granted))
	})
}

func TestClaimEndsWithItsDuty(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, g Gomega) {
		serving, stop := context.WithCancel(ctx)
		a := startDuty(serving, newMemoryStore(), "a")
		stop()
		synctest.Wait()
		g.Expect(a.Claim(ctx, request("k", "r1")).Kind).To(Equal(claims.Unavailable))
		g.Expect(a.Release(ctx)).NotTo(Succeed())
	})
}

func TestReleaseWithoutSlotsReturns(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, g Gomega) {
		a := startDuty(ctx, newMemoryStore(), "a")
		g.Expect(a.Release(ctx)).To(Succeed())
	})
}

// BenchmarkClaim measures a claim and its result through a Duty, with a store
// latency of one millisecond.
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
