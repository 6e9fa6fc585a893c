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
	// planInterval is how often the holder of the lease plans.
	planInterval = 500 * time.Millisecond
	// callTimeout bounds one exchange with the store.
	callTimeout = 2 * time.Second
)

// Source gives the duty its picture and takes what it wrote.
type Source interface {
	// Picture returns the present picture. Its Plan is not used: the duty
	// plans on the object that it writes over.
	View() View
	// Candidate reports whether this entry may hold the lease. Only a few of a
	// region may, for each candidate reads the lease.
	LeaseCandidate() bool
	// Offer spreads an object that the duty has written.
	Offer(o sharedstate.Object)
}

// Duty holds the lease when it can and plans while it does. It is a service of
// the entry's supervisor.
type Duty struct {
	region string
	store  sharedstate.Store
	source Source
	log    *explain.Log
	clock  func() time.Time

	lease   *lease
	planner *Planner
	base    sharedstate.Object
	state   atomic.Pointer[State]
}

// State is what the duty shows of itself.
type State struct {
	Holding     bool      `json:"holding"`
	Holder      string    `json:"holder"`
	Term        uint64    `json:"term"`
	PlanVersion uint64    `json:"plan_version"`
	LastError   string    `json:"last_error,omitempty"`
	At          time.Time `json:"at"`
}

// NewDuty returns the duty of the entry called self.
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

// Dump returns the duty's State.
func (d *Duty) Dump(context.Context) any { return d.state.Load() }

// String names the duty in the supervisor's log.
func (d *Duty) String() string { return "planner" }

// Serve runs the duty until ctx ends.
func (d *Duty) Serve(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	var leaseAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		var err error
		if d.clock().Sub(leaseAt) >= renewInterval {
			leaseAt = d.clock()
			err = d.keepLease(ctx)
		}
		if d.lease.held(d.clock()) {
			err = errors.Join(err, d.plan(ctx))
		} else {
			d.planner = nil
		}
		d.publish(err)
	}
}

// keepLease reads the lease, and takes or renews it.
func (d *Duty) keepLease(ctx context.Context) error {
	if !d.source.LeaseCandidate() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := d.store.Get(ctx, leaseName(d.region))
	if err != nil {
		return eris.Wrap(err, "read the planner lease")
	}
	d.lease.observe(d.clock(), o)
	asked := d.clock()
	value, ok := d.lease.next(asked, sharedstate.NewWriteID())
	if !ok {
		return nil
	}
	data, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "planner lease")
	}
	version, err := d.store.Put(ctx, leaseName(d.region), o.Version, data)
	if err != nil {
		// The next read tells who holds it.
		return eris.Wrap(err, "write the planner lease")
	}
	d.lease.written(asked, sharedstate.Object{Name: leaseName(d.region), Version: version, Value: data}, value)
	return nil
}

// plan writes the next plan if there is something to change.
func (d *Duty) plan(ctx context.Context) error {
	if d.planner == nil {
		d.planner = New(d.region)
		d.base = sharedstate.Object{}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := d.readBase(ctx); err != nil {
		return err
	}
	picture := d.source.View()
	if err := decodePlan(d.base, &picture.Plan); err != nil {
		return err
	}
	next, changes := d.planner.Propose(d.clock(), picture)
	if len(changes) == 0 {
		return nil
	}
	return d.write(ctx, next, changes)
}

// readBase reads the plan once after taking the lease, and again after a write
// that did not go through: nobody else writes it meanwhile, or the conditional
// update finds out.
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
		return eris.Wrap(err, "plan")
	}
	version, err := d.store.Put(ctx, plan.ObjectName(d.region), d.base.Version, data)
	if err != nil {
		// Whatever became of the update, the object read next is the one to
		// plan on. A delayed one that lands after that read makes the next
		// conditional update fail, and the plan is read once more.
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

func (d *Duty) publish(err error) {
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
