package reconcile_test

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/apex/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/roles"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/lease"
	"pistachioroad.dev/pistachioroad/internal/reconcile"
	"pistachioroad.dev/pistachioroad/internal/store"
)

// Parameters of the model. The grant and the gap are those of a deployment that
// requires three seconds between the orders of two holders.
const (
	modelStep      = time.Second
	modelSteps     = 40
	modelValid     = 4 * time.Second
	modelGap       = 4200 * time.Millisecond
	minHandoverGap = 3 * time.Second
	changeTime     = 3 * time.Second
	// executionDelay is the delay of a write or order that takes effect late.
	executionDelay = 5 * time.Second
	// shortStallSteps and longStallSteps are how many steps a process stalls: for
	// less than its grant, and for just less than the time until another process
	// may take the lease.
	shortStallSteps = 2
	longStallSteps  = 8
)

// fault is what goes wrong in one call.
type fault int

const (
	noFault fault = iota
	rejected
	replyLost
	executedLate
	// otherGatewayFirst lets the other gateway make a step before the call;
	// shortStall and longStall let it make several while time passes.
	otherGatewayFirst
	shortStall
	longStall
	faultCount
	// storeReturns lets the store come back from a copy before the call, in models with
	// returns.
	storeReturns = faultCount
)

// choices makes the choices of one run: the given ones, then always the first
// option. Option 0 is the fault-free one.
type choices struct {
	given   []int
	made    []int
	options []int
}

func (c *choices) choose(n int) int {
	choice := 0
	if at := len(c.made); at < len(c.given) {
		choice = c.given[at]
	}
	c.made = append(c.made, choice)
	c.options = append(c.options, n)
	return choice
}

// next returns the choices of the next run in depth-first order. At most
// maxDeviations of them are not the first option. It returns false after the last
// run.
func (c *choices) next(maxDeviations int) (*choices, bool) {
	for i := len(c.made) - 1; i >= 0; i-- {
		if c.made[i]+1 < c.options[i] && deviations(c.made[:i]) < maxDeviations {
			given := append([]int(nil), c.made[:i+1]...)
			given[i]++
			return &choices{given: given}, true
		}
	}
	return nil, false
}

// deviations returns the number of choices that are not the first option.
func deviations(made []int) int {
	n := 0
	for _, choice := range made {
		if choice != 0 {
			n++
		}
	}
	return n
}

// arrival is an order received by an engine.
type arrival struct {
	holder string
	fence  int64
	at     time.Duration
}

// orderModel simulates two gateways that both have rank 0, the store with their
// lease, and the engines.
type orderModel struct {
	*choices
	now         time.Duration
	lease       store.Object
	leaseWrites int64
	// returns is set if the store may come back from copies, copies has its states of each
	// step, and era counts its returns from 1 on. eras is what each gateway knows of them.
	returns bool
	copies  []storeState
	era     store.Era
	eras    [2]store.Eras
	delayed []delayedAction
	engines map[string]*modelEngine
	views   map[string]*directory.View
	// currentView is the view of both gateways.
	currentView *directory.View
	// otherActing is set while one gateway makes steps during a call of the other;
	// no faults are chosen then.
	otherActing bool
	gateways    []*reconcile.Reconciler
	arrivals    []arrival
}

// storeState is what the store has of the lease.
type storeState struct {
	lease       store.Object
	leaseWrites int64
}

// copyAge is how many steps old the copies are that the store comes back from.
const copyAge = 4

// restore makes the store come back from a copy.
func (m *orderModel) restore() {
	state := storeState{}
	if n := len(m.copies); n > copyAge {
		state = m.copies[n-copyAge]
	}
	m.lease, m.leaseWrites, m.copies = state.lease, state.leaseWrites, nil
	m.era++
}

type delayedAction struct {
	at time.Duration
	do func()
}

type modelEngine struct {
	state         backend.EngineState
	fence         int64
	changingUntil time.Duration
}

var errNoAnswer = errors.New("no answer")

func newOrderModel(c *choices, views map[string]*directory.View, returns bool) *orderModel {
	m := &orderModel{choices: c, views: views, engines: map[string]*modelEngine{}, returns: returns}
	if returns {
		m.era = 1
	}
	for n := range 5 {
		role := backend.Decode
		if n == 0 {
			role = backend.Prefill
		}
		m.engines["e"+strconv.Itoa(n)] = &modelEngine{state: backend.EngineState{Role: role}}
	}
	m.refreshView()
	for n := range 2 {
		name := "f-" + strconv.Itoa(n)
		m.gateways = append(m.gateways, reconcile.New(reconcile.Config{
			Holder:             name,
			View:               func() *directory.View { return m.currentView },
			Rank:               func() int { return 0 },
			InFlight:           func(string, string) int { return 0 },
			Speed:              func(string, string) roles.Speed { return roles.Speed{} },
			Limited:            func(string) bool { return false },
			ExpectedMissRate:   func(string) (float64, bool) { return 0, false },
			PlacedRequests:     func(string) int64 { return 0 },
			RoleChangeStarting: func(string, string, time.Duration) {},
			Engines:            modelEngines{model: m, gateway: n},
			Lease: lease.New(modelStore{model: m, gateway: n}, lease.Config{
				Name: "orders", Holder: name, Incarnation: "1", Valid: modelValid, Gap: modelGap,
				Clock: func() time.Duration { return m.now },
			}),
		}))
	}
	return m
}

// refreshView updates the gateways' view to the current roles of the engines.
func (m *orderModel) refreshView() {
	key := ""
	snapshot := directory.Snapshot{Config: store.Object{Name: "main", Revision: 1}}
	for n := range len(m.engines) {
		id := "e" + strconv.Itoa(n)
		spec, err := json.Marshal(m.engines[id].state.Role)
		Expect(err).NotTo(HaveOccurred())
		key += string(spec)
		snapshot.Servers = append(snapshot.Servers, store.Object{Name: id, Revision: 1, Spec: spec})
	}
	if m.views[key] == nil {
		d := directory.New(nil, decoder{}, directory.Kinds{Config: "config", ConfigName: "main", Servers: "servers"})
		d.Adopt(time.Unix(0, 0), snapshot)
		m.views[key] = d.View()
	}
	m.currentView = m.views[key]
}

// run runs the model. The first choice determines how often the gateways' view is
// refreshed.
func (m *orderModel) run() {
	lag := []int{1, 12}[m.choose(2)]
	for step := range modelSteps {
		if step%lag == 0 {
			m.refreshView()
		}
		m.advance(modelStep)
		for n := range m.gateways {
			m.step(n)
		}
	}
}

func (m *orderModel) step(gateway int) {
	m.gateways[gateway].Step(context.Background(), time.Unix(0, 0).Add(m.now))
}

func (m *orderModel) advance(d time.Duration) {
	m.now += d
	m.copies = append(m.copies, storeState{lease: m.lease, leaseWrites: m.leaseWrites})
	due := m.delayed
	m.delayed = nil
	for _, p := range due {
		if p.at <= m.now {
			p.do()
			continue
		}
		m.delayed = append(m.delayed, p)
	}
}

func (m *orderModel) later(do func()) {
	m.delayed = append(m.delayed, delayedAction{at: m.now + executionDelay, do: do})
}

// drawFault chooses the fault of a gateway's call among those below limit. For a
// fault that delays the call, it runs the other gateway and returns noFault.
func (m *orderModel) drawFault(gateway int, limit fault) fault {
	if m.otherActing {
		return noFault
	}
	if m.returns && limit == faultCount {
		limit++
	}
	f := fault(m.choose(int(limit)))
	m.otherActing = true
	defer func() { m.otherActing = false }()
	switch f {
	case otherGatewayFirst:
		m.step(1 - gateway)
	case shortStall:
		m.stall(gateway, shortStallSteps)
	case longStall:
		m.stall(gateway, longStallSteps)
	case storeReturns:
		m.restore()
	default:
		return f
	}
	return noFault
}

// stall advances time and runs the other gateway.
func (m *orderModel) stall(gateway, steps int) {
	for range steps {
		m.advance(modelStep)
		m.step(1 - gateway)
	}
}

// modelStore is the store, as accessed by one gateway.
type modelStore struct {
	store.Store
	model   *orderModel
	gateway int
}

func (s modelStore) Get(context.Context, string, string) (store.Object, error) {
	m := s.model
	switch m.drawFault(s.gateway, faultCount) {
	case rejected:
		return store.Object{}, store.ErrRejected
	case replyLost, executedLate:
		return store.Object{}, errNoAnswer
	}
	if m.lease.Revision == 0 {
		return s.answer(store.Object{}, store.ErrNotFound)
	}
	return s.answer(m.lease, nil)
}

// Eras returns what the gateway knows of the store's eras.
func (s modelStore) Eras() *store.Eras { return &s.model.eras[s.gateway] }

// answer returns an object in the present era.
func (s modelStore) answer(o store.Object, err error) (store.Object, error) {
	s.Eras().Learn(s.model.era)
	o.Era = s.model.era
	return o, err
}

func (s modelStore) Create(_ context.Context, _, _ string, spec any) (store.Object, error) {
	return s.write(0, spec)
}

func (s modelStore) Update(_ context.Context, _, _ string, revision int64, spec any) (store.Object, error) {
	return s.write(revision, spec)
}

func (s modelStore) write(revision int64, spec any) (store.Object, error) {
	m := s.model
	data, err := json.Marshal(spec)
	Expect(err).NotTo(HaveOccurred())
	apply := func() error {
		if m.lease.Revision != revision {
			return store.ErrConflict
		}
		m.leaseWrites++
		m.lease = store.Object{Name: "orders", Revision: m.leaseWrites, Spec: data}
		return nil
	}
	switch m.drawFault(s.gateway, faultCount) {
	case rejected:
		return store.Object{}, store.ErrRejected
	case replyLost:
		_ = apply()
		return store.Object{}, errNoAnswer
	case executedLate:
		m.later(func() { _ = apply() })
		return store.Object{}, errNoAnswer
	}
	err = apply()
	return s.answer(m.lease, err)
}

// modelEngines are the engines, as accessed by one gateway.
type modelEngines struct {
	model   *orderModel
	gateway int
}

func (e modelEngines) State(_ context.Context, s backend.Server) (backend.EngineState, error) {
	switch e.model.drawFault(e.gateway, faultCount) {
	case rejected, replyLost, executedLate:
		return backend.EngineState{}, errNoAnswer
	}
	engine := e.model.engines[s.ID]
	state := engine.state
	state.Changing = engine.changingUntil > e.model.now
	return state, nil
}

// Order delivers an order. Its faults do not include delays before the call: a
// process cannot notice a delay between the last check of its grant and the arrival
// of the order; the fencing token covers that case.
func (e modelEngines) Order(_ context.Context, s backend.Server, o backend.Order) (backend.OrderResult, error) {
	m := e.model
	f := m.drawFault(e.gateway, otherGatewayFirst)
	if f == rejected {
		return backend.OrderRejected, nil
	}
	m.arrivals = append(m.arrivals, arrival{holder: o.Holder, fence: o.Fence, at: m.now})
	engine := m.engines[s.ID]
	switch f {
	case replyLost:
		engine.execute(m.now, o)
		return backend.OrderUnknown, errNoAnswer
	case executedLate:
		m.later(func() { engine.execute(m.now, o) })
		return backend.OrderUnknown, errNoAnswer
	}
	return engine.execute(m.now, o), nil
}

func (e *modelEngine) execute(now time.Duration, o backend.Order) backend.OrderResult {
	if o.Fence < e.fence || o.Expect != e.state.Orders || e.changingUntil > now {
		return backend.OrderRejected
	}
	e.fence = o.Fence
	e.state.Orders++
	e.state.Role = o.Role
	e.changingUntil = now + changeTime
	return backend.OrderAccepted
}

// check checks the orders in the sequence in which the engines received them. It
// returns the rule that is violated, if any.
func (m *orderModel) check() string {
	holders := map[int64]string{}
	for i, a := range m.arrivals {
		if h, ok := holders[a.fence]; ok && h != a.holder {
			return "two holders used the same fencing token"
		}
		holders[a.fence] = a.holder
		if i == 0 {
			continue
		}
		before := m.arrivals[i-1]
		if a.fence < before.fence {
			return "a fencing token was lower than an earlier one"
		}
		if a.holder != before.holder && a.at-before.at < minHandoverGap {
			return "two holders sent orders within " + minHandoverGap.String()
		}
	}
	return ""
}

var _ = Describe("orders, in all runs with up to three faults", func() {
	// Guards against an engine that gets orders from two holders, switches back and
	// forth and serves no request: two gateways both have rank 0; calls of the
	// store and of engines are rejected, lose their replies or take effect late;
	// and one gateway stalls for longer than its grant while the other continues.
	It("come from one holder at a time, with increasing fencing tokens", func() {
		checkOrders(3, false, 5_000)
	})

	// Guards against the same while the store comes back from copies that lack the lease, and
	// writes of before it are carried out at revisions that were given out again.
	It("do so while the store comes back from copies", func() {
		checkOrders(2, true, 1_000)
	})
})

// checkOrders checks all runs with up to maxDeviations faults, of which there must be more than
// a number.
func checkOrders(maxDeviations int, returns bool, leastRuns int) {
	GinkgoHelper()
	log.SetLevel(log.FatalLevel)
	DeferCleanup(log.SetLevel, log.InfoLevel)
	views := map[string]*directory.View{}
	runs, handovers := 0, 0
	for c, ok := (&choices{}), true; ok; c, ok = c.next(maxDeviations) {
		m := newOrderModel(c, views, returns)
		m.run()
		runs++
		Expect(m.check()).To(BeEmpty(), "choices %v, orders %v", c.made, m.arrivals)
		if len(m.arrivals) > 0 && m.arrivals[0].holder != m.arrivals[len(m.arrivals)-1].holder {
			handovers++
		}
	}
	Expect(runs).To(BeNumerically(">", leastRuns))
	Expect(handovers).To(BeNumerically(">", 100), "runs in which both gateways sent orders")
}
