// Package reconcile keeps the engines in their roles.
//
// Any gateway may give orders, one at a time: the one that holds the lease. An
// order names the engine's start, its count of orders so far and the lease's
// fencing token, so an order that is carried out late changes nothing once
// another one has been accepted. One of unknown outcome is read back from the
// engine before the next one is sent.
package reconcile

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/roles"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/lease"
	"pistachioroad.dev/pistachioroad/internal/periodic"
)

const (
	// every is how often the roles are looked at.
	every = 500 * time.Millisecond
	// settle is how long a need must last: engines that start together
	// register within it, and one that crashes is often back.
	settle = 2 * time.Second
	// rankDelay is how much longer each further gateway waits before it tries:
	// longer than the first takes to act and its orders to show in the store.
	rankDelay = 9 * time.Second
	// orderTime is the least validity of a grant that an order needs: the call
	// takes up to 0.8 s.
	orderTime = time.Second
	// rest is how long an engine is left alone after an order: it is away for
	// some seconds, and its entry shows the new role a heartbeat later.
	rest = 10 * time.Second
	// showTime is how much longer than its change an engine's entry takes to
	// show the new role: a heartbeat and the store's way here.
	showTime = 1500 * time.Millisecond
)

// Engines gives orders to engines.
type Engines interface {
	State(ctx context.Context, s backend.Server) (backend.EngineState, error)
	Order(ctx context.Context, s backend.Server, o backend.Order) (backend.OrderResult, error)
}

// Leaser grants the right to give orders.
type Leaser interface {
	Acquire(ctx context.Context) (lease.Grant, error)
}

// Config is what a Reconciler is made of.
type Config struct {
	// Holder is this VM's name.
	Holder string
	View   func() *directory.View
	// Rank is this gateway's place among those that may give orders, 0 first.
	Rank func() int
	// Busy returns the work at an engine; any work at all means that few changes
	// are made together.
	InFlight func(service, engine string) int
	// Pace returns how slow an engine is.
	Speed func(service, engine string) roles.Speed
	// Limited reports whether a server takes few requests only: it does not count as one
	// that serves its role.
	Limited func(server string) bool
	// Misses returns the part of a service's answers, by length, that is expected to
	// miss its deadline; false while that is not known.
	ExpectedMissRate func(service string) (float64, bool)
	// Requests returns how many requests of a service all gateways have placed.
	PlacedRequests func(service string) int64
	// Away is told of an engine that is about to change its role.
	RoleChangeStarting func(service, engine string, d time.Duration)
	Engines            Engines
	Lease              Leaser
}

// Reconciler keeps engines in their roles. Its methods are for one goroutine.
type Reconciler struct {
	config Config
	// needed is since when a change has been wanted.
	needed time.Time
	// ordered is when an engine was last sent an order.
	ordered map[string]time.Time
	// made counts the orders of this process that may have been carried out, by
	// service.
	made map[string]int

	accepted, rejected, unknown metrics.Counter
}

// New returns a Reconciler.
func New(c Config) *Reconciler {
	return &Reconciler{
		config:   c,
		ordered:  make(map[string]time.Time),
		made:     make(map[string]int),
		accepted: metrics.GetOrRegisterCounter("reconcile.orders_accepted", nil),
		rejected: metrics.GetOrRegisterCounter("reconcile.orders_rejected", nil),
		unknown:  metrics.GetOrRegisterCounter("reconcile.orders_unknown", nil),
	}
}

// Run reconciles until ctx ends.
func (r *Reconciler) Run(ctx context.Context) error {
	return periodic.Run(ctx, every, func(now time.Time) { r.Step(ctx, now) })
}

// Step looks at the roles once, and gives the orders that are due.
func (r *Reconciler) Step(ctx context.Context, now time.Time) {
	view := r.config.View()
	moves := r.wanted(view, now)
	if len(moves) == 0 {
		r.needed = time.Time{}
		return
	}
	if r.needed.IsZero() {
		r.needed = now
	}
	if now.Sub(r.needed) < settle+time.Duration(r.config.Rank())*rankDelay {
		return
	}
	grant, err := r.config.Lease.Acquire(ctx)
	if errors.Is(err, lease.ErrHeld) {
		return
	}
	if err != nil {
		log.WithField("error", err.Error()).Warn("lease for orders not acquired")
		return
	}
	log.WithField("fence", grant.Fence).WithField("moves", len(moves)).Info("lease for orders acquired")
	for _, m := range moves {
		if !r.move(ctx, now, view, m, grant) {
			return
		}
	}
}

// wanted returns the changes to make now.
func (r *Reconciler) wanted(view *directory.View, now time.Time) []roles.RoleChange {
	if view.Table == nil {
		return nil
	}
	maps.DeleteFunc(r.ordered, func(_ string, at time.Time) bool { return now.Sub(at) >= rest })
	var all []roles.RoleChange
	for name, service := range view.Table.Services {
		if service.Engine == nil {
			continue
		}
		engines, busy := r.engines(view, name)
		moves := roles.Decide(engines, roles.DecodeShare(engines, r.answers(view, name)))
		moves = slices.DeleteFunc(moves, func(m roles.RoleChange) bool { return now.Sub(r.ordered[m.ID]) < rest })
		if busy && r.resting(engines, now) {
			continue
		}
		if busy {
			moves = roles.LimitConcurrent(engines, moves)
		}
		all = append(all, roles.LimitByDemand(engines, moves, r.config.PlacedRequests(name), r.made[name])...)
	}
	return all
}

func (r *Reconciler) answers(view *directory.View, service string) roles.AnswerStats {
	a := roles.AnswerStats{MaxEvents: view.Table.MaxAnswerEvents(service)}
	a.ExpectedMissRate, a.MissRateKnown = r.config.ExpectedMissRate(service)
	return a
}

func (r *Reconciler) engines(view *directory.View, service string) (list []roles.Engine, busy bool) {
	for _, s := range view.Service(service) {
		if s.Role == backend.NoRole || r.config.Limited(s.ID) {
			continue
		}
		work := r.config.InFlight(service, s.ID)
		busy = busy || work > 0
		list = append(list, roles.Engine{ID: s.ID, DataCentre: s.DataCentre, Role: s.Role, InFlight: work, Speed: r.config.Speed(service, s.ID)})
	}
	return list, busy
}

// resting reports whether an engine is still away for an order.
func (r *Reconciler) resting(engines []roles.Engine, now time.Time) bool {
	for _, e := range engines {
		if now.Sub(r.ordered[e.ID]) < rest {
			return true
		}
	}
	return false
}

// move sends one order. It returns false if the grant allows no more.
func (r *Reconciler) move(ctx context.Context, now time.Time, view *directory.View, m roles.RoleChange, g lease.Grant) bool {
	server, ok := view.Servers[m.ID]
	if !ok {
		return true
	}
	state, err := r.config.Engines.State(ctx, server)
	if err != nil || state.Changing || state.Role == m.Role {
		r.ordered[m.ID] = now
		log.WithField("engine", m.ID).WithField("error", errorText(err)).Info("no order: the engine is changing, changed or silent")
		return true
	}
	if g.Remaining() < orderTime {
		log.WithField("engine", m.ID).Info("no order: the lease is about to end")
		return false
	}
	r.ordered[m.ID] = now
	if service := view.Table.Services[server.Service]; service.Engine != nil {
		r.config.RoleChangeStarting(server.Service, m.ID, service.Engine.SwitchTime+showTime)
	}
	result, err := r.config.Engines.Order(ctx, server, backend.Order{
		Role: m.Role, Holder: r.config.Holder, Fence: g.Fence, Expect: state.Orders,
	})
	r.countResult(result)
	answers := r.answers(view, server.Service)
	if result != backend.OrderRejected {
		r.made[server.Service]++
	}
	log.WithFields(log.Fields{
		"engine": m.ID, "role": string(m.Role), "fence": g.Fence, "expect": state.Orders,
		"result": result.String(), "error": errorText(err),
		"misses": answers.ExpectedMissRate, "misses_known": answers.MissRateKnown, "longest_answer": answers.MaxEvents,
	}).Info("order")
	return true
}

func (r *Reconciler) countResult(result backend.OrderResult) {
	switch result {
	case backend.OrderAccepted, backend.OrderHolds:
		r.accepted.Inc(1)
	case backend.OrderRejected:
		r.rejected.Inc(1)
	case backend.OrderUnknown:
		r.unknown.Inc(1)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
