package sidecar

import (
	"context"
	"fmt"
	"time"

	"github.com/samber/do/v2"

	"pistachioroad.dev/pistachioroad/internal/engine"
	"pistachioroad.dev/pistachioroad/internal/explain"
	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/orders"
	"pistachioroad.dev/pistachioroad/internal/plan"
	"pistachioroad.dev/pistachioroad/internal/ring"
	"pistachioroad.dev/pistachioroad/internal/settings"
)

const (
	ordersInbox = 64
	ordersTick  = 100 * time.Millisecond
	// stateTimeout bounds one read of the engine's state.
	stateTimeout = 2 * time.Second
)

// ordersAsk asks for the state of the orders duty.
type ordersAsk struct{ reply chan ordersDump }

// ordersDuty brings the engine to its row of the plan. No other part of the
// process orders the engine.
type ordersDuty struct {
	inbox     *ring.Ring[any]
	engine    engine.Engine
	requests  *requestsDuty
	reports   *reportsDuty
	admission *admissionDuty
	explain   *explain.Log
	config    orders.Config
	server    string

	// The rest belongs to Serve. number counts the changes of the admission.
	executor *orders.Executor
	number   uint64
	row      plan.Engine
}

func newOrders(i do.Injector) (*ordersDuty, error) {
	s := do.MustInvoke[settings.Settings](i)
	server := s.Sidecar.BackendServer
	return &ordersDuty{
		inbox:     ring.New[any]("orders", ordersInbox, ring.Reject),
		engine:    do.MustInvoke[engine.Engine](i),
		requests:  do.MustInvoke[*requestsDuty](i),
		reports:   do.MustInvoke[*reportsDuty](i),
		admission: do.MustInvoke[*admissionDuty](i),
		explain:   do.MustInvoke[*explain.Log](i),
		config: orders.Config{
			ChecksFencingToken: server.ChecksFencingToken,
			OrderTimeout:       server.OrderTimeout,
			DrainTimeout:       time.Duration(*fleetconfig.BuiltIn().DrainTimeout),
		},
		server: s.Process.Name,
	}, nil
}

// String names the duty.
func (d *ordersDuty) String() string { return "orders" }

// setRow gives the engine's row of the plan in force.
func (d *ordersDuty) setRow(ctx context.Context, row plan.Engine) {
	_ = d.inbox.PutWait(ctx, orders.RowReceived{Row: row})
}

// setDrainTimeout gives the time that operators leave running requests before
// a planned change.
func (d *ordersDuty) setDrainTimeout(ctx context.Context, timeout time.Duration) {
	_ = d.inbox.PutWait(ctx, orders.DrainTimeoutSet{Timeout: timeout})
}

// Serve follows the plan until ctx ends. Begun again after a panic, it knows no
// more than a fresh process: an order may be in flight.
func (d *ordersDuty) Serve(ctx context.Context) error {
	d.executor = orders.New(time.Now(), d.config)
	d.stopAdmitting(ctx, "the state of the engine is not known yet")
	ticker := time.NewTicker(ordersTick)
	defer ticker.Stop()
	for {
		select {
		case m := <-d.inbox.C():
			d.take(ctx, m)
		case count := <-d.requests.counts.C():
			d.countWork(ctx, count)
		case <-d.requests.broke.C():
			d.step(ctx, orders.EngineMayHaveCrashed{})
		case <-ticker.C:
			d.step(ctx, orders.Tick{})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *ordersDuty) take(ctx context.Context, m any) {
	switch m := m.(type) {
	case ordersAsk:
		m.reply <- d.dump()
	case orders.RowReceived:
		d.row = m.Row
		d.step(ctx, m)
	case orders.DrainTimeoutSet:
		d.config.DrainTimeout = m.Timeout
		d.step(ctx, m)
	case orders.Event:
		d.step(ctx, m)
	}
}

// countWork passes the count of running requests on, unless it is older than
// the last change of the admission.
//
// A count from before the admission closed says nothing about what was let in
// since. An order that trusts it would cut a request that started meanwhile.
// While the admission is open, a request may start at any moment, and counts.
func (d *ordersDuty) countWork(ctx context.Context, c workCount) {
	if c.number != d.number {
		return
	}
	count := c.running
	if c.admitting {
		count++
	}
	d.step(ctx, orders.RunningRequests{Count: count})
}

func (d *ordersDuty) step(ctx context.Context, event orders.Event) {
	for _, effect := range d.executor.Step(time.Now(), event) {
		d.do(ctx, effect)
	}
}

func (d *ordersDuty) do(ctx context.Context, effect orders.Effect) {
	switch e := effect.(type) {
	case orders.Admit:
		d.admit(ctx, e)
	case orders.StopAdmitting:
		d.note("stops admitting", e.Reason)
		d.stopAdmitting(ctx, e.Reason)
	case orders.HandOver:
		d.admission.tell(ctx, engineHandOver{})
	case orders.ReadState:
		go d.readState(ctx, time.Now())
	case orders.SendOrder:
		d.note("orders the engine", fmt.Sprintf("generation %d: %s, %s", e.Order.Generation, e.Order.Role, d.row.Reason))
		go d.sendOrder(ctx, e.Order)
	}
}

// admit opens the admission. From here on a request may start at any moment.
func (d *ordersDuty) admit(ctx context.Context, e orders.Admit) {
	d.number++
	d.note("admits", fmt.Sprintf("generation %d: %s %s", e.Applied.Generation, e.Applied.Role, e.Applied.Model))
	d.admission.tell(ctx, engineOpen{number: d.number})
	d.step(ctx, orders.RunningRequests{Count: 1})
}

// stopAdmitting closes the admission. What runs is not known until the request
// table has answered.
func (d *ordersDuty) stopAdmitting(ctx context.Context, why string) {
	d.number++
	d.admission.tell(ctx, engineClosed{number: d.number, why: why})
}

func (d *ordersDuty) note(decision, why string) {
	d.explain.Add(time.Now(), d.server, decision, why)
}

// readState reads the engine's state, for the orders and for the reports.
func (d *ordersDuty) readState(ctx context.Context, asked time.Time) {
	reading, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := d.engine.State(reading)
	if err == nil {
		_ = d.requests.inbox.PutWait(ctx, engineState{state: state})
		d.reports.inbox.Put(engineState{state: state})
	}
	_ = d.inbox.PutWait(ctx, orders.StateRead{RequestedAt: asked, State: state, Err: err})
}

func (d *ordersDuty) sendOrder(ctx context.Context, o engine.Order) {
	sending, cancel := context.WithTimeout(ctx, d.config.OrderTimeout)
	defer cancel()
	err := d.engine.Order(sending, o)
	_ = d.inbox.PutWait(ctx, orders.OrderAnswered{Generation: o.Generation, Err: err})
}

// ordersDump is the state of the duty for operators.
type ordersDump struct {
	Phase orders.Phase `json:"phase"`
	// Generation is the one in force at the engine.
	Generation uint64      `json:"generation"`
	Row        plan.Engine `json:"row"`
}

func (d *ordersDuty) dump() ordersDump {
	return ordersDump{Phase: d.executor.Phase(), Generation: d.executor.Generation(), Row: d.row}
}

// Dump returns the state of the duty.
func (d *ordersDuty) Dump(ctx context.Context) any {
	return ask(ctx, d.inbox, func(reply chan ordersDump) any { return ordersAsk{reply: reply} })
}
