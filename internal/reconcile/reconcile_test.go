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

// world is a fleet of engines and a store that names them.
type world struct {
	engines map[string]*engine
	ids     []string
	view    *directory.View
	held    bool
	work    int
	// requests were placed so far.
	requests    int64
	misses      float64
	missesKnown bool
	// limited are the engines that take few requests only.
	limited map[string]bool
	now     time.Time
}

type engine struct {
	state  backend.EngineState
	orders []backend.Order
	// lost makes the answer of the next order get lost; late makes it be
	// carried out by land.
	lost, late bool
	pending    *backend.Order
}

var errLost = errors.New("no answer")

func newWorld(prefill, decode int) *world {
	w := &world{engines: map[string]*engine{}, now: time.Unix(1_000_000_000, 0)}
	for i := range prefill + decode {
		id := "e" + strconv.Itoa(i)
		e := &engine{state: backend.EngineState{Role: backend.Prefill}}
		if i >= prefill {
			e.state.Role = backend.Decode
		}
		w.engines[id] = e
		w.ids = append(w.ids, id)
	}
	w.tell()
	return w
}

// tell writes the engines' roles to the store.
func (w *world) tell() { w.view = w.read() }

func (w *world) State(_ context.Context, s backend.Server) (backend.EngineState, error) {
	return w.engines[s.ID].state, nil
}

func (w *world) Order(_ context.Context, s backend.Server, o backend.Order) (backend.OrderResult, error) {
	e := w.engines[s.ID]
	if e.late {
		e.late = false
		e.pending = &o
		return backend.OrderUnknown, errLost
	}
	result := e.carryOut(o)
	if e.lost {
		e.lost = false
		return backend.OrderUnknown, errLost
	}
	return result, nil
}

func (e *engine) carryOut(o backend.Order) backend.OrderResult {
	if o.Expect != e.state.Orders {
		return backend.OrderRejected
	}
	e.state.Orders++
	e.state.Role = o.Role
	e.orders = append(e.orders, o)
	return backend.OrderAccepted
}

func (w *world) Acquire(context.Context) (lease.Grant, error) {
	if w.held {
		return lease.Grant{}, lease.ErrHeld
	}
	return lease.New(&alone{}, lease.Config{Valid: time.Minute, Clock: func() time.Duration { return 0 }}).Acquire(context.Background())
}

func (w *world) reconciler(rank int) *reconcile.Reconciler {
	return reconcile.New(reconcile.Config{
		Holder: "f-1", View: func() *directory.View { return w.view }, Rank: func() int { return rank },
		InFlight: func(string, string) int { return w.work }, Engines: w, Lease: w,
		Speed:              func(string, string) roles.Speed { return roles.Speed{} },
		Limited:            func(server string) bool { return w.limited[server] },
		RoleChangeStarting: func(string, string, time.Duration) {},
		ExpectedMissRate:   func(string) (float64, bool) { return w.misses, w.missesKnown },
		PlacedRequests:     func(string) int64 { return w.requests },
	})
}

// pass lets time go by in steps of half a second.
func (w *world) pass(r *reconcile.Reconciler, d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(500 * time.Millisecond) {
		r.Step(context.Background(), w.now)
	}
}

func (w *world) orders() int {
	n := 0
	for _, e := range w.engines {
		n += len(e.orders)
	}
	return n
}

func (w *world) decoding() int {
	n := 0
	for _, e := range w.engines {
		if e.state.Role == backend.Decode {
			n++
		}
	}
	return n
}

var _ = Describe("Reconciler", func() {
	It("brings idle engines to their roles at once, and leaves them there", func() {
		w := newWorld(5, 7)
		r := w.reconciler(0)
		w.pass(r, 5*time.Second)
		Expect(w.decoding()).To(Equal(5))
		w.tell()
		w.pass(r, time.Minute)
		Expect(w.orders()).To(Equal(2))
	})

	// Three hundred engines start in the wrong roles and few callers come. Each
	// order takes an engine away for seconds, and no answer is any sooner.
	It("does not reorder a large fleet that nobody uses, until somebody does", func() {
		w := newWorld(120, 180)
		r := w.reconciler(0)
		for range 30 {
			w.pass(r, 15*time.Second)
			w.tell()
		}
		Expect(w.orders()).To(BeNumerically("<=", 16))
		w.requests = 100_000
		for range 30 {
			w.pass(r, 15*time.Second)
			w.tell()
		}
		Expect(w.decoding()).To(Equal(120))
	})

	It("changes busy engines one at a time", func() {
		w := newWorld(5, 7)
		w.work = 1
		r := w.reconciler(0)
		w.pass(r, 5*time.Second)
		Expect(w.orders()).To(Equal(1))
		w.tell()
		w.pass(r, 20*time.Second)
		Expect(w.orders()).To(Equal(2))
	})

	// Guards against a role staying short for as long as several changes take one after
	// the other, after its engines were replaced.
	It("changes busy engines together while a role has at most half of its engines", func() {
		w := newWorld(1, 7)
		w.work = 1
		r := w.reconciler(0)
		w.pass(r, 5*time.Second)
		Expect(w.orders()).To(Equal(2))
		w.pass(r, 4*time.Second)
		Expect(w.orders()).To(Equal(2))
	})

	// Guards against engines that take next to nothing counting as a role's, so that the
	// rest of the role has all its work.
	It("does not count engines that name a limit, and restores the share afterwards", func() {
		w := newWorld(7, 5)
		r := w.reconciler(0)
		w.limited = map[string]bool{"e8": true, "e9": true, "e10": true}
		for range 5 {
			w.pass(r, 15*time.Second)
			w.tell()
		}
		Expect(w.decoding()).To(Equal(7))
		for id := range w.limited {
			Expect(w.engines[id].orders).To(BeEmpty())
		}
		w.limited = nil
		for range 5 {
			w.pass(r, 15*time.Second)
			w.tell()
		}
		Expect(w.decoding()).To(Equal(5))
	})

	It("gives no order while another process holds the lease", func() {
		w := newWorld(5, 7)
		w.held = true
		w.pass(w.reconciler(0), time.Minute)
		Expect(w.orders()).To(BeZero())
	})

	It("lets the first among the gateways act first", func() {
		w := newWorld(5, 7)
		w.pass(w.reconciler(2), 15*time.Second)
		Expect(w.orders()).To(BeZero())
		w.pass(w.reconciler(2), 30*time.Second)
		Expect(w.orders()).To(Equal(2))
	})

	// An engine carries an order out and its answer is lost. Sent again blindly,
	// the engine would be away twice.
	It("does not repeat an order whose answer was lost", func() {
		w := newWorld(5, 7)
		for _, e := range w.engines {
			e.lost = true
		}
		w.pass(w.reconciler(0), time.Minute)
		Expect(w.orders()).To(Equal(2))
		Expect(w.decoding()).To(Equal(5))
	})

	// An engine takes an order and carries it out ten seconds later, after a
	// newer one was accepted. The engine must not go back to the old role.
	It("makes an order that is carried out late have no effect after a newer one", func() {
		w := newWorld(5, 7)
		for _, e := range w.engines {
			e.late = true
		}
		w.pass(w.reconciler(0), time.Minute)
		Expect(w.decoding()).To(Equal(5))
		for _, e := range w.engines {
			if e.pending == nil {
				continue
			}
			before := e.state
			if e.carryOut(*e.pending) == backend.OrderRejected {
				Expect(e.state).To(Equal(before))
			}
			Expect(len(e.orders)).To(BeNumerically("<=", 1))
		}
	})
})

var _ = Describe("a fleet whose longest answers are cut by their deadlines", func() {
	It("has one more engine generate, and keeps it when the burst is over", func() {
		w := newWorld(6, 4)
		r := w.reconciler(0)
		decoders := func() int {
			return lo.CountBy(w.ids, func(id string) bool { return w.engines[id].state.Role == backend.Decode })
		}
		w.misses, w.missesKnown = 0.15, true
		w.pass(r, 10*time.Second)
		Expect(decoders()).To(Equal(4))
		w.misses = 0.4
		w.pass(r, 10*time.Second)
		Expect(decoders()).To(Equal(5))
		w.tell()
		w.misses = 0.15
		w.pass(r, time.Minute)
		Expect(decoders()).To(Equal(5))
	})
})

// alone is a store with nobody else.
type alone struct {
	store.Store
	revision int64
}

func (a *alone) Get(context.Context, string, string) (store.Object, error) {
	return store.Object{}, store.ErrNotFound
}

func (a *alone) Create(_ context.Context, _, name string, _ any) (store.Object, error) {
	a.revision++
	return store.Object{Name: name, Revision: a.revision}, nil
}

// decoder takes the world's own types from the objects' values.
type decoder struct{}

func (decoder) Config(store.Object) (*routes.Table, error) {
	return routes.New(1, nil, []routes.Service{{Name: "llm", Engine: &routes.Engine{}}}, routes.Limits{}), nil
}

func (decoder) Server(o store.Object) (backend.Server, error) {
	var role backend.Role
	err := json.Unmarshal(o.Spec, &role)
	return backend.Server{ID: o.Name, Service: "llm", DataCentre: "z", Role: role}, err
}

// fixed is a store with the engines' entries.
type fixed struct {
	store.Store
	w *world
}

func (f fixed) List(_ context.Context, kind string, _ store.Freshness) (store.Listing, error) {
	if kind == "config" {
		return store.Listing{Objects: []store.Object{{Name: "main", Revision: 1}}, At: 1}, nil
	}
	l := store.Listing{At: 1}
	for _, id := range f.w.ids {
		spec, err := json.Marshal(f.w.engines[id].state.Role)
		if err != nil {
			return l, err
		}
		l.Objects = append(l.Objects, store.Object{Name: id, Revision: 1, Spec: spec})
	}
	return l, nil
}

func (f fixed) Watch(ctx context.Context, _ string, _ int64, _ time.Duration) (store.Batch, error) {
	<-ctx.Done()
	return store.Batch{}, ctx.Err()
}

// read returns a view of the store as it is.
func (w *world) read() *directory.View {
	d := directory.New(fixed{w: w}, decoder{}, directory.Kinds{Config: "config", ConfigName: "main", Servers: "servers"})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = d.FollowConfig(ctx) }()
	go func() { _ = d.FollowServers(ctx) }()
	Eventually(func() int { return len(d.View().Servers) }).Should(Equal(len(w.ids)))
	Eventually(func() bool { return d.View().Table != nil }).Should(BeTrue())
	return d.View()
}
