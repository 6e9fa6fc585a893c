// Package reconcile keeps the engines in the roles that package roles decides.
//
// Any gateway may send orders, but only one at a time: the one that holds the
// lease. An order carries the engine's instance ID, the number of orders that the
// engine has accepted so far and the lease's fencing token, so an order that
// arrives late has no effect once another one has been accepted. After an order
// of unknown outcome, the engine's state is read before the next order is sent.
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
	// interval is the time between two checks of the roles.
	interval = 500 * time.Millisecond
	// stabilizationDelay is how long changes must be needed before they are made.
	// Engines that start together register within it, and an engine that crashed
	// has often restarted.
	stabilizationDelay = 2 * time.Second
	// rankDelay is the additional delay per rank before a gateway acts. It is
	// longer than a gateway takes to act and its orders take to show in the store.
	rankDelay = 9 * time.Second
	// minGrantRemaining is the remaining validity of a grant that is required to
	// send an order: the call takes up to 0.8 s.
	minGrantRemaining = time.Second
	// orderCooldown is the minimum time between two orders to one engine: it is
	// unavailable for some seconds while it changes, and its registration shows
	// the new role one heartbeat later.
	orderCooldown = 10 * time.Second
	// roleVisibleDelay is the time from the end of a change until the gateways see
	// the new role: one heartbeat and the latency of the store.
	roleVisibleDelay = 1500 * time.Millisecond
)

// Engines reads the state of engines and sends them orders.
type Engines interface {
	State(ctx context.Context, s backend.Server) (backend.EngineState, error)
	Order(ctx context.Context, s backend.Server, o backend.Order) (backend.OrderResult, error)
}

// Leaser grants the right to send orders.
type Leaser interface {
	Acquire(ctx context.Context) (lease.Grant, error)
}

// Config configures a Reconciler.
type Config struct {
	// Holder is the name of this VM.
	Holder string
	View   func() *directory.View
	// Rank returns this gateway's position among those that may send orders; 0 acts
	// first.
	Rank func() int
	// InFlight returns the number of requests at an engine. If it is positive for
	// any engine of a service, only few of them are changed at the same time.
	InFlight func(service, engine string) int
	// Speed returns the speed of an engine relative to the others.
	Speed func(service, engine string) roles.Speed
	// Limited reports whether a server accepts only few requests or none. It then does not
	// count as serving its role.
	Limited func(server string) bool
	// ExpectedMissRate returns the fraction of a service's answers, weighted by
	// length, that is expected to miss its deadline; false if it is unknown.
	ExpectedMissRate func(service string) (float64, bool)
	// PlacedRequests returns the number of requests of a service that all gateways
	// have placed.
	PlacedRequests func(service string) int64
	// RoleChangeStarting is called before an engine is ordered to change its role,
	// with the expected time until the new role is visible.
	RoleChangeStarting func(service, engine string, d time.Duration)
	Engines            Engines
	Lease              Leaser
}

// Reconciler orders the role changes that package roles decides. It is not safe
// for concurrent use.
type Reconciler struct {
	config Config
	// neededSince is since when changes have been needed without interruption; zero
	// if none are.
	neededSince time.Time
	// lastOrder is when each engine was last sent an order, or was last found in a
	// state that rules one out.
	lastOrder map[string]time.Time
	// orderCount is the number of orders of this process, by service, that may have
	// been carried out.
	orderCount map[string]int

	accepted, rejected, unknown metrics.Counter
}

// New returns a Reconciler.
func New(c Config) *Reconciler {
	return &Reconciler{
		config:     c,
		lastOrder:  make(map[string]time.Time),
		orderCount: make(map[string]int),
		accepted:   metrics.GetOrRegisterCounter("reconcile.orders_accepted", nil),
		rejected:   metrics.GetOrRegisterCounter("reconcile.orders_rejected", nil),
		unknown:    metrics.GetOrRegisterCounter("reconcile.orders_unknown", nil),
	}
}

// Run reconciles until ctx ends.
func (r *Reconciler) Run(ctx context.Context) error {
	return periodic.Run(ctx, interval, func(now time.Time) { r.Step(ctx, now) })
}

// Step checks the roles once and sends the orders that are due.
func (r *Reconciler) Step(ctx context.Context, now time.Time) {
	view := r.config.View()
	changes := r.dueChanges(view, now)
	if len(changes) == 0 {
		r.neededSince = time.Time{}
		return
	}
	if r.neededSince.IsZero() {
		r.neededSince = now
	}
	if now.Sub(r.neededSince) < stabilizationDelay+time.Duration(r.config.Rank())*rankDelay {
		return
	}
	grant, err := r.config.Lease.Acquire(ctx)
	if errors.Is(err, lease.ErrHeld) {
		return
	}
	if err != nil {
		log.WithField("error", err.Error()).Warn("could not acquire the lease for orders")
		return
	}
	log.WithField("fence", grant.Fence).WithField("moves", len(changes)).Info("lease for orders acquired")
	for _, change := range changes {
		if !r.sendOrder(ctx, now, view, change, grant) {
			return
		}
	}
}

// dueChanges returns the role changes to make now.
func (r *Reconciler) dueChanges(view *directory.View, now time.Time) []roles.RoleChange {
	if view.Table == nil {
		return nil
	}
	maps.DeleteFunc(r.lastOrder, func(_ string, at time.Time) bool { return now.Sub(at) >= orderCooldown })
	var all []roles.RoleChange
	for name, service := range view.Table.Services {
		if service.Engine == nil {
			continue
		}
		engines, busy := r.engines(view, name)
		changes := roles.Decide(engines, roles.DecodeShare(engines, r.answerStats(view, name)))
		changes = slices.DeleteFunc(changes, func(c roles.RoleChange) bool { return now.Sub(r.lastOrder[c.ID]) < orderCooldown })
		if busy && r.anyCoolingDown(engines, now) {
			continue
		}
		if busy {
			changes = roles.LimitConcurrent(engines, changes)
		}
		all = append(all, roles.LimitByDemand(engines, changes, r.config.PlacedRequests(name), r.orderCount[name])...)
	}
	return all
}

func (r *Reconciler) answerStats(view *directory.View, service string) roles.AnswerStats {
	a := roles.AnswerStats{MaxEvents: view.Table.MaxAnswerEvents(service)}
	a.ExpectedMissRate, a.MissRateKnown = r.config.ExpectedMissRate(service)
	return a
}

func (r *Reconciler) engines(view *directory.View, service string) (list []roles.Engine, busy bool) {
	for _, s := range view.Service(service) {
		if s.Role == backend.NoRole || r.config.Limited(s.ID) {
			continue
		}
		inFlight := r.config.InFlight(service, s.ID)
		busy = busy || inFlight > 0
		list = append(list, roles.Engine{ID: s.ID, DataCentre: s.DataCentre, Role: s.Role, InFlight: inFlight, Speed: r.config.Speed(service, s.ID)})
	}
	return list, busy
}

// anyCoolingDown reports whether any of the engines is within its cooldown after
// an order.
func (r *Reconciler) anyCoolingDown(engines []roles.Engine, now time.Time) bool {
	for _, e := range engines {
		if now.Sub(r.lastOrder[e.ID]) < orderCooldown {
			return true
		}
	}
	return false
}

// sendOrder orders one role change, unless the engine's state rules it out. It
// returns false if the grant is too close to its end for further orders.
func (r *Reconciler) sendOrder(ctx context.Context, now time.Time, view *directory.View, change roles.RoleChange, g lease.Grant) bool {
	server, ok := view.Servers[change.ID]
	if !ok {
		return true
	}
	state, err := r.config.Engines.State(ctx, server)
	if err != nil || state.Changing || state.Role == change.Role {
		r.lastOrder[change.ID] = now
		log.WithField("engine", change.ID).WithField("error", errorText(err)).Info("no order sent: the engine is changing, has the role already or did not report its state")
		return true
	}
	if g.Remaining() < minGrantRemaining {
		log.WithField("engine", change.ID).Info("no order sent: the lease is about to expire")
		return false
	}
	r.lastOrder[change.ID] = now
	if service := view.Table.Services[server.Service]; service.Engine != nil {
		r.config.RoleChangeStarting(server.Service, change.ID, service.Engine.SwitchTime+roleVisibleDelay)
	}
	result, err := r.config.Engines.Order(ctx, server, backend.Order{
		Role: change.Role, Holder: r.config.Holder, Fence: g.Fence, Expect: state.Orders,
	})
	r.countResult(result)
	answers := r.answerStats(view, server.Service)
	if result != backend.OrderRejected {
		r.orderCount[server.Service]++
	}
	log.WithFields(log.Fields{
		"engine": change.ID, "role": string(change.Role), "fence": g.Fence, "expect": state.Orders,
		"result": result.String(), "error": errorText(err),
		"misses": answers.ExpectedMissRate, "misses_known": answers.MissRateKnown, "longest_answer": answers.MaxEvents,
	}).Info("order sent")
	return true
}

func (r *Reconciler) countResult(result backend.OrderResult) {
	switch result {
	case backend.OrderAccepted, backend.OrderAlreadyApplied:
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
