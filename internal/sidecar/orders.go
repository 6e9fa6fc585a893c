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
	// stateTimeout limits one read of the engine's state.
	stateTimeout = 2 * time.Second
)

// ordersQuery requests the state of the orders duty.
type ordersQuery struct{ reply chan ordersDump }

// ordersDuty brings the engine to the state given by its row of the plan. It is
// the only duty that sends orders to the engine.
type ordersDuty struct {
	inbox     *ring.Ring[any]
	engine    engine.Engine
	requests  *requestsDuty
	reports   *reportsDuty
	admission *admissionDuty
	explain   *explain.Log
	config    orders.Config
	server    string

	// The fields below are used by Serve only. admissionEpoch counts the changes
	// of admission.
	executor       *orders.Executor
	admissionEpoch uint64
	row            plan.Engine
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

// setRow sets the engine's row of the active plan.
func (d *ordersDuty) setRow(ctx context.Context, row plan.Engine) {
	_ = d.inbox.PutWait(ctx, orders.RowReceived{Row: row})
}

// setDrainTimeout sets the time that running requests have to finish before a
// planned change.
func (d *ordersDuty) setDrainTimeout(ctx context.Context, timeout time.Duration) {
	_ = d.inbox.PutWait(ctx, orders.DrainTimeoutSet{Timeout: timeout})
}

// Serve follows the plan until ctx is done. Restarted after a panic, it assumes
// nothing about the engine, as in a new process: an order may be in flight.
func (d *ordersDuty) Serve(ctx context.Context) error {
	d.executor = orders.New(time.Now(), d.config)
	d.stopAdmitting(ctx, "the state of the engine is not known yet")
	ticker := time.NewTicker(ordersTick)
	defer ticker.Stop()
	for {
		select {
		case m := <-d.inbox.C():
			d.handle(ctx, m)
		case count := <-d.requests.counts.C():
			d.handleWorkCount(ctx, count)
		case <-d.requests.engineSuspect.C():
			d.step(ctx, orders.EngineMayHaveCrashed{})
		case <-ticker.C:
			d.step(ctx, orders.Tick{})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *ordersDuty) handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case ordersQuery:
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

// handleWorkCount passes on the count of running requests, unless it is older
// than the last change of admission.
//
// A count from before admission closed misses requests admitted since, and an
// order that relies on it would interrupt them. While admission is open, one
// request is added, because one may start at any moment.
func (d *ordersDuty) handleWorkCount(ctx context.Context, c workCount) {
	if c.epoch != d.admissionEpoch {
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
		d.perform(ctx, effect)
	}
}

func (d *ordersDuty) perform(ctx context.Context, effect orders.Effect) {
	switch e := effect.(type) {
	case orders.Admit:
		d.admit(ctx, e)
	case orders.StopAdmitting:
		d.logDecision("stops admitting", e.Reason)
		d.stopAdmitting(ctx, e.Reason)
	case orders.HandOver:
		d.admission.post(ctx, engineHandOver{})
	case orders.ReadState:
		go d.readState(ctx, time.Now())
	case orders.SendOrder:
		d.logDecision("orders the engine", fmt.Sprintf("generation %d: %s, %s", e.Order.Generation, e.Order.Role, d.row.Reason))
		go d.sendOrder(ctx, e.Order)
	}
}

// admit opens admission. From now on a request may start at any moment, so the
// executor counts one as running.
func (d *ordersDuty) admit(ctx context.Context, e orders.Admit) {
	d.admissionEpoch++
	d.logDecision("admits", fmt.Sprintf("generation %d: %s %s", e.Applied.Generation, e.Applied.Role, e.Applied.Model))
	d.admission.post(ctx, engineAvailable{epoch: d.admissionEpoch})
	d.step(ctx, orders.RunningRequests{Count: 1})
}

// stopAdmitting closes admission. The number of running requests is unknown until
// the request table reports it for the new epoch.
func (d *ordersDuty) stopAdmitting(ctx context.Context, reason string) {
	d.admissionEpoch++
	d.admission.post(ctx, engineUnavailable{epoch: d.admissionEpoch, reason: reason})
}

func (d *ordersDuty) logDecision(decision, reason string) {
	d.explain.Add(time.Now(), d.server, decision, reason)
}

// readState reads the engine's state and passes it on to the executor, the
// request table and the reports duty.
func (d *ordersDuty) readState(ctx context.Context, requestedAt time.Time) {
	readCtx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := d.engine.State(readCtx)
	if err == nil {
		_ = d.requests.inbox.PutWait(ctx, engineState{state: state})
		d.reports.inbox.Put(engineState{state: state})
	}
	_ = d.inbox.PutWait(ctx, orders.StateRead{RequestedAt: requestedAt, State: state, Err: err})
}

func (d *ordersDuty) sendOrder(ctx context.Context, o engine.Order) {
	sendCtx, cancel := context.WithTimeout(ctx, d.config.OrderTimeout)
	defer cancel()
	err := d.engine.Order(sendCtx, o)
	_ = d.inbox.PutWait(ctx, orders.OrderAnswered{Generation: o.Generation, Err: err})
}

// ordersDump is the state of the duty for operators.
type ordersDump struct {
	Phase orders.Phase `json:"phase"`
	// Generation is the one applied at the engine.
	Generation uint64      `json:"generation"`
	Row        plan.Engine `json:"row"`
}

func (d *ordersDuty) dump() ordersDump {
	return ordersDump{Phase: d.executor.Phase(), Generation: d.executor.Generation(), Row: d.row}
}

// Dump returns the state of the duty.
func (d *ordersDuty) Dump(ctx context.Context) any {
	return query(ctx, d.inbox, func(reply chan ordersDump) any { return ordersQuery{reply: reply} })
}
