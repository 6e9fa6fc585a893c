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

// The model's times. A grant and the gap after it are those of a deployment
// whose operators want three seconds between two holders.
const (
	modelStep  = time.Second
	modelSteps = 40
	modelValid = 4 * time.Second
	modelGap   = 4200 * time.Millisecond
	turnGap    = 3 * time.Second
	changeTime = 3 * time.Second
	// lateBy is how much later a delayed write or order takes effect.
	lateBy = 5 * time.Second
	// slowFor and frozenFor are how many steps a process stands still: within its
	// grant, and just under the time until another may take the lease.
	slowFor   = 2
	frozenFor = 8
)

// fate is what becomes of one call.
type fate int

const (
	fine fate = iota
	refused
	replyLost
	carriedOutLate
	// otherFirst lets the other gateway make a step before the call, slow and
	// frozen several while time passes.
	otherFirst
	slow
	frozen
	fates
)

// choices makes the choices of one run: those given, then the first of each.
type choices struct {
	given []int
	made  []int
	among []int
}

func (c *choices) choose(n int) int {
	choice := 0
	if at := len(c.made); at < len(c.given) {
		choice = c.given[at]
	}
	c.made = append(c.made, choice)
	c.among = append(c.among, n)
	return choice
}

// next returns the choices of the run after this one, in which at most a number
// of choices are not the first one; false after the last run.
func (c *choices) next(most int) (*choices, bool) {
	for i := len(c.made) - 1; i >= 0; i-- {
		if c.made[i]+1 < c.among[i] && deviations(c.made[:i]) < most {
			given := append([]int(nil), c.made[:i+1]...)
			given[i]++
			return &choices{given: given}, true
		}
	}
	return nil, false
}

func deviations(made []int) int {
	n := 0
	for _, choice := range made {
		if choice != 0 {
			n++
		}
	}
	return n
}

// arrival is an order as an engine gets it.
type arrival struct {
	holder string
	fence  int64
	at     time.Duration
}

// orderModel is two gateways that both believe to be the first, the store with
// their lease, and engines.
type orderModel struct {
	*choices
	now     time.Duration
	lease   store.Object
	written int64
	pending []pendingAct
	engines map[string]*modelEngine
	views   map[string]*directory.View
	// seen is the view of both gateways.
	seen *directory.View
	// acting is set while the other gateway acts within a call of the first.
	acting   bool
	gateways []*reconcile.Reconciler
	arrivals []arrival
}

type pendingAct struct {
	at time.Duration
	do func()
}

type modelEngine struct {
	state   backend.EngineState
	fence   int64
	changed time.Duration
}

var errNoAnswer = errors.New("no answer")

func newOrderModel(c *choices, views map[string]*directory.View) *orderModel {
	m := &orderModel{choices: c, views: views, engines: map[string]*modelEngine{}}
	for n := range 5 {
		role := backend.Decode
		if n == 0 {
			role = backend.Prefill
		}
		m.engines["e"+strconv.Itoa(n)] = &modelEngine{state: backend.EngineState{Role: role}}
	}
	m.look()
	for n := range 2 {
		name := "f-" + strconv.Itoa(n)
		m.gateways = append(m.gateways, reconcile.New(reconcile.Config{
			Holder:             name,
			View:               func() *directory.View { return m.seen },
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

// look lets the gateways see the engines' roles as they are.
func (m *orderModel) look() {
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
	m.seen = m.views[key]
}

// run plays the whole model. What the store shows of the engines is as old as
// the first choice says.
func (m *orderModel) run() {
	lag := []int{1, 12}[m.choose(2)]
	for step := range modelSteps {
		if step%lag == 0 {
			m.look()
		}
		m.pass(modelStep)
		for n := range m.gateways {
			m.step(n)
		}
	}
}

func (m *orderModel) step(gateway int) {
	m.gateways[gateway].Step(context.Background(), time.Unix(0, 0).Add(m.now))
}

func (m *orderModel) pass(d time.Duration) {
	m.now += d
	due := m.pending
	m.pending = nil
	for _, p := range due {
		if p.at <= m.now {
			p.do()
			continue
		}
		m.pending = append(m.pending, p)
	}
}

func (m *orderModel) later(do func()) {
	m.pending = append(m.pending, pendingAct{at: m.now + lateBy, do: do})
}

// fate chooses what becomes of a call of a gateway, and lets the other gateway
// act before it.
func (m *orderModel) fate(gateway int, most fate) fate {
	if m.acting {
		return fine
	}
	f := fate(m.choose(int(most)))
	m.acting = true
	defer func() { m.acting = false }()
	switch f {
	case otherFirst:
		m.step(1 - gateway)
	case slow:
		m.standStill(gateway, slowFor)
	case frozen:
		m.standStill(gateway, frozenFor)
	default:
		return f
	}
	return fine
}

// standStill lets time pass and the other gateway go on.
func (m *orderModel) standStill(gateway, steps int) {
	for range steps {
		m.pass(modelStep)
		m.step(1 - gateway)
	}
}

// modelStore is the store as one gateway reaches it.
type modelStore struct {
	store.Store
	model   *orderModel
	gateway int
}

func (s modelStore) Get(context.Context, string, string) (store.Object, error) {
	m := s.model
	switch m.fate(s.gateway, fates) {
	case refused:
		return store.Object{}, store.ErrRefused
	case replyLost, carriedOutLate:
		return store.Object{}, errNoAnswer
	}
	if m.lease.Revision == 0 {
		return store.Object{}, store.ErrNotFound
	}
	return m.lease, nil
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
		m.written++
		m.lease = store.Object{Name: "orders", Revision: m.written, Spec: data}
		return nil
	}
	switch m.fate(s.gateway, fates) {
	case refused:
		return store.Object{}, store.ErrRefused
	case replyLost:
		_ = apply()
		return store.Object{}, errNoAnswer
	case carriedOutLate:
		m.later(func() { _ = apply() })
		return store.Object{}, errNoAnswer
	}
	return m.lease, apply()
}

// modelEngines are the engines as one gateway reaches them.
type modelEngines struct {
	model   *orderModel
	gateway int
}

func (e modelEngines) State(_ context.Context, s backend.Server) (backend.EngineState, error) {
	switch e.model.fate(e.gateway, fates) {
	case refused, replyLost, carriedOutLate:
		return backend.EngineState{}, errNoAnswer
	}
	engine := e.model.engines[s.ID]
	state := engine.state
	state.Changing = engine.changed > e.model.now
	return state, nil
}

// Order has an order arrive. A process that stands still between its last look
// at its grant and the arrival cannot know it; the fencing token is for that.
func (e modelEngines) Order(_ context.Context, s backend.Server, o backend.Order) (backend.OrderResult, error) {
	m := e.model
	f := m.fate(e.gateway, otherFirst)
	if f == refused {
		return backend.OrderRejected, nil
	}
	m.arrivals = append(m.arrivals, arrival{holder: o.Holder, fence: o.Fence, at: m.now})
	engine := m.engines[s.ID]
	switch f {
	case replyLost:
		engine.carryOut(m.now, o)
		return backend.OrderUnknown, errNoAnswer
	case carriedOutLate:
		m.later(func() { engine.carryOut(m.now, o) })
		return backend.OrderUnknown, errNoAnswer
	}
	return engine.carryOut(m.now, o), nil
}

func (e *modelEngine) carryOut(now time.Duration, o backend.Order) backend.OrderResult {
	if o.Fence < e.fence || o.Expect != e.state.Orders || e.changed > now {
		return backend.OrderRejected
	}
	e.fence = o.Fence
	e.state.Orders++
	e.state.Role = o.Role
	e.changed = now + changeTime
	return backend.OrderAccepted
}

// check looks at the orders as the engines got them.
func (m *orderModel) check() string {
	holders := map[int64]string{}
	for i, a := range m.arrivals {
		if h, ok := holders[a.fence]; ok && h != a.holder {
			return "two holders with one fencing token"
		}
		holders[a.fence] = a.holder
		if i == 0 {
			continue
		}
		before := m.arrivals[i-1]
		if a.fence < before.fence {
			return "a lower fencing token after a higher one"
		}
		if a.holder != before.holder && a.at-before.at < turnGap {
			return "two holders within " + turnGap.String()
		}
	}
	return ""
}

var _ = Describe("orders, in all runs with up to three faults", func() {
	// Two gateways both believe to be the first to give orders. Calls of the
	// store and of engines are refused, lose their answers or take effect late,
	// and one gateway stands still for longer than its grant while the other
	// goes on. An engine with two masters changes to and fro and serves nobody.
	It("come from one holder at a time, with growing fencing tokens", func() {
		log.SetLevel(log.FatalLevel)
		DeferCleanup(log.SetLevel, log.InfoLevel)
		const most = 3
		views := map[string]*directory.View{}
		runs, turns := 0, 0
		for c, ok := (&choices{}), true; ok; c, ok = c.next(most) {
			m := newOrderModel(c, views)
			m.run()
			runs++
			Expect(m.check()).To(BeEmpty(), "choices %v, orders %v", c.made, m.arrivals)
			if len(m.arrivals) > 0 && m.arrivals[0].holder != m.arrivals[len(m.arrivals)-1].holder {
				turns++
			}
		}
		Expect(runs).To(BeNumerically(">", 5_000))
		Expect(turns).To(BeNumerically(">", 100), "runs in which both gave orders")
	})
})
