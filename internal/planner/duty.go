package planner

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/explain"
	"pistachioroad.dev/pistachioroad/internal/plan"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
)

const (
	// planningInterval is how often the lease holder updates the plan.
	planningInterval = 500 * time.Millisecond
	// storeTimeout limits the calls to the store for one renewal or one plan.
	storeTimeout = 2 * time.Second
)

// Source provides the input of the duty and distributes the objects that it has
// read or written.
type Source interface {
	// View returns the current view of the fleet. Its Plan is ignored: the duty
	// plans on the version of the object that it updates.
	View() View
	// LeaseCandidate reports whether this entry may hold the lease. Only a few entries
	// of a region may, because each candidate polls the lease.
	LeaseCandidate() bool
	// Offer distributes an object that the duty has read or written.
	Offer(o sharedstate.Object)
}

// Duty acquires the planner lease and updates the plan while it holds it. It runs
// under the supervisor of the entry.
type Duty struct {
	region string
	store  sharedstate.Store
	source Source
	log    *explain.Log
	clock  func() time.Time

	lease   *lease
	planner *Planner
	// base is the version of the plan that the next update is conditional on.
	base  sharedstate.Object
	state atomic.Pointer[State]
}

// State is the state of the duty for status pages and dumps.
type State struct {
	Holding     bool      `json:"holding"`
	Holder      string    `json:"holder"`
	Term        uint64    `json:"term"`
	PlanVersion uint64    `json:"plan_version"`
	LastError   string    `json:"last_error,omitempty"`
	At          time.Time `json:"at"`
}

// NewDuty returns the duty of the entry named self.
func NewDuty(self, region string, store sharedstate.Store, source Source, decisions *explain.Log) *Duty {
	return &Duty{
		region: region,
		store:  store,
		source: source,
		log:    decisions,
		clock:  time.Now,
		lease:  newLease(self),
	}
}

// Dump returns the current State as a *State.
func (d *Duty) Dump(context.Context) any { return d.state.Load() }

// String returns the name of the duty in the supervisor's log.
func (d *Duty) String() string { return "planner" }

// Serve runs the duty until ctx is cancelled.
func (d *Duty) Serve(ctx context.Context) error {
	ticker := time.NewTicker(planningInterval)
	defer ticker.Stop()
	var lastRenewal time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		var err error
		if d.clock().Sub(lastRenewal) >= renewInterval {
			lastRenewal = d.clock()
			err = d.maintainLease(ctx)
		}
		if d.lease.held(d.clock()) {
			err = errors.Join(err, d.plan(ctx))
		} else {
			d.planner = nil
		}
		d.storeState(err)
	}
}

// maintainLease reads the lease and acquires or renews it if possible.
func (d *Duty) maintainLease(ctx context.Context) error {
	if !d.source.LeaseCandidate() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := d.store.Get(ctx, leaseName(d.region))
	if err != nil {
		return eris.Wrap(err, "read the planner lease")
	}
	d.lease.observe(d.clock(), o)
	sentAt := d.clock()
	value, ok := d.lease.next(sentAt, sharedstate.NewWriteID())
	if !ok {
		return nil
	}
	data, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode the planner lease")
	}
	version, err := d.store.Put(ctx, leaseName(d.region), o.Version, data)
	if err != nil {
		// The outcome may be unknown; the next read shows the holder.
		return eris.Wrap(err, "write the planner lease")
	}
	d.lease.writeApplied(sentAt, sharedstate.Object{Name: leaseName(d.region), Version: version, Value: data}, value)
	return nil
}

// plan computes the next plan and writes it if it has changes.
func (d *Duty) plan(ctx context.Context) error {
	if d.planner == nil {
		d.planner = New(d.region)
		d.base = sharedstate.Object{}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := d.readBase(ctx); err != nil {
		return err
	}
	view := d.source.View()
	if err := decodePlan(d.base, &view.Plan); err != nil {
		return err
	}
	next, changes := d.planner.Propose(d.clock(), view)
	if len(changes) == 0 {
		return nil
	}
	return d.write(ctx, next, changes)
}

// readBase reads the plan after the lease was acquired and after a failed write.
// Otherwise the last version is used: the lease holder is the only writer, and if
// not, the conditional update fails.
func (d *Duty) readBase(ctx context.Context) error {
	if d.base.Name != "" {
		return nil
	}
	o, err := d.store.Get(ctx, plan.ObjectName(d.region))
	if err != nil {
		return eris.Wrap(err, "read the plan")
	}
	d.base = o
	if o.Version > 0 {
		d.source.Offer(o)
	}
	return nil
}

func (d *Duty) write(ctx context.Context, next plan.Plan, changes []Change) error {
	next.WriteID = sharedstate.NewWriteID()
	data, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "encode the plan")
	}
	version, err := d.store.Put(ctx, plan.ObjectName(d.region), d.base.Version, data)
	if err != nil {
		// Whether or not the update was applied, the next plan is based on the
		// object read next. If a delayed update is applied after that read, the
		// next conditional update fails and the plan is read again.
		d.base = sharedstate.Object{}
		return eris.Wrap(err, "write the plan")
	}
	d.base = sharedstate.Object{Name: plan.ObjectName(d.region), Version: version, Value: data}
	d.source.Offer(d.base)
	for _, c := range changes {
		d.log.Add(d.clock(), c.Subject, c.Decision, c.Reason)
		log.WithFields(log.Fields{"subject": c.Subject, "why": c.Reason, "plan_version": version}).Info(c.Decision)
	}
	metrics.GetOrRegisterCounter("planner.changes", nil).Inc(int64(len(changes)))
	return nil
}

func (d *Duty) storeState(err error) {
	s := &State{
		Holding:     d.lease.held(d.clock()),
		Holder:      d.lease.value.Holder,
		Term:        d.lease.value.Term,
		PlanVersion: d.base.Version,
		At:          d.clock(),
	}
	if err != nil {
		s.LastError = err.Error()
	}
	d.state.Store(s)
}

func decodePlan(o sharedstate.Object, p *plan.Plan) error {
	*p = plan.Plan{}
	if o.Version == 0 {
		return nil
	}
	return eris.Wrap(json.Unmarshal(o.Value, p), "decode the plan")
}
