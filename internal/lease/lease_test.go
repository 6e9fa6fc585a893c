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

// world is a store and a clock that goes on by hand.
type world struct {
	back  *objectstore.Store
	store store.Store
	now   time.Duration
}

func newWorld() *world {
	w := &world{back: objectstore.New()}
	server := httptest.NewServer(w.back)
	DeferCleanup(server.CloseClientConnections)
	w.store = platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
	return w
}

func (w *world) lease(holder, incarnation string) *lease.Lease {
	return lease.New(w.store, lease.Config{
		Name: "orders", Holder: holder, Incarnation: incarnation, Valid: valid, Gap: gap,
		Clock: func() time.Duration { return w.now },
	})
}

var _ = Describe("Lease", func() {
	var (
		w   *world
		ctx = context.Background()
	)
	BeforeEach(func() { w = newWorld() })

	It("goes to the first, who may renew it, with a growing fence", func() {
		a := w.lease("a", "1")
		first, err := a.Acquire(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Remaining()).To(Equal(valid))
		w.now += time.Second
		second, err := a.Acquire(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Fence).To(BeNumerically(">", first.Fence))
		Expect(first.Remaining()).To(Equal(valid - time.Second))
	})

	// The holder is suspended, or cut off, in the middle of its orders. The next
	// holder must not begin before whatever the first one sent has arrived, or
	// an engine gets orders of both.
	It("goes to another only long after the holder's grant has ended", func() {
		a, b := w.lease("a", "1"), w.lease("b", "1")
		grant, err := a.Acquire(ctx)
		Expect(err).NotTo(HaveOccurred())
		for w.now < valid+gap {
			_, err := b.Acquire(ctx)
			Expect(err).To(MatchError(lease.ErrHeld))
			w.now += 500 * time.Millisecond
		}
		Expect(grant.Remaining()).To(BeNumerically("<=", -gap))
		next, err := b.Acquire(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(next.Fence).To(BeNumerically(">", grant.Fence))
		_, err = a.Acquire(ctx)
		Expect(err).To(MatchError(lease.ErrHeld))
	})

	// A VM's process is killed after an order and starts again. It does not know
	// what it sent, so it waits like any other.
	It("is not the holder's own after a restart", func() {
		_, err := w.lease("a", "1").Acquire(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = w.lease("a", "2").Acquire(ctx)
		Expect(err).To(MatchError(lease.ErrHeld))
	})

	// The write that takes the lease is done, and its answer is lost. Nobody
	// would hold the lease until it ran out, though the store names a holder.
	It("is known to be held when only the answer was lost", func() {
		w.back.SetFaults(objectstore.Faults{LoseReplies: true})
		grant, err := w.lease("a", "1").Acquire(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(grant.Remaining()).To(Equal(valid))
	})

	It("is not granted while the store refuses", func() {
		w.back.SetFaults(objectstore.Faults{Refuse: true})
		_, err := w.lease("a", "1").Acquire(ctx)
		Expect(err).To(MatchError(store.ErrRefused))
	})

	// Several gateways ask at random moments, some are restarted. At no moment
	// may the gap between the grants of two of them be less than asked for.
	It("never has two holders within the gap, in random runs", func() {
		random := rand.New(rand.NewPCG(7, 7))
		leases := map[string]*lease.Lease{}
		for i := range 4 {
			leases[strconv.Itoa(i)] = w.lease(strconv.Itoa(i), "0")
		}
		last, lastEnd, fence, grants := "", time.Duration(0), int64(0), 0
		for step := range 1_500 {
			w.now += time.Duration(random.IntN(900)) * time.Millisecond
			name := strconv.Itoa(random.IntN(4))
			if random.IntN(40) == 0 {
				leases[name] = w.lease(name, strconv.Itoa(step))
				if name == last {
					last = ""
				}
			}
			g, err := leases[name].Acquire(ctx)
			if errors.Is(err, lease.ErrHeld) {
				continue
			}
			Expect(err).NotTo(HaveOccurred())
			grants++
			Expect(g.Fence).To(BeNumerically(">", fence))
			if name != last && grants > 1 {
				Expect(w.now - lastEnd).To(BeNumerically(">=", gap))
			}
			last, lastEnd, fence = name, w.now+valid, g.Fence
		}
		Expect(grants).To(BeNumerically(">", 20))
	})
})
