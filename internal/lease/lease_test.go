package lease_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/lease"
	"pistachioroad.dev/pistachioroad/internal/store"
	"pistachioroad.dev/pistachioroad/platform"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
)

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

const (
	valid = 4 * time.Second
	gap   = 4200 * time.Millisecond
)

// testStore is a store with a manually advanced clock.
type testStore struct {
	objects *objectstore.Store
	store   store.Store
	now     time.Duration
}

func newTestStore() *testStore {
	s := &testStore{objects: objectstore.New()}
	server := httptest.NewServer(s.objects)
	DeferCleanup(server.CloseClientConnections)
	s.store = platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
	return s
}

func (s *testStore) lease(holder, incarnation string) *lease.Lease {
	return lease.New(s.store, lease.Config{
		Name: "orders", Holder: holder, Incarnation: incarnation, Valid: valid, Gap: gap,
		Clock: func() time.Duration { return s.now },
	})
}

var _ = Describe("Lease", func() {
	var (
		s   *testStore
		ctx = context.Background()
	)
	BeforeEach(func() { s = newTestStore() })

	It("is granted to the first process, which can renew it, with an increasing fence", func() {
		a := s.lease("a", "1")
		first, err := a.Acquire(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Remaining()).To(Equal(valid))
		s.now += time.Second
		second, err := a.Acquire(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Fence).To(BeNumerically(">", first.Fence))
		Expect(first.Remaining()).To(Equal(valid - time.Second))
	})

	// Guards against an engine getting orders from two holders: the holder is
	// suspended or disconnected while it sends orders, and the next holder begins
	// before all of them have arrived.
	It("is granted to another process only after the grant and the gap have elapsed", func() {
		a, b := s.lease("a", "1"), s.lease("b", "1")
		grant, err := a.Acquire(ctx)
		Expect(err).NotTo(HaveOccurred())
		for s.now < valid+gap {
			_, err := b.Acquire(ctx)
			Expect(err).To(MatchError(lease.ErrHeld))
			s.now += 500 * time.Millisecond
		}
		Expect(grant.Remaining()).To(BeNumerically("<=", -gap))
		next, err := b.Acquire(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(next.Fence).To(BeNumerically(">", grant.Fence))
		_, err = a.Acquire(ctx)
		Expect(err).To(MatchError(lease.ErrHeld))
	})

	// A process that is killed after an order and restarted does not know what it
	// sent, so it must wait like any other process.
	It("cannot be renewed by its holder after a restart", func() {
		_, err := s.lease("a", "1").Acquire(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = s.lease("a", "2").Acquire(ctx)
		Expect(err).To(MatchError(lease.ErrHeld))
	})

	// Guards against a lease that no process acts on until it expires: the write
	// that acquires it takes effect, but its reply is lost.
	It("is granted when only the reply was lost", func() {
		s.objects.SetFaults(objectstore.Faults{LoseReplies: true})
		grant, err := s.lease("a", "1").Acquire(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(grant.Remaining()).To(Equal(valid))
	})

	It("is not granted while the store rejects requests", func() {
		s.objects.SetFaults(objectstore.Faults{Unavailable: true})
		_, err := s.lease("a", "1").Acquire(ctx)
		Expect(err).To(MatchError(store.ErrRejected))
	})

	// Guards against orders of two holders: the store has come back from a copy that lacks the
	// lease, while its holder still acts.
	It("is not granted to another process while a grant that the store has lost may be valid", func() {
		s.objects.NameEra(1)
		a, b := s.lease("a", "1"), s.lease("b", "1")
		_, err := a.Acquire(ctx)
		Expect(err).To(MatchError(lease.ErrHeld), "a process that starts may have missed a grant")
		s.now += valid + gap
		before := s.objects.Copy()
		grant, err := a.Acquire(ctx)
		Expect(err).NotTo(HaveOccurred())
		s.now += time.Second
		s.objects.Restore(before)
		_, err = b.Acquire(ctx)
		Expect(err).To(MatchError(lease.ErrHeld))
		again, err := a.Acquire(ctx)
		Expect(err).NotTo(HaveOccurred(), "the holder writes its grant again")
		Expect(again.Fence).To(BeNumerically(">", grant.Fence))
		for s.now += 500 * time.Millisecond; s.now < valid+gap+time.Second+valid+gap; s.now += 500 * time.Millisecond {
			_, err := b.Acquire(ctx)
			Expect(err).To(MatchError(lease.ErrHeld))
		}
		s.now += time.Second
		next, err := b.Acquire(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(next.Fence).To(BeNumerically(">", again.Fence))
	})

	// Guards against orders of two holders: a write of an earlier era takes effect late, at a
	// revision that was given out again, and replaces the grant of another process.
	It("is not granted at once to a process whose late write has replaced another grant", func() {
		s.objects.NameEra(1)
		late, holder := s.lease("late", "1"), s.lease("holder", "1")
		_, err := late.Acquire(ctx)
		Expect(err).To(MatchError(lease.ErrHeld))
		s.now += valid + gap
		_, err = late.Acquire(ctx)
		Expect(err).NotTo(HaveOccurred())
		written, ok := s.objects.Get(lease.Kind, "orders")
		Expect(ok).To(BeTrue())
		s.now += valid
		s.objects.Restore(s.objects.Copy())
		_, err = late.Acquire(ctx)
		Expect(err).To(MatchError(lease.ErrHeld))
		_, err = holder.Acquire(ctx)
		Expect(err).To(MatchError(lease.ErrHeld))
		s.now += valid + gap
		_, err = holder.Acquire(ctx)
		Expect(err).NotTo(HaveOccurred())
		s.objects.PutRaw(lease.Kind, "orders", written.Spec)
		s.now += time.Second
		_, err = late.Acquire(ctx)
		Expect(err).To(MatchError(lease.ErrHeld))
	})

	It("fits into a JSON number with its fence in the last era", func() {
		position := store.Position{Era: store.MaxEra, Revision: 1<<32 - 1}
		Expect(position.Token()).To(BeNumerically("<", int64(1)<<53))
		Expect(position.Token()).To(BeNumerically(">", store.Position{Era: store.MaxEra - 1, Revision: 1<<32 - 1}.Token()))
	})

	// Several gateways acquire the lease at random times, and some are restarted.
	// The gap between the grants of two of them must never be less than
	// configured, also if the store comes back from copies.
	DescribeTable("never has two holders within the gap, in random runs", func(restores bool) {
		random := rand.New(rand.NewPCG(7, 7))
		leases := map[string]*lease.Lease{}
		for i := range 4 {
			leases[strconv.Itoa(i)] = s.lease(strconv.Itoa(i), "0")
		}
		if restores {
			s.objects.NameEra(1)
		}
		copied := s.objects.Copy()
		last, lastEnd, fence, grants := "", time.Duration(0), int64(0), 0
		for step := range 1_500 {
			s.now += time.Duration(random.IntN(900)) * time.Millisecond
			name := strconv.Itoa(random.IntN(4))
			if random.IntN(40) == 0 {
				leases[name] = s.lease(name, strconv.Itoa(step))
				if name == last {
					last = ""
				}
			}
			if restores && random.IntN(15) == 0 {
				copied = s.objects.Copy()
			}
			if restores && random.IntN(60) == 0 {
				s.objects.Restore(copied)
			}
			g, err := leases[name].Acquire(ctx)
			if errors.Is(err, lease.ErrHeld) {
				continue
			}
			Expect(err).NotTo(HaveOccurred())
			grants++
			Expect(g.Fence).To(BeNumerically(">", fence))
			if name != last && grants > 1 {
				Expect(s.now - lastEnd).To(BeNumerically(">=", gap))
			}
			last, lastEnd, fence = name, s.now+valid, g.Fence
		}
		Expect(grants).To(BeNumerically(">", 20))
	},
		Entry("of a store that loses nothing", false),
		Entry("of a store that comes back from copies", true),
	)
})
