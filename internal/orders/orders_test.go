package orders_test

import (
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/invariant"
	"pistachioroad.dev/pistachioroad/internal/orders"
	"pistachioroad.dev/pistachioroad/internal/plan"
	"pistachioroad.dev/pistachioroad/test/seeded"
)

func TestMain(m *testing.M) { os.Exit(seeded.Run(m, seeded.Rapid{})) }

func TestOrders(t *testing.T) {
	invariant.PanicOnBreach()
	RegisterFailHandler(Fail)
	RunSpecs(t, "orders")
}

const (
	orderTimeout = 2 * time.Second
	changeTime   = 700 * time.Millisecond
	step         = 50 * time.Millisecond
)

// flight is an order on its way to the engine.
type flight struct {
	order   engine.Order
	arrives time.Time
	answer  error
}

// answeredRead is a state on its way back from the engine.
type answeredRead struct {
	read    orders.StateRead
	arrives time.Time
}

// bench is one Executor before one engine whose orders can be late or lost.
type bench struct {
	now     time.Time
	x       *orders.Executor
	checks  bool
	state   engine.State
	highest uint64
	ready   time.Time
	flights []flight
	running int
	admits  bool

	// reads are answers on their way back; readDelay is the fate of the next.
	reads     []answeredRead
	readDelay time.Duration
	// orderDelay and orderAnswer are the fate of the next order.
	orderDelay  time.Duration
	orderAnswer error
	violations  []string
}

func newBench(checks bool) *bench {
	b := &bench{
		now:    time.Unix(1000, 0),
		checks: checks,
		state: engine.State{
			Incarnation: "a",
			Ready:       true,
			Applied:     engine.Order{Role: engine.RoleMixed, Model: "draft", Weights: "1"},
		},
	}
	b.restart()
	return b
}

func (b *bench) restart() {
	b.admits = false
	b.x = orders.New(b.now, orders.Config{
		ChecksFencingToken: b.checks,
		OrderTimeout:       orderTimeout,
		DrainTimeout:       time.Second,
	})
}

func (b *bench) do(e orders.Event) {
	for _, effect := range b.x.Step(b.now, e) {
		b.carryOut(effect)
	}
}

func (b *bench) carryOut(effect orders.Effect) {
	switch effect := effect.(type) {
	case orders.Admit:
		b.admits = true
	case orders.StopAdmitting:
		b.admits = false
	case orders.HandOver:
		b.running = 0
		b.do(orders.RunningRequests{})
	case orders.ReadState:
		read := orders.StateRead{Asked: b.now, State: b.state}
		b.reads = append(b.reads, answeredRead{read: read, arrives: b.now.Add(b.readDelay)})
	case orders.SendOrder:
		b.flights = append(b.flights, flight{
			order:   effect.Order,
			arrives: b.now.Add(b.orderDelay),
			answer:  b.orderAnswer,
		})
	}
}

// advance passes one step of time.
func (b *bench) advance() {
	b.now = b.now.Add(step)
	if b.state.Changing && !b.now.Before(b.ready) {
		b.state.Changing, b.state.Ready = false, true
	}
	for i := 0; i < len(b.flights); i++ {
		if f := b.flights[i]; !b.now.Before(f.arrives) {
			b.flights = append(b.flights[:i], b.flights[i+1:]...)
			i--
			b.arrive(f)
		}
	}
	for len(b.reads) > 0 && !b.now.Before(b.reads[0].arrives) {
		read := b.reads[0].read
		b.reads = b.reads[1:]
		b.do(read)
	}
	b.do(orders.Tick{})
}

func (b *bench) arrive(f flight) {
	answer := f.answer
	switch {
	case b.checks && f.order.Generation < b.highest:
		answer = engine.ErrFenced
	case b.checks && f.order.Generation == b.highest:
		// The same order again changes nothing.
	default:
		b.take(f.order)
	}
	b.do(orders.OrderAnswered{Generation: f.order.Generation, Err: answer})
}

func (b *bench) take(o engine.Order) {
	if o.Generation < b.highest {
		b.violations = append(b.violations, "stale order")
	}
	if b.state.Changing {
		b.violations = append(b.violations, "overlap")
	}
	if b.running > 0 {
		b.violations = append(b.violations, "cut")
	}
	b.highest = max(b.highest, o.Generation)
	b.state.Applied = o
	b.state.Changing, b.state.Ready = true, false
	b.ready = b.now.Add(changeTime)
}

func (b *bench) advanceFor(d time.Duration) {
	for range d / step {
		b.advance()
	}
}

// killWithOrderInFlight replaces the Executor while the order of row 2 is on its
// way to an engine that serves row 1.
func (b *bench) killWithOrderInFlight() {
	GinkgoHelper()
	b.do(orders.RowReceived{Row: row(1, engine.RoleMixed)})
	b.advanceFor(orderTimeout + startMargin)
	b.orderDelay = orderTimeout - step
	b.do(orders.RowReceived{Row: row(2, engine.RoleDecode)})
	Expect(b.flights).To(HaveLen(1))
	b.restart()
}

func row(generation uint64, role engine.Role) plan.Engine {
	return plan.Engine{Generation: generation, Role: role, Model: "draft", Weights: "1", Reason: "test"}
}

var _ = Describe("Executor", func() {
	It("orders only once nothing runs any more", func() {
		b := newBench(true)
		b.do(orders.RowReceived{Row: row(1, engine.RoleMixed)})
		b.advanceFor(orderTimeout + startMargin)
		Expect(b.admits).To(BeTrue())

		b.running = 1
		b.do(orders.RunningRequests{Count: 1})
		b.do(orders.RowReceived{Row: row(2, engine.RoleDecode)})
		b.advanceFor(500 * time.Millisecond)
		Expect(b.admits).To(BeFalse())
		Expect(b.flights).To(BeEmpty())

		b.running = 0
		b.do(orders.RunningRequests{})
		b.advanceFor(2 * time.Second)
		Expect(b.state.Applied.Role).To(Equal(engine.RoleDecode))
		Expect(b.admits).To(BeTrue())
	})

	// The answer to an order is lost and the order itself is still under way
	// when the plan changes again. Sent at once, the second order could reach
	// the engine first, and the engine would end up as the first one says:
	// callers of the new model get errors from an engine that looks idle.
	It("waits out an order of unknown outcome when the engine does not check", func() {
		b := newBench(false)
		b.do(orders.RowReceived{Row: row(1, engine.RoleMixed)})
		b.advanceFor(orderTimeout)

		b.orderDelay, b.orderAnswer = orderTimeout-step, engine.ErrInterrupted
		b.do(orders.RowReceived{Row: row(2, engine.RoleDecode)})
		b.do(orders.OrderAnswered{Generation: 2, Err: engine.ErrInterrupted})
		b.orderDelay, b.orderAnswer = 0, nil
		b.do(orders.RowReceived{Row: row(3, engine.RolePrefill)})
		b.advanceFor(3 * orderTimeout)

		Expect(b.violations).To(BeEmpty())
		Expect(b.state.Applied.Generation).To(BeEquivalentTo(3))
		Expect(b.admits).To(BeTrue())
	})

	// A sidecar is killed right after it sent an order, and its successor knows
	// only an older plan. If it let requests in at once, the order would land
	// and cut them.
	It("admits nothing while an order of its predecessor may land", func() {
		b := newBench(true)
		b.killWithOrderInFlight()
		for range (orderTimeout - 2*step) / step {
			b.advance()
			Expect(b.admits).To(BeFalse())
		}
	})

	// The same, but the successor hears of an old plan that says just what the
	// engine still is. It looks settled, and the order of its predecessor is on
	// its way all the same.
	It("does not take a stale row for the end of its predecessor's order", func() {
		b := newBench(true)
		b.killWithOrderInFlight()
		b.do(orders.RowReceived{Row: row(1, engine.RoleMixed)})
		for range (orderTimeout - 2*step) / step {
			b.advance()
			Expect(b.admits).To(BeFalse())
		}
	})

	// A relay that was cut off keeps sending an old plan.
	It("ignores a row below one that it has seen", func() {
		b := newBench(true)
		b.do(orders.RowReceived{Row: row(5, engine.RoleDecode)})
		b.do(orders.RowReceived{Row: row(4, engine.RolePrefill)})
		b.advanceFor(3 * orderTimeout)
		Expect(b.state.Applied.Generation).To(BeEquivalentTo(5))
	})

	// The engine crashes in the middle of a change and comes back as it was
	// first installed. Without a fresh look at it, requests for the new model
	// would go to an engine that does not have it.
	It("orders again after the engine crashed part-way", func() {
		b := newBench(false)
		b.do(orders.RowReceived{Row: row(2, engine.RoleDecode)})
		b.advanceFor(orderTimeout + startMargin)
		Expect(b.state.Changing).To(BeTrue())

		b.state = engine.State{Incarnation: "b", Ready: true, Applied: engine.Order{Role: engine.RoleMixed, Model: "draft", Weights: "1"}}
		b.highest = 0
		b.do(orders.EngineMayHaveCrashed{})
		b.advanceFor(4 * orderTimeout)
		Expect(b.state.Applied.Role).To(Equal(engine.RoleDecode))
		Expect(b.admits).To(BeTrue())
	})

	// Rows, late and lost orders, running work and restarts in any order: the
	// engine must never see overlapping or stale orders, nothing may be cut,
	// and once the faults end the engine must be what the plan says.
	It("holds its promises in random runs", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := newBench(rapid.Bool().Draw(t, "checks"))
			generation := uint64(1)
			roles := []engine.Role{engine.RoleMixed, engine.RolePrefill, engine.RoleDecode}
			last := row(generation, engine.RoleMixed)
			b.do(orders.RowReceived{Row: last})
			t.Repeat(map[string]func(*rapid.T){
				"advance": func(t *rapid.T) { b.advanceFor(step * time.Duration(rapid.IntRange(1, 60).Draw(t, "steps"))) },
				"row": func(t *rapid.T) {
					generation++
					last = row(generation, rapid.SampledFrom(roles).Draw(t, "role"))
					b.do(orders.RowReceived{Row: last})
				},
				"stale row": func(*rapid.T) { b.do(orders.RowReceived{Row: row(1, engine.RoleMixed)}) },
				"work": func(t *rapid.T) {
					if b.admits {
						b.running = rapid.IntRange(0, 2).Draw(t, "running")
						b.do(orders.RunningRequests{Count: b.running})
					}
				},
				"finish": func(*rapid.T) {
					b.running = 0
					b.do(orders.RunningRequests{})
				},
				"fate": func(t *rapid.T) {
					b.readDelay = rapid.SampledFrom([]time.Duration{0, 4 * step}).Draw(t, "read delay")
					b.orderDelay = rapid.SampledFrom([]time.Duration{0, step, orderTimeout - step}).Draw(t, "delay")
					b.orderAnswer = rapid.SampledFrom([]error{nil, engine.ErrInterrupted}).Draw(t, "answer")
				},
				"": func(t *rapid.T) {
					if len(b.violations) > 0 {
						t.Fatalf("violations: %v", b.violations)
					}
				},
			})
			b.orderDelay, b.orderAnswer, b.readDelay, b.running = 0, nil, 0, 0
			b.do(orders.RunningRequests{})
			b.advanceFor(6 * orderTimeout)
			if b.state.Applied.Role != last.Role || !b.admits {
				t.Fatalf("row %+v, engine %+v, admits %v", last, b.state, b.admits)
			}
		})
	})
})

// startMargin lies between the start grace and the end of a change.
const startMargin = 200 * time.Millisecond
