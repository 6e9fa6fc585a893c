package reconcile_test

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/roles"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/lease"
	"pistachioroad.dev/pistachioroad/internal/reconcile"
	"pistachioroad.dev/pistachioroad/internal/routes"
	"pistachioroad.dev/pistachioroad/internal/store"
)

func TestReconcile(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reconcile")
}

// testFleet is a fleet of engines and a store with their registrations.
type testFleet struct {
	engines   map[string]*engine
	ids       []string
	view      *directory.View
	leaseHeld bool
	inFlight  int
	// placedRequests is the result of Config.PlacedRequests.
	placedRequests int64
	missRate       float64
	missRateKnown  bool
	// limited are the engines that accept only few requests.
	limited map[string]bool
	now     time.Time
}

type engine struct {
	state  backend.EngineState
	orders []backend.Order
	// loseAnswer drops the reply to the next order. executeLate holds the next order
	// back as pending, for the test to execute.
	loseAnswer, executeLate bool
	pending                 *backend.Order
}

var errLost = errors.New("no answer")

func newTestFleet(prefill, decode int) *testFleet {
	f := &testFleet{engines: map[string]*engine{}, now: time.Unix(1_000_000_000, 0)}
	for i := range prefill + decode {
		id := "e" + strconv.Itoa(i)
		e := &engine{state: backend.EngineState{Role: backend.Prefill}}
		if i >= prefill {
			e.state.Role = backend.Decode
		}
		f.engines[id] = e
		f.ids = append(f.ids, id)
	}
	f.publishRoles()
	return f
}

// publishRoles updates the view to the current roles of the engines.
func (f *testFleet) publishRoles() { f.view = f.readView() }

func (f *testFleet) State(_ context.Context, s backend.Server) (backend.EngineState, error) {
	return f.engines[s.ID].state, nil
}

func (f *testFleet) Order(_ context.Context, s backend.Server, o backend.Order) (backend.OrderResult, error) {
	e := f.engines[s.ID]
	if e.executeLate {
		e.executeLate = false
		e.pending = &o
		return backend.OrderUnknown, errLost
	}
	result := e.execute(o)
	if e.loseAnswer {
		e.loseAnswer = false
		return backend.OrderUnknown, errLost
	}
	return result, nil
}

func (e *engine) execute(o backend.Order) backend.OrderResult {
	if o.Expect != e.state.Orders {
		return backend.OrderRejected
	}
	e.state.Orders++
	e.state.Role = o.Role
	e.orders = append(e.orders, o)
	return backend.OrderAccepted
}

func (f *testFleet) Acquire(context.Context) (lease.Grant, error) {
	if f.leaseHeld {
		return lease.Grant{}, lease.ErrHeld
	}
	return lease.New(&emptyStore{}, lease.Config{Valid: time.Minute, Clock: func() time.Duration { return 0 }}).Acquire(context.Background())
}

func (f *testFleet) reconciler(rank int) *reconcile.Reconciler {
	return reconcile.New(reconcile.Config{
		Holder: "f-1", View: func() *directory.View { return f.view }, Rank: func() int { return rank },
		InFlight: func(string, string) int { return f.inFlight }, Engines: f, Lease: f,
		Speed:              func(string, string) roles.Speed { return roles.Speed{} },
		Limited:            func(server string) bool { return f.limited[server] },
		RoleChangeStarting: func(string, string, time.Duration) {},
		ExpectedMissRate:   func(string) (float64, bool) { return f.missRate, f.missRateKnown },
		PlacedRequests:     func(string) int64 { return f.placedRequests },
	})
}

// advance runs r for d, in steps of half a second.
func (f *testFleet) advance(r *reconcile.Reconciler, d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(500 * time.Millisecond) {
		r.Step(context.Background(), f.now)
	}
}

func (f *testFleet) orderCount() int {
	n := 0
	for _, e := range f.engines {
		n += len(e.orders)
	}
	return n
}

func (f *testFleet) decodeEngines() int {
	n := 0
	for _, e := range f.engines {
		if e.state.Role == backend.Decode {
			n++
		}
	}
	return n
}

var _ = Describe("Reconciler", func() {
	It("changes idle engines to their roles concurrently, and leaves them there", func() {
		f := newTestFleet(5, 7)
		r := f.reconciler(0)
		f.advance(r, 5*time.Second)
		Expect(f.decodeEngines()).To(Equal(5))
		f.publishRoles()
		f.advance(r, time.Minute)
		Expect(f.orderCount()).To(Equal(2))
	})

	// Guards against useless role changes: of three hundred engines, many start in
	// the wrong roles, but there are few requests. Each order makes an engine
	// unavailable for seconds without making any answer faster.
	It("does not change the roles of a large unused fleet until it is used", func() {
		f := newTestFleet(120, 180)
		r := f.reconciler(0)
		for range 30 {
			f.advance(r, 15*time.Second)
			f.publishRoles()
		}
		Expect(f.orderCount()).To(BeNumerically("<=", 16))
		f.placedRequests = 100_000
		for range 30 {
			f.advance(r, 15*time.Second)
			f.publishRoles()
		}
		Expect(f.decodeEngines()).To(Equal(120))
	})

	It("changes busy engines one at a time", func() {
		f := newTestFleet(5, 7)
		f.inFlight = 1
		r := f.reconciler(0)
		f.advance(r, 5*time.Second)
		Expect(f.orderCount()).To(Equal(1))
		f.publishRoles()
		f.advance(r, 20*time.Second)
		Expect(f.orderCount()).To(Equal(2))
	})

	// Guards against a role being short of engines for a long time after its engines
	// were replaced, because several changes are made one after another.
	It("changes busy engines concurrently while a role has at most half of its engines", func() {
		f := newTestFleet(1, 7)
		f.inFlight = 1
		r := f.reconciler(0)
		f.advance(r, 5*time.Second)
		Expect(f.orderCount()).To(Equal(2))
		f.advance(r, 4*time.Second)
		Expect(f.orderCount()).To(Equal(2))
	})

	// Guards against counting engines that accept almost no requests towards a role,
	// which leaves all the work of the role to its other engines.
	It("does not count engines that announce a limit, and restores the share afterwards", func() {
		f := newTestFleet(7, 5)
		r := f.reconciler(0)
		f.limited = map[string]bool{"e8": true, "e9": true, "e10": true}
		for range 5 {
			f.advance(r, 15*time.Second)
			f.publishRoles()
		}
		Expect(f.decodeEngines()).To(Equal(7))
		for id := range f.limited {
			Expect(f.engines[id].orders).To(BeEmpty())
		}
		f.limited = nil
		for range 5 {
			f.advance(r, 15*time.Second)
			f.publishRoles()
		}
		Expect(f.decodeEngines()).To(Equal(5))
	})

	It("sends no order while another process holds the lease", func() {
		f := newTestFleet(5, 7)
		f.leaseHeld = true
		f.advance(f.reconciler(0), time.Minute)
		Expect(f.orderCount()).To(BeZero())
	})

	It("delays gateways of higher rank", func() {
		f := newTestFleet(5, 7)
		f.advance(f.reconciler(2), 15*time.Second)
		Expect(f.orderCount()).To(BeZero())
		f.advance(f.reconciler(2), 30*time.Second)
		Expect(f.orderCount()).To(Equal(2))
	})

	// Guards against an engine being unavailable twice: it carries out an order
	// whose reply is lost, and the order is repeated without reading its state.
	It("does not repeat an order whose reply was lost", func() {
		f := newTestFleet(5, 7)
		for _, e := range f.engines {
			e.loseAnswer = true
		}
		f.advance(f.reconciler(0), time.Minute)
		Expect(f.orderCount()).To(Equal(2))
		Expect(f.decodeEngines()).To(Equal(5))
	})

	// Guards against an engine returning to an old role: it receives an order ten
	// seconds late, after a newer one was accepted.
	It("makes a late order ineffective after a newer one", func() {
		f := newTestFleet(5, 7)
		for _, e := range f.engines {
			e.executeLate = true
		}
		f.advance(f.reconciler(0), time.Minute)
		Expect(f.decodeEngines()).To(Equal(5))
		for _, e := range f.engines {
			if e.pending == nil {
				continue
			}
			before := e.state
			if e.execute(*e.pending) == backend.OrderRejected {
				Expect(e.state).To(Equal(before))
			}
			Expect(len(e.orders)).To(BeNumerically("<=", 1))
		}
	})
})

var _ = Describe("a fleet whose longest answers are cut off by their deadlines", func() {
	It("gets one more decode engine, and keeps it when the burst is over", func() {
		f := newTestFleet(6, 4)
		r := f.reconciler(0)
		decodeCount := func() int {
			return lo.CountBy(f.ids, func(id string) bool { return f.engines[id].state.Role == backend.Decode })
		}
		f.missRate, f.missRateKnown = 0.15, true
		f.advance(r, 10*time.Second)
		Expect(decodeCount()).To(Equal(4))
		f.missRate = 0.4
		f.advance(r, 10*time.Second)
		Expect(decodeCount()).To(Equal(5))
		f.publishRoles()
		f.missRate = 0.15
		f.advance(r, time.Minute)
		Expect(decodeCount()).To(Equal(5))
	})
})

// emptyStore is a store without a lease, in which each Create succeeds.
type emptyStore struct {
	store.Store
	revision int64
}

func (a *emptyStore) Get(context.Context, string, string) (store.Object, error) {
	return store.Object{}, store.ErrNotFound
}

func (a *emptyStore) Create(_ context.Context, _, name string, _ any) (store.Object, error) {
	a.revision++
	return store.Object{Name: name, Revision: a.revision}, nil
}

// decoder decodes the objects of registryStore.
type decoder struct{}

func (decoder) Config(store.Object) (*routes.Table, error) {
	return routes.New(1, nil, []routes.Service{{Name: "llm", Engine: &routes.Engine{}}}, routes.Limits{}), nil
}

func (decoder) WithoutKeys(o store.Object) (store.Object, error) { return o, nil }

func (decoder) Server(o store.Object) (backend.Server, error) {
	var role backend.Role
	err := json.Unmarshal(o.Spec, &role)
	return backend.Server{ID: o.Name, Service: "llm", DataCentre: "z", Role: role}, err
}

// registryStore is a store with the registrations of the engines.
type registryStore struct {
	store.Store
	fleet *testFleet
}

func (f registryStore) List(_ context.Context, kind string, _ store.Freshness) (store.Listing, error) {
	if kind == "config" {
		return store.Listing{Objects: []store.Object{{Name: "main", Revision: 1}}, Revision: 1}, nil
	}
	l := store.Listing{Revision: 1}
	for _, id := range f.fleet.ids {
		spec, err := json.Marshal(f.fleet.engines[id].state.Role)
		if err != nil {
			return l, err
		}
		l.Objects = append(l.Objects, store.Object{Name: id, Revision: 1, Spec: spec})
	}
	return l, nil
}

func (f registryStore) Watch(ctx context.Context, _ string, _ int64, _ time.Duration) (store.Batch, error) {
	<-ctx.Done()
	return store.Batch{}, ctx.Err()
}

// readView returns a view of the current content of the store.
func (f *testFleet) readView() *directory.View {
	d := directory.New(registryStore{fleet: f}, decoder{}, directory.Kinds{Config: "config", ConfigName: "main", Servers: "servers"})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = d.FollowConfig(ctx) }()
	go func() { _ = d.FollowServers(ctx) }()
	Eventually(func() int { return len(d.View().Servers) }).Should(Equal(len(f.ids)))
	Eventually(func() bool { return d.View().Table != nil }).Should(BeTrue())
	return d.View()
}
