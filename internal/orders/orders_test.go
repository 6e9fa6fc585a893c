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

func TestMain(m *testing.M) { os.Exit(seeded.Run(m, seeded.RapidOptions{})) }

func TestOrders(t *testing.T) {
	invariant.PanicOnViolation()
	RegisterFailHandler(Fail)
	RunSpecs(t, "orders")
}

const (
	orderTimeout = 2 * time.Second
	changeTime   = 700 * time.Millisecond
	step         = 50 * time.Millisecond
)

// inFlightOrder is an order that has not arrived at the engine yet.
type inFlightOrder struct {
	order   engine.Order
	arrives time.Time
	answer  error
}

// inFlightRead is the result of a read that has not arrived at the Executor yet.
type inFlightRead struct {
	read    orders.StateRead
	arrives time.Time
}

// harness runs an Executor with a simulated engine whose orders can be delayed and
// whose replies can be lost.
type harness struct {
	now               time.Time
	executor          *orders.Executor
	checksFencing     bool
	state             engine.State
	highestGeneration uint64
	readyAt           time.Time
	ordersInFlight    []inFlightOrder
	running           int
	admits            bool

	// readsInFlight are results that have not arrived yet; readDelay is the delay of
	// the result of the next read.
	readsInFlight []inFlightRead
	readDelay     time.Duration
	// orderDelay and orderAnswer are the delay and the result of the next order.
	orderDelay  time.Duration
	orderAnswer error
	violations  []string
}

func newHarness(checks bool) *harness {
	h := &harness{
		now:           time.Unix(1000, 0),
		checksFencing: checks,
		state: engine.State{
			Incarnation: "a",
			Ready:       true,
			Applied:     engine.Order{Role: engine.RoleMixed, Model: "draft", Weights: "1"},
		},
	}
	h.restart()
	return h
}

func (h *harness) restart() {
	h.admits = false
	h.executor = orders.New(h.now, orders.Config{
		ChecksFencingToken: h.checksFencing,
		OrderTimeout:       orderTimeout,
		DrainTimeout:       time.Second,
	})
}

func (h *harness) handle(e orders.Event) {
	for _, effect := range h.executor.Step(h.now, e) {
		h.perform(effect)
	}
}

func (h *harness) perform(effect orders.Effect) {
	switch effect := effect.(type) {
	case orders.Admit:
		h.admits = true
	case orders.StopAdmitting:
		h.admits = false
	case orders.HandOver:
		h.running = 0
		h.handle(orders.RunningRequests{})
	case orders.ReadState:
		read := orders.StateRead{RequestedAt: h.now, State: h.state}
		h.readsInFlight = append(h.readsInFlight, inFlightRead{read: read, arrives: h.now.Add(h.readDelay)})
	case orders.SendOrder:
		h.ordersInFlight = append(h.ordersInFlight, inFlightOrder{
			order:   effect.Order,
			arrives: h.now.Add(h.orderDelay),
			answer:  h.orderAnswer,
		})
	}
}

// advance moves time forward by one step.
func (h *harness) advance() {
	h.now = h.now.Add(step)
	if h.state.Changing && !h.now.Before(h.readyAt) {
		h.state.Changing, h.state.Ready = false, true
	}
	for i := 0; i < len(h.ordersInFlight); i++ {
		if f := h.ordersInFlight[i]; !h.now.Before(f.arrives) {
			h.ordersInFlight = append(h.ordersInFlight[:i], h.ordersInFlight[i+1:]...)
			i--
			h.arrive(f)
		}
	}
	for len(h.readsInFlight) > 0 && !h.now.Before(h.readsInFlight[0].arrives) {
		read := h.readsInFlight[0].read
		h.readsInFlight = h.readsInFlight[1:]
		h.handle(read)
	}
	h.handle(orders.Tick{})
}

func (h *harness) arrive(f inFlightOrder) {
	answer := f.answer
	switch {
	case h.checksFencing && f.order.Generation < h.highestGeneration:
		answer = engine.ErrFenced
	case h.checksFencing && f.order.Generation == h.highestGeneration:
		// A repeated order has no effect.
	default:
		h.applyOrder(f.order)
	}
	h.handle(orders.OrderAnswered{Generation: f.order.Generation, Err: answer})
}

func (h *harness) applyOrder(o engine.Order) {
	if o.Generation < h.highestGeneration {
		h.violations = append(h.violations, "stale order")
	}
	if h.state.Changing {
		h.violations = append(h.violations, "order during a change")
	}
	if h.running > 0 {
		h.violations = append(h.violations, "request aborted")
	}
	h.highestGeneration = max(h.highestGeneration, o.Generation)
	h.state.Applied = o
	h.state.Changing, h.state.Ready = true, false
	h.readyAt = h.now.Add(changeTime)
}

func (h *harness) advanceFor(d time.Duration) {
	for range d / step {
		h.advance()
	}
}

// killWithOrderInFlight replaces the Executor while the order of row 2 is in flight
// to an engine that serves row 1.
func (h *harness) killWithOrderInFlight() {
	GinkgoHelper()
	h.handle(orders.RowReceived{Row: row(1, engine.RoleMixed)})
	h.advanceFor(orderTimeout + startMargin)
	h.orderDelay = orderTimeout - step
	h.handle(orders.RowReceived{Row: row(2, engine.RoleDecode)})
	Expect(h.ordersInFlight).To(HaveLen(1))
	h.restart()
}

func row(generation uint64, role engine.Role) plan.Engine {
	return plan.Engine{Generation: generation, Role: role, Model: "draft", Weights: "1", Reason: "test"}
}

var _ = Describe("Executor", func() {
	It("sends an order only when no request runs any more", func() {
		h := newHarness(true)
		h.handle(orders.RowReceived{Row: row(1, engine.RoleMixed)})
		h.advanceFor(orderTimeout + startMargin)
		Expect(h.admits).To(BeTrue())

		h.running = 1
		h.handle(orders.RunningRequests{Count: 1})
		h.handle(orders.RowReceived{Row: row(2, engine.RoleDecode)})
		h.advanceFor(500 * time.Millisecond)
		Expect(h.admits).To(BeFalse())
		Expect(h.ordersInFlight).To(BeEmpty())

		h.running = 0
		h.handle(orders.RunningRequests{})
		h.advanceFor(2 * time.Second)
		Expect(h.state.Applied.Role).To(Equal(engine.RoleDecode))
		Expect(h.admits).To(BeTrue())
	})

	// Guards against an outdated order taking effect last: the reply to an order is
	// lost and the order is still in flight when the plan changes again. If the second
	// order reaches the engine first, callers of the new model get errors from an
	// engine that looks idle.
	It("waits for an order of unknown outcome if the engine does not check the fencing token", func() {
		h := newHarness(false)
		h.handle(orders.RowReceived{Row: row(1, engine.RoleMixed)})
		h.advanceFor(orderTimeout)

		h.orderDelay, h.orderAnswer = orderTimeout-step, engine.ErrInterrupted
		h.handle(orders.RowReceived{Row: row(2, engine.RoleDecode)})
		h.handle(orders.OrderAnswered{Generation: 2, Err: engine.ErrInterrupted})
		h.orderDelay, h.orderAnswer = 0, nil
		h.handle(orders.RowReceived{Row: row(3, engine.RolePrefill)})
		h.advanceFor(3 * orderTimeout)

		Expect(h.violations).To(BeEmpty())
		Expect(h.state.Applied.Generation).To(BeEquivalentTo(3))
		Expect(h.admits).To(BeTrue())
	})

	// Guards against a late order aborting requests: a sidecar is killed right after it
	// sent an order, and its successor has only an older plan and admits requests before
	// the order has arrived.
	It("admits no request while an order of its predecessor may arrive", func() {
		h := newHarness(true)
		h.killWithOrderInFlight()
		for range (orderTimeout - 2*step) / step {
			h.advance()
			Expect(h.admits).To(BeFalse())
		}
	})

	// The same, but the successor receives an old plan that matches the engine's current
	// configuration, while its predecessor's order is still in flight.
	It("does not take a matching stale row for the end of its predecessor's order", func() {
		h := newHarness(true)
		h.killWithOrderInFlight()
		h.handle(orders.RowReceived{Row: row(1, engine.RoleMixed)})
		for range (orderTimeout - 2*step) / step {
			h.advance()
			Expect(h.admits).To(BeFalse())
		}
	})

	// An entry that was disconnected continues to send an old plan.
	It("ignores a row with a lower generation than an earlier one", func() {
		h := newHarness(true)
		h.handle(orders.RowReceived{Row: row(5, engine.RoleDecode)})
		h.handle(orders.RowReceived{Row: row(4, engine.RolePrefill)})
		h.advanceFor(3 * orderTimeout)
		Expect(h.state.Applied.Generation).To(BeEquivalentTo(5))
	})

	// Guards against sending requests for a new model to an engine that does not have
	// it: the engine crashes during a change and restarts in its initial configuration,
	// and its state is not read again.
	It("repeats the order after the engine crashed during the change", func() {
		h := newHarness(false)
		h.handle(orders.RowReceived{Row: row(2, engine.RoleDecode)})
		h.advanceFor(orderTimeout + startMargin)
		Expect(h.state.Changing).To(BeTrue())

		h.state = engine.State{Incarnation: "b", Ready: true, Applied: engine.Order{Role: engine.RoleMixed, Model: "draft", Weights: "1"}}
		h.highestGeneration = 0
		h.handle(orders.EngineMayHaveCrashed{})
		h.advanceFor(4 * orderTimeout)
		Expect(h.state.Applied.Role).To(Equal(engine.RoleDecode))
		Expect(h.admits).To(BeTrue())
	})

	// New and stale rows, late orders, lost replies and running requests in any
	// sequence: the engine must never get overlapping or stale orders, no order may
	// abort a request, and after the faults the engine must match the plan.
	It("keeps its invariants in random runs", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			h := newHarness(rapid.Bool().Draw(t, "checks"))
			generation := uint64(1)
			roles := []engine.Role{engine.RoleMixed, engine.RolePrefill, engine.RoleDecode}
			last := row(generation, engine.RoleMixed)
			h.handle(orders.RowReceived{Row: last})
			t.Repeat(map[string]func(*rapid.T){
				"advance": func(t *rapid.T) { h.advanceFor(step * time.Duration(rapid.IntRange(1, 60).Draw(t, "steps"))) },
				"row": func(t *rapid.T) {
					generation++
					last = row(generation, rapid.SampledFrom(roles).Draw(t, "role"))
					h.handle(orders.RowReceived{Row: last})
				},
				"stale row": func(*rapid.T) { h.handle(orders.RowReceived{Row: row(1, engine.RoleMixed)}) },
				"work": func(t *rapid.T) {
					if h.admits {
						h.running = rapid.IntRange(0, 2).Draw(t, "running")
						h.handle(orders.RunningRequests{Count: h.running})
					}
				},
				"finish": func(*rapid.T) {
					h.running = 0
					h.handle(orders.RunningRequests{})
				},
				"faults": func(t *rapid.T) {
					h.readDelay = rapid.SampledFrom([]time.Duration{0, 4 * step}).Draw(t, "read delay")
					h.orderDelay = rapid.SampledFrom([]time.Duration{0, step, orderTimeout - step}).Draw(t, "delay")
					h.orderAnswer = rapid.SampledFrom([]error{nil, engine.ErrInterrupted}).Draw(t, "answer")
				},
				"": func(t *rapid.T) {
					if len(h.violations) > 0 {
						t.Fatalf("violations: %v", h.violations)
					}
				},
			})
			h.orderDelay, h.orderAnswer, h.readDelay, h.running = 0, nil, 0, 0
			h.handle(orders.RunningRequests{})
			h.advanceFor(6 * orderTimeout)
			if h.state.Applied.Role != last.Role || !h.admits {
				t.Fatalf("row %+v, engine %+v, admits %v", last, h.state, h.admits)
			}
		})
	})
})

// startMargin is such that orderTimeout plus startMargin is longer than the start
// grace, but ends before a change that starts then has finished.
const startMargin = 200 * time.Millisecond
